#!/usr/bin/env node
/** Prints the settings reference. */
import { settingsReference } from '../reference/settingsReference.js'

process.stdout.write(settingsReference())
