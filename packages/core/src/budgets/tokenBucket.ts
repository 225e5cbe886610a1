/** Token bucket rate limiter. */

/** Allows `ratePerSecond` on average and `burst` at once. */
export class TokenBucket {
  private _tokens: number
  private _refilledAt: number

  constructor (readonly ratePerSecond: number, readonly burst: number, now: number) {
    this._tokens = burst
    this._refilledAt = now
  }

  /** Takes one token if one is available, and returns whether it did. */
  take (now: number): boolean {
    this._refill(now)
    if (this._tokens < 1) return false
    this._tokens -= 1
    return true
  }

  /** Removes all tokens. The bucket keeps refilling at its rate. */
  empty (): void {
    this._tokens = 0
  }

  private _refill (now: number): void {
    const elapsedMs = Math.max(0, now - this._refilledAt)
    this._tokens = Math.min(this.burst, this._tokens + elapsedMs * this.ratePerSecond / 1000)
    this._refilledAt = now
  }
}
