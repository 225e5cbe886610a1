/** Command-line program of an entry: settings, log, signals and exit codes. */
import { Command } from 'commander'
import { pino } from 'pino'
import { ProcessEnd } from './reports/processEnd.js'
import { LogSink } from './reports/logSink.js'
import { StopSignals } from './runtime/stopSignals.js'
import { awaitSettings, readSettings, readUsableSettings, type Settings, type UsableSettings } from './settings.js'
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

interface RunOptions extends UsableSettings {
  path: string
  record: string | undefined
  formats: PlatformFormats | undefined
  signals: StopSignals
}

/** Signals that ask for nothing here, as log rotation may send them. By default they end the process, or start Node's inspector. */
const IGNORED_SIGNALS: NodeJS.Signals[] = ['SIGUSR1', 'SIGUSR2', 'SIGALRM']
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
  const signals = new StopSignals()
  // A reload is pointless before the settings have been read.
  for (const signal of [...IGNORED_SIGNALS, 'SIGHUP']) process.on(signal, () => {})
  let usable: UsableSettings
  try {
    usable = check ? { settings: readSettings(path), leftOut: [] } : await awaitSettings(path)
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`)
    process.exitCode = EXIT_INVALID_SETTINGS
    return
  }
  if (check) return void process.stdout.write('settings are valid\n')
  await run({ ...usable, path, record, formats: program.formats, signals })
}

async function run ({ settings, leftOut, path, record, formats, signals }: RunOptions): Promise<void> {
  const sink = new LogSink({ maxBytes: settings.log.mostBytes })
  const log = pino({ level: settings.log.level, base: { logger: settings.instance } }, sink)
  const end = new ProcessEnd({ log, sink })
  // Node's own listener writes to standard error, where an error that nobody handles would follow if it has no reader.
  process.removeAllListeners('warning')
  process.on('warning', (warning) => log.warn({ decision: 'warning', err: warning }))
  for (const reason of leftOut) log.warn({ decision: 'setting-left-out', reason })
  process.on('SIGHUP', () => checkChangedSettings(settings, path, log))
  for (const signal of IGNORED_SIGNALS) process.on(signal, () => log.info({ decision: 'signal', reason: `${signal}: ignored` }))
  signals.reportTo({ log, end: (code, reason, error) => end.exit(code, reason, error) })
  const entry = await startEntry({ settings, log, record, formats, droppedLogLines: () => sink.dropped }).catch((error: unknown) => {
    end.exit(EXIT_FAILURE, 'entry could not start', error)
  })
  if (!entry) return
  end.lastEvent = () => entry.node.lastEvent
  end.unexpected = (origin, error) => entry.reportUnexpected(origin, error)
  signals.started({ open: () => entry.node.open, stop: () => entry.stop() })
  entry.ended.catch(async (error: unknown) => {
    await entry.stop().catch((failure: unknown) => end.exit(EXIT_FAILURE, 'stop failed', failure))
    end.exit(EXIT_FAILURE, 'too many failures', error)
  })
}

/** Settings take effect only at a start. Checks a changed file immediately, so that a mistake is reported before the next start. */
function checkChangedSettings (settings: Settings, path: string, log: pino.Logger): void {
  try {
    const { settings: read, leftOut } = readUsableSettings(path)
    for (const reason of leftOut) log.warn({ decision: 'setting-left-out', reason })
    const changed = JSON.stringify(read) !== JSON.stringify(settings)
    log.info({ decision: 'reload', reason: changed ? 'changed: takes effect at the next start' : 'unchanged' })
  } catch (error) {
    log.warn({ decision: 'reload', reason: error instanceof Error ? error.message : String(error) })
  }
}
