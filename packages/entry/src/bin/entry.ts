#!/usr/bin/env node
/** gooseberryspan-entry: the one program on an entry instance. */
import { Command } from 'commander'
import { destination, pino } from 'pino'
import { readSettings, type Settings } from '../settings.js'
import { startEntry } from '../wiring.js'

interface Options {
  settings: string
  check?: boolean
  record?: string
}

const LOG_BUFFER_BYTES = 8192
const LOG_FLUSH_MS = 500

const program = new Command('gooseberryspan-entry')
  .description('Takes callers\' requests and sends each to a backend server that can bear it.')
  .requiredOption('-s, --settings <file>', 'YAML settings of this instance')
  .option('--check', 'check the settings and exit')
  .option('--record <file>', 'write the events of this process to a file, for replay')
  .version('0.1.0')
  .showHelpAfterError()

const options = program.parse().opts<Options>()
await main(options)

async function main ({ settings: path, check, record }: Options): Promise<void> {
  let settings: Settings
  try {
    settings = readSettings(path)
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`)
    process.exitCode = 2
    return
  }
  if (check) return void process.stdout.write('settings are valid\n')
  await run(settings, record)
}

async function run (settings: Settings, record: string | undefined): Promise<void> {
  const sink = destination({ sync: false, minLength: LOG_BUFFER_BYTES })
  const flush = setInterval(() => sink.flush(), LOG_FLUSH_MS)
  flush.unref()
  const log = pino({ name: 'gooseberryspan-entry', level: settings.log.level }, sink)
  const end = (code: number): void => {
    sink.flushSync()
    process.exit(code)
  }
  const entry = await startEntry({ settings, log, record }).catch((error: unknown) => {
    log.fatal({ err: error }, 'entry could not start')
    return end(1)
  })
  if (!entry) return
  let stopping = false
  const stop = async (signal: string): Promise<void> => {
    if (stopping) {
      log.error({ signal, open: entry.node.open }, 'second signal; requests are cut')
      return end(1)
    }
    stopping = true
    log.info({ signal }, 'planned stop')
    end(await entry.stop() ? 0 : 1)
  }
  process.on('SIGTERM', () => void stop('SIGTERM'))
  process.on('SIGINT', () => void stop('SIGINT'))
  entry.ended.catch(async () => {
    stopping = true
    await entry.stop()
    end(1)
  })
}
