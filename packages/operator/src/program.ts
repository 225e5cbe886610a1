/** Command-line parsing of the operator's tool. */
import { readFileSync } from 'node:fs'
import { Command, InvalidArgumentError, Option } from 'commander'
import { OperatorClient } from './client/operatorClient.js'
import { apply, check, diff, validate, zone, type ApplyOptions, type CheckOptions } from './commands/documents.js'
import { explain, logSource } from './commands/explain.js'
import { StandardOutput, type Output } from './commands/output.js'
import { listRollouts, orderRollout, withdrawRollout, type RolloutOptions } from './commands/rollouts.js'
import { EXIT, CommandError } from './errors.js'

interface ConnectionOptions {
  entry: string
  tokenFile?: string
  timeoutMs: number
  json: boolean
}

const DEFAULT_ENTRY = 'http://127.0.0.1:8082'

/** Parses and runs one command line; returns the exit code. */
export async function run (args: string[]): Promise<number> {
  let exitCode: number = EXIT.done
  const program = build((result) => {
    exitCode = result
  })
  try {
    await program.parseAsync(args, { from: 'user' })
    return exitCode
  } catch (error) {
    return exitCodeOf(error)
  }
}

function build (setExitCode: (code: number) => void): Command {
  const program = new Command('gooseberryspan-operator')
    .description('Declares services, zones and policies, and shows their state.')
    .version('0.1.0')
    .addOption(new Option('--entry <url>', 'URL of an entry\'s operators\' interface').env('GOOSEBERRYSPAN_ENTRY').default(DEFAULT_ENTRY))
    .addOption(new Option('--token-file <file>', 'file with the bearer token; default: the environment variable GOOSEBERRYSPAN_TOKEN'))
    .addOption(new Option('--timeout-ms <ms>', 'longest wait for an answer, in milliseconds').argParser(parseWholeNumber).default(10_000))
    .option('--json', 'write results as JSON', false)
    .addHelpText('after', '\nExit codes: 0 done, 1 refused or different, 2 wrong usage, 3 unavailable or not settled.')
    .showHelpAfterError()
    .exitOverride()
  const connection = (): ConnectionOptions => program.opts<ConnectionOptions>()
  const output = (): Output => new StandardOutput(connection().json)
  program.command('validate <file>').description('check a document locally, without a server')
    .action((file: string) => setExitCode(validate(file, output())))
  program.command('check <file>')
    .description('check a document before it is sent: errors, entries that never match, contradictions, differences to the one in force')
    .option('--offline', 'do not compare it with the configuration in force', false)
    .option('--strict', 'end with code 1 if anything is found', false)
    .action(async (file: string, options: CheckOptions & { offline: boolean }) => {
      const client = options.offline ? undefined : createClient(connection())
      setExitCode(await check(client, file, options, output()))
    })
  program.command('diff <file>').description('show what applying a document would change')
    .action(async (file: string) => setExitCode(await diff(createClient(connection()), file, output())))
  program.command('apply <file>').description('replace the whole configuration by a document')
    .option('--expect <revision>', 'refuse unless this revision is in force', parseWholeNumber)
    .option('--change-id <id>', 'id of an earlier change whose answer was lost, to see its outcome')
    .action(async (file: string, options: ApplyOptions) => setExitCode(await apply(createClient(connection()), file, options, output())))
  program.command('zone <state> <name>').description('take an availability zone out of service or put it back; state is out or in')
    .action(async (state: string, name: string) =>
      setExitCode(await zone(createClient(connection()), name, parseZoneState(state), output())))
  const rollout = program.command('rollout').description('move a service to another software version of its backend servers')
  rollout.command('order <service> <version>').description('order that a version takes over; exit code 1 if it is taken back')
    .requiredOption('--seconds <seconds>', 'time that the roll-out may take', parseWholeNumber)
    .option('--wait', 'wait for its end', false)
    .action(async (service: string, version: string, options: RolloutOptions) =>
      setExitCode(await orderRollout(createClient(connection()), service, version, options, output())))
  rollout.command('withdraw <service>').description('withdraw an order; a roll-out that has not ended is taken back')
    .action(async (service: string) => setExitCode(await withdrawRollout(createClient(connection()), service, output())))
  rollout.command('list').description('show the roll-outs that the entry knows')
    .action(async () => setExitCode(await listRollouts(createClient(connection()), output())))
  program.command('status').description('show the state of an entry')
    .action(async () => setExitCode(await status(createClient(connection()), output())))
  program.command('explain <request> [logs...]').description(
    'show from the logs of entries how a request was handled and why; reads standard input when no file is given'
  )
    .action(async (request: string, logs: string[]) => {
      setExitCode(await explain(request, (logs.length > 0 ? logs : ['-']).map(logSource), output()))
    })
  return program
}

async function status (operator: OperatorClient, output: Output): Promise<number> {
  const value = await operator.status()
  output.show(value, JSON.stringify(value, null, 2).split('\n'))
  return EXIT.done
}

function createClient ({ entry, tokenFile, timeoutMs }: ConnectionOptions): OperatorClient {
  const token = tokenFile === undefined ? process.env.GOOSEBERRYSPAN_TOKEN : readToken(tokenFile)
  if (!token) throw new CommandError(EXIT.usage, 'no token: use --token-file or set the variable GOOSEBERRYSPAN_TOKEN')
  return new OperatorClient({ url: entry, token, timeoutMs })
}

function readToken (path: string): string {
  try {
    return readFileSync(path, 'utf8').trim()
  } catch (error) {
    throw new CommandError(EXIT.usage, `cannot read ${path}: ${(error as Error).message}`)
  }
}

function parseZoneState (text: string): 'in' | 'out' {
  if (text === 'in' || text === 'out') return text
  throw new CommandError(EXIT.usage, `the state of a zone is 'out' or 'in', not '${text}'`)
}

function parseWholeNumber (text: string): number {
  if (!/^\d{1,15}$/.test(text)) throw new InvalidArgumentError('must be a whole number')
  return Number(text)
}

function exitCodeOf (error: unknown): number {
  if (error instanceof CommandError) {
    process.stderr.write(`${error.message}\n`)
    return error.exitCode
  }
  const failure = error as { code?: string, exitCode?: number, message?: string }
  if (
    failure.code === 'commander.help' || failure.code === 'commander.helpDisplayed' || failure.code === 'commander.version'
  ) return EXIT.done
  if (failure.code?.startsWith('commander.')) return EXIT.usage
  process.stderr.write(`${failure.message ?? String(error)}\n`)
  return EXIT.unavailable
}
