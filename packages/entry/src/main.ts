/** Command-line program of an entry: settings, log, signals and exit codes. */
import { Command } from 'commander'
import { pino } from 'pino'
import { logSink } from './reports/logSink.js'
import { StopSignals } from './runtime/stopSignals.js'
import { readSettings, type Settings } from './settings.js'
import { startEntry, type PlatformFormats } from './wiring.js'

/** Options by which a platform adapts the program. */
export interface ProgramOptions {
  /** Path of the settings file if the command line gives none. */
  settingsPath?: string
  formats?: PlatformFormats
}

interface CommandLineOptions {
  settings?: string
  check?: boolean
  record?: string
}

const EXIT_FAILURE = 1
const EXIT_INVALID_SETTINGS = 2

/** The program `gooseberryspan-entry`. */
export async function main (argv: string[], program: ProgramOptions = {}): Promise<void> {
  const command = new Command('gooseberryspan-entry')
    .description('Takes callers\' requests and sends each to a backend server that has capacity for it.')
    .option('-s, --settings <file>', 'YAML settings of this instance', program.settingsPath)
    .option('--check', 'check the settings and exit')
    .option('--record <file>', 'write the events of this process to a file, for replay')
    .version('0.1.0')
    .showHelpAfterError()
  const { settings: path, check, record } = command.parse(argv).opts<CommandLineOptions>()
  if (path === undefined) return command.error('missing settings file: name it with --settings FILE', { exitCode: EXIT_INVALID_SETTINGS })
  let settings: Settings
  try {
    settings = readSettings(path)
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`)
    process.exitCode = EXIT_INVALID_SETTINGS
    return
  }
  if (check) return void process.stdout.write('settings are valid\n')
  await run(settings, path, record, program.formats)
}

async function run (settings: Settings, path: string, record: string | undefined, formats: PlatformFormats | undefined): Promise<void> {
  const sink = logSink(settings.log.mostBytes)
  const log = pino({ level: settings.log.level, base: { logger: settings.instance } }, sink.stream)
  const end = (code: number): void => {
    sink.end()
    process.exit(code)
  }
  process.on('SIGHUP', () => checkChangedSettings(settings, path, log))
  const signals = new StopSignals({ log, end })
  const entry = await startEntry({ settings, log, record, formats, droppedLogLines: sink.dropped }).catch((error: unknown) => {
    log.fatal({ err: error }, 'entry could not start')
    return end(EXIT_FAILURE)
  })
  if (!entry) return
  signals.started({ open: () => entry.node.open, stop: () => entry.stop() })
  entry.ended.catch(async () => {
    await entry.stop()
    end(EXIT_FAILURE)
  })
}

/** Settings take effect only at a start. Checks a changed file immediately, so that a mistake is reported before the next start. */
function checkChangedSettings (settings: Settings, path: string, log: pino.Logger): void {
  try {
    const changed = JSON.stringify(readSettings(path)) !== JSON.stringify(settings)
    log.info({ decision: 'reload', reason: changed ? 'changed: takes effect at the next start' : 'unchanged' })
  } catch (error) {
    log.warn({ decision: 'reload', reason: error instanceof Error ? error.message : String(error) })
  }
}
