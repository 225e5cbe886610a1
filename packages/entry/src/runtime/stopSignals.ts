/** Handles the signals that stop the process. */
import type { Logger } from 'pino'

/** What is stopped. */
export interface Stoppable {
  /** Returns the number of requests that have no outcome yet. */
  open: () => number
  /** Stops gracefully. Resolves with whether all requests got their answers. */
  stop: () => Promise<boolean>
}

export interface StopSignalsOptions {
  log: Logger
  /** Ends the process. */
  end: (code: number, reason: string) => void
}

const EXIT_CUT = 1
/** A terminal and the programs between it and this process may each deliver the same key press. A person presses more slowly. */
const SAME_KEY_PRESS_MS = 500

/**
 * The first SIGTERM or SIGINT stops the entry, or ends a process that has not started yet. Later ones change nothing, since a platform or
 * a process group may deliver several for one stop; only a person who presses the keys again ends the process without waiting.
 */
export class StopSignals {
  private readonly _options: StopSignalsOptions
  private _entry: Stoppable | undefined
  private _stopping = false
  private _interruptedAt: number | undefined

  constructor (options: StopSignalsOptions) {
    this._options = options
    process.on('SIGTERM', () => this._receive('SIGTERM'))
    process.on('SIGINT', () => this._receive('SIGINT'))
  }

  /** Sets the entry to stop, once it has started. */
  started (entry: Stoppable): void {
    this._entry = entry
  }

  private _receive (signal: 'SIGTERM' | 'SIGINT'): void {
    const { log, end } = this._options
    const open = this._entry?.open()
    log.info({ decision: 'signal', reason: signal, open })
    if (signal === 'SIGINT' && this._isRepeatedKeyPress()) {
      log.error({ decision: 'stop-cut', open })
      return end(EXIT_CUT, 'interrupted again')
    }
    if (this._stopping) return log.info({ decision: 'signal-ignored', reason: 'already stopping' })
    this._stopping = true
    if (!this._entry) return end(0, 'stopped before the start')
    void this._entry.stop().then((isComplete) => {
      end(isComplete ? 0 : EXIT_CUT, isComplete ? 'stopped' : 'stopped at the end of the grace time')
    })
  }

  private _isRepeatedKeyPress (): boolean {
    const now = performance.now()
    const isRepeated = this._interruptedAt !== undefined && now - this._interruptedAt >= SAME_KEY_PRESS_MS
    this._interruptedAt ??= now
    return isRepeated
  }
}
