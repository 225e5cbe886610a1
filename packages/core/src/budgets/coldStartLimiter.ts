/** Limits the requests that all entries together send to a backend server during its cold start. */
import { SlidingCount } from './slidingCount.js'

/** How many requests a cold server of a service can take. */
export interface ColdTolerance {
  /** Requests per second that a cold server of the service can take. */
  perSecond: number
  /** Factor by which a burst may exceed `perSecond`. */
  overage: number
  /** Requests that it can take within one second in addition to the rate. */
  slack: number
}

const WINDOW_MS = 1000

/** Limits the requests that one scheduler sends to one cold server within a second to its share of the tolerance. */
export class ColdStartLimiter {
  private readonly _sent = new SlidingCount(WINDOW_MS)

  /** Whether one more request may be sent; `share` is the fraction of the tolerance that this scheduler may use. */
  allows (tolerance: ColdTolerance, share: number, now: number): boolean {
    return this._sent.total(now) + 1 <= (tolerance.perSecond * tolerance.overage + tolerance.slack) * share
  }

  /** Counts a request that was sent. */
  spend (now: number): void {
    this._sent.add(now)
  }
}
