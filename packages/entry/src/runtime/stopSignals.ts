/** Handles the signals that stop the process. */
import type { Logger } from 'pino'
import { writeLine } from '../reports/logSink.js'

/** What is stopped. */
export interface Stoppable {
  /** Returns the number of requests that have no outcome yet. */
  open: () => number
  /** Stops gracefully. Resolves with whether all requests got their answers. */
  stop: () => Promise<boolean>
}

/** How a stop is reported. */
export interface StopReports {
  log: Logger
  /** Ends the process. */
  end: (code: number, reason: string, error?: unknown) => void
}

const STANDARD_OUTPUT = 1
const EXIT_CUT = 1
const EXIT_FAILURE = 1
const STOPPED_EARLY = 'stopped before the start'
/** A terminal and the programs between it and this process may each deliver the same key press. A person presses more slowly. */
const SAME_KEY_PRESS_MS = 500

/**
 * The first SIGTERM or SIGINT stops the entry, or ends a process that has not started yet. Later ones change nothing, since a platform or
 * a process group may deliver several for one stop; only a person who presses the keys again ends the process without waiting.
 */
export class StopSignals {
  private _reports: StopReports | undefined
  private _entry: Stoppable | undefined
  private _stopping = false
  private _interruptedAt: number | undefined

  constructor () {
    process.on('SIGTERM', () => this._receive('SIGTERM'))
    process.on('SIGINT', () => this._receive('SIGINT'))
  }

  /** Sets the log, once the settings have been read. Until then a signal ends the process at once. */
  reportTo (reports: StopReports): void {
    this._reports = reports
  }

  /** Sets the entry to stop, once it has started. */
  started (entry: Stoppable): void {
    this._entry = entry
  }

  private _receive (signal: 'SIGTERM' | 'SIGINT'): void {
    if (!this._reports) return endWithoutLog()
    const { log, end } = this._reports
    const open = this._entry?.open()
    log.info({ decision: 'signal', reason: signal, open })
    if (signal === 'SIGINT' && this._isRepeatedKeyPress()) {
      log.error({ decision: 'stop-cut', open })
      return end(EXIT_CUT, 'interrupted again')
    }
    if (this._stopping) return log.info({ decision: 'signal-ignored', reason: 'already stopping' })
    this._stopping = true
    if (!this._entry) return end(0, STOPPED_EARLY)
    void this._entry.stop().then((isComplete) => {
      end(isComplete ? 0 : EXIT_CUT, isComplete ? 'stopped' : 'stopped at the end of the grace time')
    }, (error: unknown) => end(EXIT_FAILURE, 'stop failed', error))
  }

  private _isRepeatedKeyPress (): boolean {
    const now = performance.now()
    const isRepeated = this._interruptedAt !== undefined && now - this._interruptedAt >= SAME_KEY_PRESS_MS
    this._interruptedAt ??= now
    return isRepeated
  }
}

function endWithoutLog (): never {
  writeLine(STANDARD_OUTPUT, JSON.stringify({ decision: 'ended', reason: STOPPED_EARLY, code: 0 }))
  process.exit(0)
}
