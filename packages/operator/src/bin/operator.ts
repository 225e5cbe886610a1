#!/usr/bin/env node
/** Executable gooseberryspan-operator: the command-line tool for operators. */
import { run } from '../program.js'

process.exitCode = await run(process.argv.slice(2))
