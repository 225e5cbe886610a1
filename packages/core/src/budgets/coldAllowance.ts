/** What a cold backend server may be sent, summed over all entries. */
import { SlidingCount } from './slidingCount.js'

/** How much cold servers of a service bear. */
export interface ColdTolerance {
  /** Requests a second that a cold server of the service bears. */
  perSecond: number
  /** By how much its burst may go beyond that. */
  overage: number
  /** Requests that it bears beyond the rate within one second. */
  slack: number
}

const WINDOW_MS = 1000

/** Counts requests to one cold server within a second against a share of what it bears. */
export class ColdAllowance {
  private readonly _sent = new SlidingCount(WINDOW_MS)

  /** Whether one more request may be sent; `share` is this scheduler's part of the whole tolerance. */
  allows (tolerance: ColdTolerance, share: number, now: number): boolean {
    return this._sent.total(now) + 1 <= (tolerance.perSecond * tolerance.overage + tolerance.slack) * share
  }

  /** Notes a request that was sent. */
  spend (now: number): void {
    this._sent.add(now)
  }
}
