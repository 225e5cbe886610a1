/** The parts of the quotas of a group of customers that other entries lend to this one, and what is left of them. */
import type { Customer } from '../configuration/gateway.js'
import { QuotaBuckets, type QuotaDecision } from './quotaBuckets.js'
import { RESERVE_USE_MS } from './quotaLender.js'

/** The part of an entry, lent to this one. */
interface Loan {
  share: number
  /** On the clock of this entry; never later than the lender counts. */
  expiresAt: number
}

/** What a holder passes on when it gives up all loans. */
export interface Handover {
  /** The fraction of the quotas that it counted. */
  fraction: number
  /** Tokens by customer. */
  levels: ReadonlyMap<string, number>
}

/**
 * A holder with less than this share of the parts counts nothing, and so one that has all but this share counts the whole quota: of the
 * others none can have enough. Machines that are down or cut off for themselves then take nothing from customers.
 */
const MIN_SHARE = 0.25
/** Beside its part, an entry lends this many requests of each customer while the holder of its part does not answer. */
const RESERVE_TOKENS = 5
/** It also lends what the customer may request in this time. */
const RESERVE_S = 0.15
/** Parts that come later than this after a handover may have been used elsewhere. */
const HANDOVER_USE_MS = 200
/** Rounding errors in the sum of all shares are smaller. */
const ROUNDING = 1e-6

/**
 * Counts requests within the fraction of the quotas that the parts allow which are lent to this entry. Every part is with one holder at a
 * time, and a holder that begins to count has no tokens but those that were handed over, so all holders together never accept more
 * than the quota.
 */
export class QuotaPool {
  private readonly _customers: () => Iterable<Customer>
  private readonly _loans = new Map<string, Loan>()
  private readonly _buckets = new QuotaBuckets((customer) => this._fraction * Math.max(1, customer.burst ?? 0))
  private _share = 0
  private _fraction = 0
  private _countsSince = -Infinity
  private _nextExpiryAt = Infinity
  private _reserve = { share: 0, until: -Infinity }
  private readonly _reserveSpent = new Map<string, number>()
  private _handover: Handover | undefined
  private _handoverUntil = -Infinity
  /** Part of the handover that was received so far, between 0 and 1. */
  private _received = 0

  /** `customers` are those that are counted here if they make requests. */
  constructor (customers: () => Iterable<Customer>) {
    this._customers = customers
  }

  /** The sum of the parts that are lent. */
  shareAt (now: number): number {
    this._expire(now)
    return this._share
  }

  /** The fraction of the quotas that is counted here. */
  fractionAt (now: number): number {
    this._expire(now)
    return this._fraction
  }

  /** How long this entry has counted anything. */
  countsForMs (now: number): number {
    return this.fractionAt(now) > 0 ? now - this._countsSince : 0
  }

  /** Number of customers that this entry counts. */
  get customerCount (): number {
    return this._fraction > 0 ? this._buckets.size : 0
  }

  /** The entries whose parts are lent. */
  get lenders (): string[] {
    return [...this._loans.keys()]
  }

  hasLoan (lender: string, now: number): boolean {
    return (this._loans.get(lender)?.expiresAt ?? -Infinity) > now
  }

  /** Adds or extends a loan. */
  lent (lender: string, { share, expiresAt }: Loan, now: number): void {
    this._expire(now)
    this._loans.set(lender, { share, expiresAt: Math.max(expiresAt, this._loans.get(lender)?.expiresAt ?? -Infinity) })
    this._loansChanged(now)
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
    this._expire(now)
    if (this._loans.delete(lender)) this._loansChanged(now)
  }

  /** Counts a request if it is within what is left here. */
  tryTake (customer: Customer, now: number): boolean {
    this._expire(now)
    return this._buckets.tryTake(customer, this._fraction, now) || this._takeReserve(customer, now)
  }

  /** Promises the next free time to a customer whose request is refused. */
  refuse (customer: Customer, now: number): QuotaDecision {
    this._expire(now)
    return this._buckets.refuse(customer, this._fraction, now)
  }

  /** Takes back a request that has not run. */
  refund (customer: string, ageMs: number, now: number): void {
    this._expire(now)
    this._buckets.refund(customer, this._fraction, ageMs, now)
  }

  /** Gives up all loans. Returns what is left of them. */
  handOver (now: number): Handover {
    this._expire(now)
    this._buckets.settle(this._fraction, now)
    const handover = { fraction: this._fraction, levels: this._buckets.levels }
    this._loans.clear()
    this._handover = undefined
    this._loansChanged(now)
    return handover
  }

  /** Takes over what another holder has given up. It comes with the parts that are lent in the next moments. */
  takeOver (handover: Handover, now: number): void {
    if (handover.fraction <= 0) return
    this._handover = handover
    this._handoverUntil = now + HANDOVER_USE_MS
    this._received = 0
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

  private _expire (now: number): void {
    while (now >= this._nextExpiryAt) {
      const at = this._nextExpiryAt
      for (const [lender, { expiresAt }] of this._loans) if (expiresAt <= at) this._loans.delete(lender)
      this._loansChanged(at)
    }
  }

  private _loansChanged (now: number): void {
    let sum = 0
    this._nextExpiryAt = Infinity
    for (const { share, expiresAt } of this._loans.values()) {
      sum += share
      this._nextExpiryAt = Math.min(this._nextExpiryAt, expiresAt)
    }
    this._share = sum
    this._setFraction(fractionOf(this._share), now)
  }

  /** Settles all buckets, so that none accumulates anything for a time in which another fraction was counted. */
  private _setFraction (fraction: number, now: number): void {
    if (fraction === this._fraction) return
    this._buckets.create(this._customers(), now)
    this._buckets.settle(this._fraction, now)
    if (this._fraction === 0) this._countsSince = now
    this._fraction = fraction
    this._buckets.settle(fraction, now)
    if (!this._handover || now >= this._handoverUntil) return
    const received = Math.min(1, fraction / this._handover.fraction)
    const added = Math.max(0, received - this._received)
    this._received = Math.max(received, this._received)
    const { levels } = this._handover
    this._buckets.add(({ name }) => added * (levels.get(name) ?? 0))
  }
}

/** The fraction of the quotas that a holder counts with a share of all parts. */
function fractionOf (share: number): number {
  if (share < MIN_SHARE - ROUNDING) return 0
  return share > 1 - MIN_SHARE + ROUNDING ? 1 : share
}
