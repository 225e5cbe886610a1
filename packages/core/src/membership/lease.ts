/** An entry's right to dispatch, counted on its own monotonic clock. */

/** Times that decide how long a crash idles servers and how long a pause is survived. */
export interface LeaseTimes {
  /** How long one renewal or promise lasts, in milliseconds. */
  termMs: number
  /** How often it is renewed, in milliseconds. */
  renewMs: number
  /** What a taker waits beyond the term, for clocks that run at different rates, in milliseconds. */
  marginMs: number
  /** What a joining entry waits before it evicts members that never confirmed it, in milliseconds. */
  abandonMs: number
}

/** Defaults for the lease. */
export const LEASE_TIMES: LeaseTimes = { termMs: 4000, renewMs: 1300, marginMs: 600, abandonMs: 900_000 }

/** Extends from before the renewal was sent, so that the holder's count ends before any taker's. */
export class Lease {
  private _validUntil = -Infinity
  private readonly _times: LeaseTimes

  constructor (times: LeaseTimes) {
    this._times = times
  }

  /** Whether the right holds at this moment. Checked right before each dispatch. */
  isValid (now: number): boolean {
    return now < this._validUntil
  }

  get validUntil (): number {
    return this._validUntil
  }

  /** A renewal sent at that time took effect. */
  renewed (sentAt: number): void {
    this._validUntil = Math.max(this._validUntil, sentAt + this._times.termMs)
  }

  /** Every watcher promised, for at least that long from when it was asked. */
  promised (askedAt: number, forMs: number): void {
    this._validUntil = Math.max(this._validUntil, askedAt + Math.min(forMs, this._times.termMs))
  }

  /** The row is gone or another incarnation has it: the right will not come back. */
  lose (): void {
    this._validUntil = -Infinity
  }

  /** Whether a renewal is overdue, so that promises should be asked for. */
  isOverdue (now: number): boolean {
    return now > this._validUntil - this._times.termMs + 1.5 * this._times.renewMs
  }
}
