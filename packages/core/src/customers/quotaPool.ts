/** The parts of the quotas of a group of customers that other entries lend to this one, and what is left of them. */
import type { Customer } from '../configuration/gateway.js'
import { QuotaBuckets, type QuotaDecision } from './quotaBuckets.js'
import { RESERVE_USE_MS } from './quotaLender.js'

/** The part of an entry, lent to this one. */
interface Loan {
  share: number
  /** On the clock of this entry; never later than the lender counts. */
  expiresAt: number
  lentAt: number
  restedMs: number
}

/** What a holder passes on when it gives up all loans. */
export interface Handover {
  share: number
  /** Tokens by customer. */
  levels: ReadonlyMap<string, number>
  /** Customers that are not among them have requested nothing for this long. */
  idleMs: number
}

/** Beside its part, an entry lends this many requests of each customer while the holder of its part does not answer. */
const RESERVE_TOKENS = 4
/** It also lends what the customer may request in this time. */
const RESERVE_S = 0.13
/** Parts that come later than this after a handover have accumulated requests elsewhere. */
const HANDOVER_USE_MS = 200
/** Makes up for rounding errors in the sum of all shares. */
const ROUNDING = 1e-9

/**
 * Counts requests within the sum of the parts that are lent to this entry. Every part is with one holder at a time, and a part that a
 * holder has not returned starts anew with nothing, so all holders together never accept more than the quota.
 */
export class QuotaPool {
  private readonly _loans = new Map<string, Loan>()
  private readonly _buckets = new QuotaBuckets((customer, now) => this._initialTokens(customer, now))
  private _share = 0
  private _nextExpiryAt = Infinity
  private _reserve = { share: 0, until: -Infinity }
  private readonly _reserveSpent = new Map<string, number>()
  private _handover: Handover | undefined
  private _handoverUntil = -Infinity
  /** Fraction of the handover that came with parts so far. */
  private _receivedFraction = 0

  /** The sum of the parts that are lent. */
  shareAt (now: number): number {
    this._expire(now)
    return this._share
  }

  /** Number of customers that this entry counts. */
  get customerCount (): number {
    return this._buckets.size
  }

  /** The entries whose parts are lent. */
  get lenders (): string[] {
    return [...this._loans.keys()]
  }

  hasLoan (lender: string, now: number): boolean {
    return (this._loans.get(lender)?.expiresAt ?? -Infinity) > now
  }

  /** Adds or extends a loan. `restedMs` is the time for which nobody has used the part. */
  lent (lender: string, { share, restedMs, expiresAt }: Omit<Loan, 'lentAt'>, now: number): void {
    this._expire(now)
    this._buckets.settle(this._share, now)
    const loan = this._loans.get(lender)
    if (loan) {
      loan.expiresAt = Math.max(loan.expiresAt, expiresAt)
      loan.share = share
    } else {
      this._loans.set(lender, { share, restedMs, expiresAt, lentAt: now })
      const fraction = this._handover && now < this._handoverUntil ? Math.min(share / this._handover.share, 1 - this._receivedFraction) : 0
      this._receivedFraction += fraction
      this._buckets.add((customer) => tokensOf(customer, share, restedMs) + fraction * this._handedOver(customer))
    }
    this._sharesChanged()
  }

  /** Adds the reserve of an entry, which does not need its part. */
  reserveLent (share: number, now: number): void {
    if (now >= this._reserve.until) {
      this._reserve = { share: 0, until: now + RESERVE_USE_MS }
      this._reserveSpent.clear()
    }
    this._reserve.share += share
  }

  /** Ends the loan of an entry that uses its part elsewhere. */
  withdrawn (lender: string, now: number): void {
    if (!this._loans.has(lender)) return
    this._expire(now)
    this._buckets.settle(this._share, now)
    this._loans.delete(lender)
    this._sharesChanged()
  }

  /** Counts a request if it is within what is left here. */
  tryTake (customer: Customer, now: number): boolean {
    this._expire(now)
    return this._buckets.tryTake(customer, this._share, now) || this._takeReserve(customer, now)
  }

  /** Promises the next free time to a customer whose request is refused. */
  refuse (customer: Customer, now: number): QuotaDecision {
    this._expire(now)
    return this._buckets.refuse(customer, this._share, now)
  }

  /** Takes back a request that has not run. */
  refund (customer: string, ageMs: number, now: number): void {
    this._expire(now)
    this._buckets.refund(customer, this._share, ageMs, now)
  }

  /** Gives up all loans. Returns what is left of them. */
  handOver (now: number): Handover {
    this._expire(now)
    this._buckets.settle(this._share, now)
    let idleMs = this._loans.size === 0 ? 0 : Infinity
    for (const { restedMs, lentAt } of this._loans.values()) idleMs = Math.min(idleMs, restedMs + now - lentAt)
    const handover = { share: this._share, levels: this._buckets.levels, idleMs }
    this._loans.clear()
    this._buckets.clear()
    this._handover = undefined
    this._sharesChanged()
    return handover
  }

  /** Takes over what another holder has given up. It comes with the parts that are lent in the next moments. */
  takeOver (handover: Handover, now: number): void {
    if (handover.share <= 0) return
    this._handover = handover
    this._handoverUntil = now + HANDOVER_USE_MS
    this._receivedFraction = 0
  }

  private _takeReserve (customer: Customer, now: number): boolean {
    if (now >= this._reserve.until) return false
    const { ratePerSecond = 0, burst = 0, name } = customer
    const all = this._reserve.share * (Math.min(Math.max(1, burst), RESERVE_TOKENS) + ratePerSecond * RESERVE_S)
    const spent = this._reserveSpent.get(name) ?? 0
    if (spent + 1 > all + ROUNDING) return false
    this._reserveSpent.set(name, spent + 1)
    return true
  }

  private _initialTokens (customer: Customer, now: number): number {
    let tokens = this._receivedFraction * this._handedOver(customer)
    for (const { share, restedMs, lentAt } of this._loans.values()) tokens += tokensOf(customer, share, restedMs + now - lentAt)
    return tokens
  }

  private _handedOver (customer: Customer): number {
    if (!this._handover) return 0
    const { levels, share, idleMs } = this._handover
    return levels.get(customer.name) ?? tokensOf(customer, share, idleMs)
  }

  private _expire (now: number): void {
    while (now >= this._nextExpiryAt) {
      this._buckets.settle(this._share, this._nextExpiryAt)
      for (const [lender, { expiresAt }] of this._loans) if (expiresAt <= this._nextExpiryAt) this._loans.delete(lender)
      this._sharesChanged()
    }
  }

  private _sharesChanged (): void {
    let sum = 0
    this._nextExpiryAt = Infinity
    for (const { share, expiresAt } of this._loans.values()) {
      sum += share
      this._nextExpiryAt = Math.min(this._nextExpiryAt, expiresAt)
    }
    this._share = this._loans.size === 0 ? 0 : Math.min(1, sum + ROUNDING)
  }
}

/** What a part accumulates in a time of rest. */
function tokensOf ({ ratePerSecond = 0, burst = 0 }: Customer, share: number, restedMs: number): number {
  return share * Math.min(Math.max(1, burst), ratePerSecond * restedMs / 1000)
}
