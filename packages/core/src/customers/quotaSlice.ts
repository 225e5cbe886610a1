/** This entry's part of the quotas of a group of customers, which it lends to one holder at a time. */

/** An entry process that counts requests with the parts that others lend to it. */
export interface Holder {
  instance: string
  incarnation: number
}

/** The result of a request for a part. */
export type Lending =
  | { kind: 'lent' }
  /** Another holder has the part for at most this time. */
  | { kind: 'held', holder: string, forMs: number }

/** No loan is longer than this. */
export const MAX_LEASE_MS = 10_000
export class QuotaSlice {
  private _holder: Holder | undefined
  private _lentUntil = -Infinity
  /** End of the loan on the holder's clock. */
  private _expiresAt = -Infinity
  /**
   * Lends the part, or extends the loan of the same holder; `expiresAt` is the end of the loan on the holder's clock. A new process of the
   * holder's instance proves that the old one has ended.
   */
  lend ({ instance, incarnation }: Holder, leaseMs: number, expiresAt: number, now: number): Lending {
    this._expire(now)
    const holder = this._holder
    if (holder && (holder.instance !== instance || holder.incarnation > incarnation)) {
      return { kind: 'held', holder: holder.instance, forMs: this._lentUntil - now }
    }
    this._expiresAt = holder?.incarnation === incarnation ? Math.max(this._expiresAt, expiresAt) : expiresAt
    this._holder = { instance, incarnation }
    this._lentUntil = Math.max(this._lentUntil, now + Math.min(leaseMs, MAX_LEASE_MS))
    return { kind: 'lent' }
  }

  /**
   * Ends the loan before its time, because the holder uses no more what ends until `expiresAt` on its clock. A message that a later loan
   * has overtaken ends nothing.
   */
  returned (from: Holder, expiresAt: number, now: number): void {
    this._expire(now)
    const holder = this._holder
    if (holder?.instance !== from.instance || holder.incarnation !== from.incarnation || expiresAt < this._expiresAt) return
    this._holder = undefined
    this._lentUntil = now
  }

  private _expire (now: number): void {
    if (now >= this._lentUntil) this._holder = undefined
  }
}
