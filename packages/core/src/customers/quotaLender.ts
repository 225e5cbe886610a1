/** Lends this entry's part of the quotas to the holders that count for the groups of customers. */
import type { Roster } from '../members/roster.js'
import { QUOTA_GROUPS } from './quotaCandidates.js'
import { MAX_LEASE_MS, QuotaSlice, type Holder, type Lending } from './quotaSlice.js'

export interface QuotaLenderOptions {
  roster: Roster
  /** Whether this entry is the only one through which others join, so that it may be the only one. */
  isOnlySeed: boolean
  /** How long this process has been running before its first periodic work, in milliseconds. */
  upMs: number
}

/** Time between two requests for the same part. Above some 70 entries it grows, so that a holder sends 667 of them a second at most. */
const MIN_COLLECT_INTERVAL_MS = 100
const COLLECT_INTERVAL_PER_ENTRY_MS = 1.5
/** A part is lent for this many intervals, so that some messages may be lost, and for a while more. */
const LEASE_INTERVALS = 3
const LEASE_MARGIN_MS = 100
/** A new process owns its part when every loan by the process before it has ended, and a while later. */
const SETTLING_MARGIN_MS = 50
/**
 * Time between two loans of the reserve, and how long a holder uses it. At most three reserves of an entry are used within 5 seconds, the
 * window in which deployments count: 15 requests and 0.45 seconds' worth, where they tolerate 20 and 0.5 seconds' worth.
 */
const RESERVE_INTERVAL_MS = 3100
export const RESERVE_USE_MS = 3000
/** Time within which an entry that finds no other one has usually read from the store whether there are any. */
const STORE_LOOKUP_MS = 300

/** This entry's equal part of all quotas, lent group by group. */
export class QuotaLender {
  private readonly _options: QuotaLenderOptions
  private readonly _slices: QuotaSlice[] = []
  private _startedAt: number | undefined
  private readonly _reserveLentAt = new Array<number>(QUOTA_GROUPS).fill(-Infinity)

  constructor (options: QuotaLenderOptions) {
    this._options = options
  }

  /** Number of equal parts. */
  partsAt (now: number): number {
    return Math.max(1, this._options.roster.fleet.countAt(now))
  }

  /** Time between two requests for the same part. */
  intervalMs (now: number): number {
    return Math.max(MIN_COLLECT_INTERVAL_MS, COLLECT_INTERVAL_PER_ENTRY_MS * this._options.roster.fleet.countAt(now))
  }

  /** How long a part is lent. */
  leaseMs (now: number): number {
    return Math.min(MAX_LEASE_MS, LEASE_INTERVALS * this.intervalMs(now) + LEASE_MARGIN_MS)
  }

  /** Whether this entry may be the only one, and is about to learn it from the store. */
  isLookingForOthers (now: number): boolean {
    const { isOnlySeed, roster } = this._options
    return isOnlySeed && !roster.fleet.isInformed && now - (this._startedAt ?? now) < STORE_LOOKUP_MS
  }

  /** Time until this entry owns its part. */
  settlesInMs (now: number): number {
    const upMs = this._options.upMs + now - (this._startedAt ?? now)
    return Math.max(0, this.leaseMs(now) + SETTLING_MARGIN_MS - upMs)
  }

  /** Lends the part of a group, or extends the loan. Returns undefined while this entry owns none. */
  lend (group: number, to: Holder, loan: { leaseMs: number, expiresAt: number }, now: number): Lending | undefined {
    return this._slices[group]?.lend(to, loan.leaseMs, loan.expiresAt, now)
  }

  /** Whether the reserve of a group is lent now. */
  takeReserve (group: number, now: number): boolean {
    if (!this._options.roster.fleet.isInformed || now - this._reserveLentAt[group]! < RESERVE_INTERVAL_MS) return false
    this._reserveLentAt[group] = now
    return true
  }

  /** Ends a loan before its time. */
  returned (group: number, from: Holder, expiresAt: number, now: number): void {
    this._slices[group]?.returned(from, expiresAt, now)
  }

  tick (now: number): void {
    this._startedAt ??= now
    if (this._slices.length > 0) return
    const { isOnlySeed, roster: { fleet } } = this._options
    if (!fleet.isInformed) return
    const isAlone = isOnlySeed && fleet.countAt(now) <= 1
    if (!isAlone && this.settlesInMs(now) > 0) return
    for (let group = 0; group < QUOTA_GROUPS; group++) this._slices.push(new QuotaSlice())
  }
}
