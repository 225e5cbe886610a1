/** Writes one log line that says why the process ends. */
import type { Logger } from 'pino'
import { writeLine, type LogSink } from './logSink.js'
import { processState } from './processState.js'

/** Options of a `ProcessEnd`. */
export interface ProcessEndOptions {
  log: Logger
  sink: LogSink
}

const STANDARD_ERROR = 2
const EXIT_FAILURE = 1

/** Ends the process, and reports each end that the process itself can notice: its own, and that by an error nobody handled. */
export class ProcessEnd {
  /** Returns the kind of the event that was handled last. */
  lastEvent: () => string | undefined = () => undefined
  /** Takes an error that nobody handled. Before it is set, and while the process exits, such an error ends the process. */
  unexpected: ((origin: string, error: Error) => void) | undefined
  private readonly _options: ProcessEndOptions
  private _reported = false

  constructor (options: ProcessEndOptions) {
    this._options = options
    process.on('uncaughtException', (error, origin) => {
      if (this.unexpected && !this._reported) this.unexpected(origin, error)
      else this.exit(EXIT_FAILURE, `unexpected error: ${origin}`, error)
    })
    process.on('exit', (code) => {
      if (!this._reported) this._report('fatal', code, 'nothing left to do')
    })
  }

  /** Reports the end and ends the process. */
  exit (code: number, reason: string, error?: unknown): never {
    if (!this._reported) this._report(code === 0 ? 'info' : 'fatal', code, reason, error)
    // An exit would wait forever for a write that is stuck.
    if (this._options.sink.isStuck) process.kill(process.pid, 'SIGKILL')
    process.exit(code)
  }

  private _report (level: 'info' | 'fatal', code: number, reason: string, error?: unknown): void {
    this._reported = true
    const line = { decision: 'ended', reason, code, lastEvent: this.lastEvent(), ...processState() }
    this._options.log[level]({ ...line, err: error })
    if (this._options.sink.end() || level === 'info') return
    const cause = error instanceof Error ? error.stack : error
    writeLine(STANDARD_ERROR, JSON.stringify({ ...line, err: cause }))
  }
}
