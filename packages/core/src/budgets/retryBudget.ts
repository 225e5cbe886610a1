/** Bounds what is sent beyond the first attempt of each request of a service. */
import { SlidingCount } from './slidingCount.js'

/** How many attempts beyond the first a service bears, summed over all entries. */
export interface RetryTolerance {
  /** Further attempts for each request. */
  ratio: number
  /** Further attempts beyond the ratio within one window. */
  slack: number
  windowMs: number
}

/** Part of the ratio that is used; the rest covers attempts that reach a server in another window than they were granted in. */
const RATIO_USED = 0.85

/**
 * Counts requests and further attempts of one service in one window. Each request is counted by one scheduler, so the ratio
 * holds over all of them; of the slack each takes a share.
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

  /** Notes a first attempt. */
  request (now: number): void {
    this._requests.add(now)
  }

  /** Whether one more attempt may be sent; `share` is this scheduler's part of the slack. */
  allows (share: number, now: number): boolean {
    return this._spent.total(now) + 1 <= this._allowed(share, now)
  }

  /** What is left of the share, between 0 and 1. */
  left (share: number, now: number): number {
    const allowed = this._allowed(share, now)
    return allowed <= 0 ? 0 : Math.max(0, 1 - this._spent.total(now) / allowed)
  }

  /** Notes a further attempt. */
  spend (now: number): void {
    this._spent.add(now)
  }

  private _allowed (share: number, now: number): number {
    const { ratio, slack } = this._tolerance
    return this._requests.total(now) * ratio * RATIO_USED + slack * share
  }
}
