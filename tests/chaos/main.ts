/**
 * Fault soak with real processes: `npm run chaos -- --seed N --seconds S --entries E [--servers K]`.
 * Prints what was injected and seen, also when it is interrupted. Exits with 1 if a promise was broken, and with 130 if interrupted.
 */
import { resolve } from 'node:path'
import { Command } from 'commander'
import { ChaosRun } from './chaosRun.js'

interface Options {
  seed: string
  seconds: string
  entries: string
  servers: string
  root: string
  shareCore: boolean
  quiet: boolean
  without?: string
}

const EXIT_BROKEN = 1
const EXIT_INTERRUPTED = 130

const { seed, seconds, entries, servers, root, shareCore, quiet, without } = new Command('chaos')
  .description('Runs entries as separate processes, injects faults and checks what callers and backend servers see.')
  .option('--seed <number>', 'seed of the plan of faults', '1')
  .option('--seconds <number>', 'time during which faults begin', '20')
  .option('--entries <number>', 'number of entries', '4')
  .option('--servers <number>', 'number of backend servers', '9')
  .option('--root <folder>', 'folder with the deploy file and target/', resolve(import.meta.dirname, '../../..'))
  .option('--share-core', 'limit the entries to their part of a core', false)
  .option('--without <kinds>', 'kinds of faults to leave out, separated by commas')
  .option('--quiet', 'print only the verdict and the findings', false)
  .parse().opts<Options>()

const numbers = { seed: Number(seed), seconds: Number(seconds), entries: Number(entries), servers: Number(servers) }
const run = new ChaosRun({ ...numbers, root: resolve(root), shareCore, without: without?.split(',') })
const command = `chaos --seed ${seed} --seconds ${seconds} --entries ${entries} --servers ${servers}${shareCore ? ' --share-core' : ''}` +
  (without === undefined ? '' : ` --without ${without}`)
const { report } = run

for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  process.on(signal, () => {
    run.abort()
    report.interrupted = true
    process.stdout.write(report.format(command, { full: !quiet }))
    process.exit(EXIT_INTERRUPTED)
  })
}
process.on('exit', () => run.abort())
await run.play()
process.stdout.write(report.format(command, { full: !quiet }))
process.exit(report.findings.length > 0 ? EXIT_BROKEN : 0)
