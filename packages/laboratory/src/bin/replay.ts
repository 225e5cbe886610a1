#!/usr/bin/env node
/** `npm run replay -- FILE`: a trace through the core, beside its stated outcomes. */
import { existsSync, readFileSync } from 'node:fs'
import { Command } from 'commander'
import { differences, replayTrace, type Statement } from '../replay/replayTrace.js'

const program = new Command('replay')
  .description('Feeds a recorded trace to the core and compares with the outcomes stated beside it.')
  .argument('<file>', 'trace, as --record wrote it; FILE.expected.json states its outcomes')
  .parse()

const path = program.args[0]!
const replay = replayTrace(readFileSync(path, 'utf8'))
process.stdout.write(`${replay.events} events, ${replay.requests.length} requests\n`)
for (const [decision, count] of replay.decisions) process.stdout.write(`  ${decision} ${count}\n`)
const statementPath = path.replace(/\.jsonl$/, '.expected.json')
if (!existsSync(statementPath)) {
  process.stdout.write(`no ${statementPath} to compare with\n`)
  process.exit(replay.broken.length > 0 ? 1 : 0)
}
const found = differences(replay, JSON.parse(readFileSync(statementPath, 'utf8')) as Statement)
for (const difference of found) process.stdout.write(`DIFFERS ${difference}\n`)
process.stdout.write(found.length > 0 ? 'the trace does not come to what was stated\n' : 'as stated\n')
process.exit(found.length > 0 ? 1 : 0)
