/** Limits the retries and hedges of a service's requests. */
import { SlidingCount } from './slidingCount.js'

/** How many further attempts (retries and hedges) all entries together may send to a service. */
export interface RetryTolerance {
  /** Further attempts per request. */
  ratio: number
  /** Further attempts that are allowed within one window in addition to the ratio. */
  slack: number
  windowMs: number
}

/** Fraction of the ratio that is granted; the rest covers attempts that reach a server in a later window than the one of their grant. */
const USED_RATIO_FRACTION = 0.85

/**
 * Counts the requests and further attempts of one service within a window. Each request is counted by one scheduler, so the ratio
 * holds for the sum over all schedulers; the slack is divided among them.
 */
export class RetryBudget {
  private readonly _requests: SlidingCount
  private readonly _spent: SlidingCount
  private readonly _tolerance: RetryTolerance

  constructor (tolerance: RetryTolerance) {
    this._tolerance = tolerance
    this._requests = new SlidingCount(tolerance.windowMs)
    this._spent = new SlidingCount(tolerance.windowMs)
  }

  /** Counts a first attempt. */
  request (now: number): void {
    this._requests.add(now)
  }

  /** Whether one more attempt may be sent; `share` is the fraction of the slack that this scheduler may use. */
  allows (share: number, now: number): boolean {
    return this._spent.total(now) + 1 <= this._allowed(share, now)
  }

  /** Unspent fraction of this scheduler's budget, between 0 and 1. */
  left (share: number, now: number): number {
    const allowed = this._allowed(share, now)
    return allowed <= 0 ? 0 : Math.max(0, 1 - this._spent.total(now) / allowed)
  }

  /** Counts a further attempt. */
  spend (now: number): void {
    this._spent.add(now)
  }

  /** Takes back a further attempt that was not sent. */
  refund (now: number): void {
    this._spent.add(now, -1)
  }

  private _allowed (share: number, now: number): number {
    const { ratio, slack } = this._tolerance
    return this._requests.total(now) * ratio * USED_RATIO_FRACTION + slack * share
  }
}
