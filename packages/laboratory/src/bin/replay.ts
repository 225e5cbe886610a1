#!/usr/bin/env node
/** `npm run replay -- FILE`: replays a trace in the core and compares the outcomes with the expected ones. */
import { existsSync, readFileSync } from 'node:fs'
import { Command } from 'commander'
import { findDifferences, replayTrace, type TraceExpectation } from '../replay/replayTrace.js'

const program = new Command('replay')
  .description('Feeds a recorded trace to the core and compares the outcomes with the expected ones.')
  .argument('<file>', 'trace file written by --record; FILE.expected.json states the expected outcomes')
  .parse()

const path = program.args[0]!
const replay = replayTrace(readFileSync(path, 'utf8'))
process.stdout.write(`${replay.events} events, ${replay.requests.length} requests\n`)
for (const [decision, count] of replay.decisions) process.stdout.write(`  ${decision} ${count}\n`)
const expectationPath = path.replace(/\.jsonl$/, '.expected.json')
if (!existsSync(expectationPath)) {
  process.stdout.write(`no file ${expectationPath} to compare with\n`)
  process.exit(replay.broken.length > 0 ? 1 : 0)
}
const messages = findDifferences(replay, JSON.parse(readFileSync(expectationPath, 'utf8')) as TraceExpectation)
for (const difference of messages) process.stdout.write(`DIFFERS ${difference}\n`)
process.stdout.write(messages.length > 0 ? 'the outcomes of the trace differ from the expected ones\n' : 'all outcomes are as expected\n')
process.exit(messages.length > 0 ? 1 : 0)
