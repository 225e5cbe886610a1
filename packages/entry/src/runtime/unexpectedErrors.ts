/** Errors that no part expected. */
import type { Logger } from 'pino'
import VError from 'verror'
import { RESTART_POLICY } from '@gooseberryspan/csp'

/** Thrown when unexpected errors came too often. */
export class TooManyErrors extends VError {}

/**
 * Logs each unexpected error, which costs the event or connection where it occurred, and limits how many there may be: as many as failures
 * of a supervised process. The same input often reaches all entries at once, so one error must not end them.
 */
export class UnexpectedErrors {
  /** Rejects when there were too many errors. */
  readonly exceeded: Promise<never>
  private readonly _log: Logger
  private _times: number[] = []
  private _reject!: (error: Error) => void

  constructor (log: Logger) {
    this._log = log
    this.exceeded = new Promise((_resolve, reject) => { this._reject = reject })
    this.exceeded.catch(() => {})
  }

  /** Logs and counts an error. */
  report (reason: string, error: unknown): void {
    const { maxFailures, windowMs } = RESTART_POLICY
    const now = performance.now()
    this._times = [...this._times.filter((at) => now - at < windowMs), now]
    this._log.error({ decision: 'unexpected-error', reason, err: error })
    if (this._times.length <= maxFailures) return
    const cause = error instanceof Error ? error : new Error(String(error))
    this._reject(new TooManyErrors(cause, 'more than %d unexpected errors within %d ms', maxFailures, windowMs))
  }
}
