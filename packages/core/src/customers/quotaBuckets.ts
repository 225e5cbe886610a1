/** Counts what each customer may still request, at the entry that keeps the quotas of a group of customers. */
import { RateLimiter, type Rate } from '../budgets/rateLimiter.js'
import type { Customer } from '../configuration/gateway.js'

/** The decision on one request of a customer. */
export type QuotaDecision =
  | { kind: 'within' }
  /** The quota is used up; the customer's next request is due after this time, behind those that were refused before it. */
  | { kind: 'exceeded', retryAfterMs: number }

interface Bucket {
  limiter: RateLimiter
  /** When the caller that was refused last may return. */
  lastReturnAt: number
}

/** Callers are not told to wait longer than this, since quotas change. */
const MAX_RETURN_MS = 10_000

/** One token bucket for each customer with a quota. */
export class QuotaBuckets {
  private readonly _buckets = new Map<string, Bucket>()
  private readonly _initialTokens: (customer: Customer) => number

  /** `initialTokens` is what a customer may request at once when nothing is known of its earlier requests. */
  constructor (initialTokens: (customer: Customer) => number) {
    this._initialTokens = initialTokens
  }

  /** Number of customers with a bucket. */
  get size (): number {
    return this._buckets.size
  }

  /** Decides on a request, and counts it if it is within the quota. `share` is the fraction of the rate that is counted here. */
  take (customer: Customer, share: number, now: number): QuotaDecision {
    const bucket = this._bucketOf(customer, now)
    const rate = rateOf(customer, share)
    const waitMs = bucket.limiter.waitMs(rate, now)
    if (waitMs === 0) {
      bucket.limiter.spend()
      return { kind: 'within' }
    }
    const returnAt = Math.max(now + waitMs, bucket.lastReturnAt + 1 / rate.perMs)
    bucket.lastReturnAt = Math.min(now + MAX_RETURN_MS, returnAt)
    return { kind: 'exceeded', retryAfterMs: bucket.lastReturnAt - now }
  }

  /** Takes back a request that has not run. */
  refund (customer: string): void {
    this._buckets.get(customer)?.limiter.refund()
  }

  /** Forgets all customers, because another entry has counted meanwhile. */
  clear (): void {
    this._buckets.clear()
  }

  private _bucketOf (customer: Customer, now: number): Bucket {
    let bucket = this._buckets.get(customer.name)
    if (!bucket) {
      bucket = { limiter: new RateLimiter(this._initialTokens(customer), now), lastReturnAt: -Infinity }
      this._buckets.set(customer.name, bucket)
    }
    return bucket
  }
}

function rateOf ({ ratePerSecond = Infinity, burst = 0 }: Customer, share: number): Rate {
  return { perMs: Math.max(Number.MIN_VALUE, ratePerSecond * share / 1000), burst: Math.max(1, burst * share) }
}
