/** Token buckets for the quotas of customers. */
import { RateLimiter, type Rate } from '../budgets/rateLimiter.js'
import type { Customer } from '../configuration/gateway.js'
import { RecentPeaks } from './recentPeaks.js'

/** The decision on one request of a customer. */
export type QuotaDecision =
  /** `holder`: the entry that has counted the request. */
  | { kind: 'within', holder?: string }
  /** The quota is used up; the customer's next request is due after this time, behind those that were refused before it. */
  | { kind: 'exceeded', retryAfterMs: number }

interface Bucket {
  customer: Customer
  limiter: RateLimiter
  peaks: RecentPeaks
  /** When the caller that was refused last may return. */
  lastReturnAt: number
}

/** Callers are not told to wait longer than this, since quotas change. */
const MAX_RETURN_MS = 10_000
/** Keeps waiting times finite while nothing is lent. */
const MIN_PER_MS = 1e-9
/** One token bucket for each customer with a quota. */
export class QuotaBuckets {
  private readonly _buckets = new Map<string, Bucket>()
  private readonly _initialTokens: (customer: Customer) => number

  /** `initialTokens` is what a customer may request at once when its bucket is created. */
  constructor (initialTokens: (customer: Customer) => number) {
    this._initialTokens = initialTokens
  }

  /** Number of customers with a bucket. */
  get size (): number {
    return this._buckets.size
  }

  /** Decides on a request, and counts it if it is within the quota. `share` is the fraction of the quota that is counted here. */
  take (customer: Customer, share: number, now: number): QuotaDecision {
    return this.tryTake(customer, share, now) ? { kind: 'within' } : this.refuse(customer, share, now)
  }

  /** Counts a request if it is within the quota. */
  tryTake (customer: Customer, share: number, now: number): boolean {
    const bucket = this._bucketOf(customer, now)
    if (this._refill(bucket, rateOf(customer, share), now) > 0) return false
    bucket.limiter.spend()
    return true
  }

  /** Promises the next free time to a customer whose request is not within its quota. */
  refuse (customer: Customer, share: number, now: number): QuotaDecision {
    const bucket = this._bucketOf(customer, now)
    const rate = rateOf(customer, share)
    const returnAt = Math.max(now + this._refill(bucket, rate, now), bucket.lastReturnAt + 1 / rate.perMs)
    bucket.lastReturnAt = Math.min(now + MAX_RETURN_MS, returnAt)
    return { kind: 'exceeded', retryAfterMs: bucket.lastReturnAt - now }
  }

  /** Takes back a request that was counted some time ago and has not run, unless its token would have been lost meanwhile. */
  refund (customer: string, share: number, ageMs: number, now: number): void {
    const bucket = this._buckets.get(customer)
    if (!bucket) return
    const rate = rateOf(bucket.customer, share)
    this._refill(bucket, rate, now)
    if (bucket.peaks.raise(now - ageMs, rate.burst, now)) bucket.limiter.add(1)
  }

  /** Creates the buckets that do not exist yet. */
  create (customers: Iterable<Customer>, now: number): void {
    for (const customer of customers) this._bucketOf(customer, now)
  }

  /** Adds what has accumulated with a share, before the share changes. */
  settle (share: number, now: number): void {
    for (const bucket of this._buckets.values()) this._refill(bucket, rateOf(bucket.customer, share), now)
  }

  /** Adds tokens to all buckets. */
  add (tokens: (customer: Customer) => number): void {
    for (const { customer, limiter } of this._buckets.values()) limiter.add(tokens(customer))
  }

  /** Tokens by customer. */
  get levels (): Map<string, number> {
    return new Map([...this._buckets].map(([name, { limiter }]) => [name, limiter.tokens]))
  }

  private _refill (bucket: Bucket, rate: Rate, now: number): number {
    const waitMs = bucket.limiter.waitMs(rate, now)
    bucket.peaks.record(bucket.limiter.tokens, now)
    return waitMs
  }

  private _bucketOf (customer: Customer, now: number): Bucket {
    let bucket = this._buckets.get(customer.name)
    if (!bucket) {
      const limiter = new RateLimiter(this._initialTokens(customer), now)
      bucket = { customer, limiter, peaks: new RecentPeaks(), lastReturnAt: -Infinity }
      this._buckets.set(customer.name, bucket)
    }
    bucket.customer = customer
    return bucket
  }
}

/** Whoever counts anything can hold one request. */
function rateOf ({ ratePerSecond = Infinity, burst = 0 }: Customer, share: number): Rate {
  return {
    perMs: Math.max(MIN_PER_MS, ratePerSecond * share / 1000),
    burst: share > 0 ? Math.max(1, burst * share) : 0
  }
}
