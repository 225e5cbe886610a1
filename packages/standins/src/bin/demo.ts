#!/usr/bin/env node
/** Executable gooseberryspan-demo: runs entries with a simulated store, backend servers and callers in one process. */
import { Command, InvalidArgumentError } from 'commander'
import { pino } from 'pino'
import { Demo, ZONE_OUT_BOUND_MS } from '../demo/demo.js'
import type { DemoResult } from '../demo/resultCollector.js'

interface Options {
  seed: number
  seconds: number
  storeOutage: boolean
  json: boolean
  log?: string
}

const program = new Command('gooseberryspan-demo')
  .description('Runs entries, a store and 30 backend servers in one process, under load, with a zone and an entry leaving.')
  .option('--seed <number>', 'random seed', parseWholeNumber, 1)
  .option('--seconds <number>', 'length of the run under load, in seconds', parseWholeNumber, 16)
  .option('--store-outage', 'make the store unreachable for 10 s in mid-run, instead of taking a zone out', false)
  .option('--json', 'print the result as JSON', false)
  .option('--log <file>', 'write the entries\' decision logs to a file')
  .showHelpAfterError()

const options = program.parse().opts<Options>()
const log = options.log === undefined ? pino({ level: 'silent' }) : pino({ level: 'info', base: null }, pino.destination(options.log))
const demo = new Demo({
  ...options,
  log,
  progress: (text) => {
    if (!options.json) process.stdout.write(`${text}\n`)
  }
})
const result = await demo.run()
process.stdout.write(options.json ? `${JSON.stringify(result)}\n` : formatResult(result))
process.exit(result.sound ? 0 : 1)

function parseWholeNumber (text: string): number {
  if (!/^\d+$/.test(text)) throw new InvalidArgumentError('must be a whole number')
  return Number(text)
}

function formatResult (result: DemoResult): string {
  const lines = [['kind', 'served', 'not-run', 'unknown', 'p50 ms', 'p99 ms', 'p99.9 ms']]
  for (const row of result.kinds) {
    const counts = [row.answered, row.notRun, row.unknown].map(String)
    const times = [row.p50Ms, row.p99Ms, row.p999Ms].map((ms) => ms.toFixed(1))
    lines.push([row.kind, ...counts, ...times])
  }
  const text = lines.map((cells) => cells.map((cell, index) => index === 0 ? cell.padEnd(20) : cell.padStart(10)).join('')).join('\n')
  const reasons = result.reasons.map(({ reason, count }) => `${reason} ${count}`).join(', ') || 'none'
  return `\n${text}\n
requests at full servers           ${result.full}
requests beyond cold servers       ${result.overCold}
requests in the removed zone       ${result.zoneWork} (after ${ZONE_OUT_BOUND_MS / 1000} s)
requests that ran twice or more    ${result.doubleRuns}
"not run" that ran                 ${result.falseNotRun}
answers cut off                    ${result.cut}
wrong answers                      ${result.wrong}
probes                             ${result.probes}
accepted configuration kept        ${result.revisionKept ? 'yes' : 'no'}
planned stop was graceful          ${result.gracefulStop ? 'yes' : 'no'}
broken invariants                  ${result.broken.length === 0 ? 'none' : result.broken.slice(0, 5).join('; ')}
refusals                           ${reasons}
${result.sound ? 'All checks passed.' : 'FAILED: see above.'}
`
}
