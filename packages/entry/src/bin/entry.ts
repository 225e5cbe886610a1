#!/usr/bin/env node
/** gooseberryspan-entry: the one program on an entry instance. */
import { main } from '../main.js'

void main(process.argv)
