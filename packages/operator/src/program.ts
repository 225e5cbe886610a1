/** The operator's command line. */
import { readFileSync } from 'node:fs'
import { Command, InvalidArgumentError, Option } from 'commander'
import { OperatorClient } from './client/operatorClient.js'
import { apply, diff, validate, zone, type ApplyOptions } from './commands/documents.js'
import { explain, logSource } from './commands/explain.js'
import { StandardOutput, type Output } from './commands/output.js'
import { EXIT, FailedCommand } from './errors.js'

interface Connection {
  entry: string
  tokenFile?: string
  timeoutMs: number
  json: boolean
}

const DEFAULT_ENTRY = 'http://127.0.0.1:8082'

/** Runs one command line; returns the exit code. */
export async function run (args: string[]): Promise<number> {
  let code: number = EXIT.done
  const program = build((result) => {
    code = result
  })
  try {
    await program.parseAsync(args, { from: 'user' })
    return code
  } catch (error) {
    return codeOf(error)
  }
}

function build (done: (code: number) => void): Command {
  const program = new Command('gooseberryspan-operator')
    .description('Declares services, zones and policies, and says what became of them.')
    .version('0.1.0')
    .addOption(new Option('--entry <url>', 'an entry\'s operators\' interface').env('GOOSEBERRYSPAN_ENTRY').default(DEFAULT_ENTRY))
    .addOption(new Option('--token-file <file>', 'file with the bearer token; else the variable GOOSEBERRYSPAN_TOKEN is used'))
    .addOption(new Option('--timeout-ms <ms>', 'longest wait for an answer').argParser(wholeNumber).default(10_000))
    .option('--json', 'write results as JSON', false)
    .addHelpText('after', '\nExit codes: 0 done, 1 refused or different, 2 wrong usage, 3 unavailable or not settled.')
    .showHelpAfterError()
    .exitOverride()
  const connection = (): Connection => program.opts<Connection>()
  const output = (): Output => new StandardOutput(connection().json)
  program.command('validate <file>').description('check a document without any server')
    .action((file: string) => done(validate(file, output())))
  program.command('diff <file>').description('show what applying a document would change')
    .action(async (file: string) => done(await diff(client(connection()), file, output())))
  program.command('apply <file>').description('put a document into force as a whole')
    .option('--expect <revision>', 'refuse unless this revision is in force', wholeNumber)
    .option('--change-id <id>', 'repeat the id of a change whose answer was lost')
    .action(async (file: string, options: ApplyOptions) => done(await apply(client(connection()), file, options, output())))
  program.command('zone <state> <name>').description('take a zone out or bring it back in; state is out or in')
    .action(async (state: string, name: string) => done(await zone(client(connection()), name, zoneState(state), output())))
  program.command('status').description('show an entry\'s state')
    .action(async () => done(await status(client(connection()), output())))
  program.command('explain <request> [logs...]').description(
    'tell why a request went where it went, from logs of entries; standard input without files'
  )
    .action(async (request: string, logs: string[]) => {
      done(await explain(request, (logs.length > 0 ? logs : ['-']).map(logSource), output()))
    })
  return program
}

async function status (operator: OperatorClient, output: Output): Promise<number> {
  const value = await operator.status()
  output.show(value, JSON.stringify(value, null, 2).split('\n'))
  return EXIT.done
}

function client ({ entry, tokenFile, timeoutMs }: Connection): OperatorClient {
  const token = tokenFile === undefined ? process.env.GOOSEBERRYSPAN_TOKEN : readToken(tokenFile)
  if (!token) throw new FailedCommand(EXIT.usage, 'give a token: --token-file, or the variable GOOSEBERRYSPAN_TOKEN')
  return new OperatorClient({ url: entry, token, timeoutMs })
}

function readToken (path: string): string {
  try {
    return readFileSync(path, 'utf8').trim()
  } catch (error) {
    throw new FailedCommand(EXIT.usage, `cannot read ${path}: ${(error as Error).message}`)
  }
}

function zoneState (text: string): 'in' | 'out' {
  if (text === 'in' || text === 'out') return text
  throw new FailedCommand(EXIT.usage, `a zone is taken 'out' or brought 'in', not '${text}'`)
}

function wholeNumber (text: string): number {
  if (!/^\d{1,15}$/.test(text)) throw new InvalidArgumentError('must be a whole number')
  return Number(text)
}

function codeOf (error: unknown): number {
  if (error instanceof FailedCommand) {
    process.stderr.write(`${error.message}\n`)
    return error.exitCode
  }
  const known = error as { code?: string, exitCode?: number, message?: string }
  if (known.code === 'commander.help' || known.code === 'commander.helpDisplayed' || known.code === 'commander.version') return EXIT.done
  if (known.code?.startsWith('commander.')) return EXIT.usage
  process.stderr.write(`${known.message ?? String(error)}\n`)
  return EXIT.unavailable
}
