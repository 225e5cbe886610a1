/** Token bucket whose rate may change between calls. */

/** The rate and the burst of a bucket at one moment. */
export interface Rate {
  /** Tokens that are added per millisecond. */
  perMs: number
  /** Most tokens that the bucket holds; at least 1. */
  burst: number
}

export class RateLimiter {
  private _tokens: number
  private _refilledAt: number

  constructor (tokens: number, now: number) {
    this._tokens = tokens
    this._refilledAt = now
  }

  /** Time until a token is available, in milliseconds; 0 if there is one. */
  waitMs (rate: Rate, now: number): number {
    this._refill(rate, now)
    return this._tokens >= 1 ? 0 : (1 - this._tokens) / rate.perMs
  }

  /** Takes a token. */
  spend (): void {
    this._tokens -= 1
  }

  /** Adds tokens. Those above the burst are lost at the next call that names a rate. */
  add (tokens: number): void {
    this._tokens += tokens
  }

  get tokens (): number {
    return this._tokens
  }

  private _refill ({ perMs, burst }: Rate, now: number): void {
    this._tokens = Math.min(burst, this._tokens + Math.max(0, now - this._refilledAt) * perMs)
    this._refilledAt = Math.max(this._refilledAt, now)
  }
}
