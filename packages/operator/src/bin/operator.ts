#!/usr/bin/env node
/** gooseberryspan-operator: the operators' command line. */
import { run } from '../program.js'

process.exitCode = await run(process.argv.slice(2))
