/** Collects the parts of quotas that other entries lend, for the groups of customers that this entry counts, and lends its own part. */
import type { Customer } from '../configuration/gateway.js'
import type { Outbox } from '../effects.js'
import type { Member } from '../members/member.js'
import type {
  QuotaClaimMessage, QuotaCollectMessage, QuotaHandoverMessage, QuotaLendMessage, QuotaReturnMessage
} from '../members/peerMessages.js'
import type { MemberOrder } from '../members/roles.js'
import type { QuotaDecision } from './quotaBuckets.js'
import { QUOTA_GROUPS, QuotaCandidates, quotaGroupOf, type QuotaCandidatesOptions } from './quotaCandidates.js'
import { newQuotaGroup, type QuotaGroup } from './quotaGroup.js'
import type { Handover } from './quotaPool.js'
import type { QuotaLender } from './quotaLender.js'

export interface QuotaHolderOptions extends QuotaCandidatesOptions {
  outbox: Outbox
  lender: QuotaLender
}

/** Several round trips between zones. */
const COLLECTING_MS = 12
/** An entry that has not answered is asked again after this time. */
const RETRY_MS = 50
/** A customer usually gets through its first requests in this time. */
const NEW_HOLDER_MS = 3000
const RESERVE_RETRY_MS = 500
const MIN_RETRY_MS = 5
/** After a handover, the returned parts may still be on their way to their owners. */
const RETURN_MS = 10
/** A holder that is not the first candidate extends its loans no more when it has not been asked for this long. */
const ACTIVE_MS = 1500
const CLAIM_INTERVAL_MS = 50
/** For this long after it has handed over, a holder collects nothing. */
const HANDED_OVER_MS = 500
const HANDOVER_TIMEOUT_MS = 200
/** Keeps a handover within a few packets. The levels of more customers are not handed over. */
const MAX_HANDOVER_CUSTOMERS = 200
/** A holder that counts a smaller fraction passes questions that it would refuse on to one that counts more. */
const PASSING_FRACTION = 0.5

/** Loans that this entry has and gives. */
export class QuotaHolder {
  private readonly _options: QuotaHolderOptions
  private readonly _groups: QuotaGroup[]
  private readonly _candidates: QuotaCandidates

  constructor (options: QuotaHolderOptions) {
    this._options = options
    this._candidates = new QuotaCandidates(options)
    this._groups = Array.from({ length: QUOTA_GROUPS }, (_, number) => newQuotaGroup(() => this._candidates.limitedCustomers(number)))
  }

  /** Whether this entry asks others for their parts, which is due often. */
  isCollectingAt (now: number): boolean {
    return this._candidates.limitedGroups.size > 0 && this._groups.some((_, number) => this._isActive(number, now))
  }

  /** Number of customers that this entry counts. */
  get customerCount (): number {
    return this._groups.reduce((sum, { pool }) => sum + pool.customerCount, 0)
  }

  /** The fraction of a customer's quota that this entry counts. */
  fractionOf (customer: string, now: number): number {
    return this._groups[quotaGroupOf(customer)]!.pool.fractionAt(now)
  }

  /** Entries that may count a customer's requests, the preferred one first. */
  candidatesFor (customer: string): MemberOrder {
    return this._candidates.of(quotaGroupOf(customer))
  }

  /** Counts a request if it is within what is lent to this entry. */
  tryTake (customer: Customer, now: number): boolean {
    const number = quotaGroupOf(customer.name)
    const group = this._groups[number]!
    const isNew = group.pool.fractionAt(now) === 0 && now - group.collectingUntil >= this._options.lender.intervalMs(now)
    if (isNew) group.collectingUntil = now + COLLECTING_MS
    group.activeUntil = now + ACTIVE_MS
    this._collect(number, now)
    return group.pool.tryTake(customer, now)
  }

  /** Counts a request if it is within this entry's own part, since no holder answers. */
  tryTakeAlone (customer: Customer, now: number): boolean {
    const number = quotaGroupOf(customer.name)
    this._collectOwn(number, now)
    return this._groups[number]!.pool.tryTake(customer, now)
  }

  /** Refuses a request. While nothing is lent to this entry, the parts are about to be lent, or come back when other loans end. */
  refuse (customer: Customer, now: number): QuotaDecision {
    const { pool } = this._groups[quotaGroupOf(customer.name)]!
    return pool.fractionAt(now) > 0 ? pool.refuse(customer, now) : { kind: 'exceeded', retryAfterMs: this._options.lender.leaseMs(now) }
  }

  refund (customer: string, ageMs: number, now: number): void {
    this._groups[quotaGroupOf(customer)]!.pool.refund(customer, ageMs, now)
  }

  /** Whether parts or reserves may arrive in a moment. */
  isCollecting (customer: string, now: number): boolean {
    return now < this._groups[quotaGroupOf(customer)]!.collectingUntil || this._options.lender.isLookingForOthers(now)
  }

  /** The holder that probably has a larger part of a customer's quota than this entry. */
  largerHolder (customer: string, now: number): string | undefined {
    const number = quotaGroupOf(customer)
    const { pool, otherHolder, handedOverToAt } = this._groups[number]!
    if (pool.fractionAt(now) >= PASSING_FRACTION || now - handedOverToAt < HANDOVER_TIMEOUT_MS) return undefined
    const { instance } = this._options.roster.self
    if (otherHolder && now - otherHolder.at < 2 * this._options.lender.intervalMs(now)) return otherHolder.instance
    const [first] = this._candidates.of(number)
    return first && first.instance !== instance ? first.instance : undefined
  }

  /** Whether this entry has begun to count a customer's requests a short time ago, so that little has accumulated since. */
  isNew (customer: string, now: number): boolean {
    const { pool } = this._groups[quotaGroupOf(customer)]!
    return pool.fractionAt(now) > 0 && pool.countsForMs(now) < NEW_HOLDER_MS
  }

  /** Asks all entries for their reserves, because the holder of their parts does not answer or this one is new. */
  collectReserves (customer: string, now: number): void {
    const number = quotaGroupOf(customer)
    const group = this._groups[number]!
    if (now < group.reserveUntil + RESERVE_RETRY_MS) return
    group.reserveUntil = now + this._options.lender.intervalMs(now)
    group.collectingUntil = now + COLLECTING_MS
    group.collectAt.clear()
    this._collect(number, now)
  }

  /** Handles a request for this entry's part. */
  collected (from: Member, message: QuotaCollectMessage, now: number): void {
    const { group: number, expiresAt, reserve } = message
    const { lender, outbox } = this._options
    if (!this._groups[number]) return
    if (!this._isActive(number, now)) this._returnOwn(number, now)
    const lending = lender.lend(number, from, message, now)
    outbox.send(from, {
      kind: 'quota-lend',
      group: number,
      expiresAt,
      parts: lender.partsAt(now),
      isLent: lending?.kind === 'lent' || undefined,
      reserve: (reserve && lending && lender.takeReserve(number, now)) || undefined,
      holder: lending?.kind === 'held' ? lending.holder : undefined,
      heldMs: lending?.kind === 'lent' ? undefined : Math.ceil(lending?.forMs ?? lender.settlesInMs(now))
    })
  }

  /** Handles the answer to a request for a part. */
  lent (from: Member, message: QuotaLendMessage, now: number): void {
    const { group: number, parts, isLent, expiresAt, reserve, holder, heldMs = Infinity } = message
    const group = this._groups[number]
    if (!group || !(parts >= 1)) return
    const intervalMs = this._options.lender.intervalMs(now)
    const share = 1 / parts
    const isHandingOver = holder !== undefined && now - group.handedOverToAt < HANDOVER_TIMEOUT_MS
    const delayMs = isHandingOver ? RETURN_MS : Math.min(intervalMs, Math.max(MIN_RETRY_MS, heldMs))
    group.collectAt.set(from.instance, now + delayMs)
    if (reserve) group.pool.reserveLent(share, now)
    if (holder !== undefined) group.otherHolder = { instance: holder, at: now }
    // The answer to a request that was sent before the parts were given back is of no use.
    const isCurrent = expiresAt > now && expiresAt > group.returnedUntil && expiresAt <= group.requestedUntil
    if (isLent && isCurrent) group.pool.lent(from.instance, { share, expiresAt }, now)
  }

  /** Handles the early end of a loan of this entry's part. */
  returned (from: Member, { group, expiresAt }: QuotaReturnMessage, now: number): void {
    this._options.lender.returned(group, from, expiresAt, now)
  }

  /** Hands over to a holder that is preferred to this one. */
  claimed (from: Member, { group: number, claimedAt }: QuotaClaimMessage, now: number): void {
    const group = this._groups[number]
    if (!group || !this._candidates.precedes(number, from) || group.pool.shareAt(now) === 0) return
    const { outbox } = this._options
    const { fraction, levels } = this._release(number, now)
    group.handedOverAt = now
    outbox.log({ decision: 'quota-handed-over', instance: from.instance, count: levels.size })
    const isComplete = levels.size <= MAX_HANDOVER_CUSTOMERS
    outbox.send(from, {
      kind: 'quota-handover',
      group: number,
      incarnation: from.incarnation,
      claimedAt,
      fraction,
      customers: isComplete ? [...levels.keys()] : [],
      tokens: isComplete ? [...levels.values()] : []
    })
  }

  /** Takes over from a holder that has handed over. A late message is of no use, since the parts have accumulated requests again. */
  handedOver ({ group: number, incarnation, claimedAt, fraction, customers, tokens }: QuotaHandoverMessage, now: number): void {
    const group = this._groups[number]
    const isLate = claimedAt > now || now - claimedAt > HANDOVER_TIMEOUT_MS
    if (!group || isLate || incarnation !== this._options.roster.self.incarnation) return
    group.otherHolder = undefined
    group.handedOverToAt = now
    group.collectingUntil = now + COLLECTING_MS
    group.pool.takeOver({ fraction, levels: new Map(customers.map((name, index) => [name, Math.max(0, tokens[index] ?? 0)])) }, now)
    group.collectAt.clear()
    this._collect(number, now)
  }

  tick (now: number): void {
    this._options.lender.tick(now)
    if (this._candidates.limitedGroups.size === 0) return
    for (const group of this._groups) this._logFraction(group, now)
    // The loans of a holder that is no longer active end by themselves, unless a preferred holder claims them before.
    for (const number of this._groups.keys()) {
      if (!this._isActive(number, now)) continue
      this._collect(number, now)
      this._claim(number, now)
    }
  }

  private _logFraction (group: QuotaGroup, now: number): void {
    const fraction = group.pool.fractionAt(now)
    if (fraction === group.loggedFraction) return
    group.loggedFraction = fraction
    this._options.outbox.log({ decision: 'quota-counting', reason: fraction.toFixed(2), count: group.pool.lenders.length })
  }

  /** Asks for parts that have not been lent yet, or whose loans end soon. */
  private _collect (number: number, now: number): void {
    const group = this._groups[number]!
    if (now - group.handedOverAt < HANDED_OVER_MS) return
    const { roster, outbox, lender } = this._options
    const self = roster.self.instance
    const [intervalMs, leaseMs] = [lender.intervalMs(now), lender.leaseMs(now)]
    const reserve = now < group.reserveUntil
    const expiresAt = Math.floor(now + leaseMs)
    group.requestedUntil = Math.max(group.requestedUntil, expiresAt)
    if (reserve || !group.pool.hasLoan(self, now + intervalMs)) this._collectOwn(number, now)
    for (const member of roster.alive) {
      if (member.instance === self || now < (group.collectAt.get(member.instance) ?? -Infinity)) continue
      group.collectAt.set(member.instance, now + (group.pool.hasLoan(member.instance, now) ? intervalMs : RETRY_MS))
      outbox.send(member, { kind: 'quota-collect', group: number, leaseMs, expiresAt, reserve })
    }
  }

  private _collectOwn (number: number, now: number): void {
    const { lender, roster } = this._options
    const { pool, reserveUntil } = this._groups[number]!
    const leaseMs = lender.leaseMs(now)
    const expiresAt = now + leaseMs
    const share = 1 / lender.partsAt(now)
    const lending = lender.lend(number, roster.self, { leaseMs, expiresAt }, now)
    if (lending && now < reserveUntil && lender.takeReserve(number, now)) pool.reserveLent(share, now)
    if (lending?.kind === 'lent') pool.lent(roster.self.instance, { share, expiresAt }, now)
  }

  /** Takes this entry's part back from itself, so that it can be lent. */
  private _returnOwn (number: number, now: number): void {
    const { lender, roster } = this._options
    this._groups[number]!.pool.withdrawn(roster.self.instance, now)
    lender.returned(number, roster.self, Infinity, now)
  }

  /** Asks another holder to hand over if this entry is the first candidate. */
  private _claim (number: number, now: number): void {
    const group = this._groups[number]!
    const { roster, outbox } = this._options
    const { otherHolder } = group
    if (!otherHolder || !this._candidates.isFirst(number) || now - group.claimedAt < CLAIM_INTERVAL_MS) return
    if (now - otherHolder.at > this._options.lender.leaseMs(now)) return
    const holder = roster.get(otherHolder.instance)
    if (!holder || roster.standingOf(holder.instance) !== 'alive') return
    group.claimedAt = now
    outbox.send(holder, { kind: 'quota-claim', group: number, claimedAt: now })
  }

  /** Gives all loans of a group back. */
  private _release (number: number, now: number): Handover {
    const group = this._groups[number]!
    const { roster, outbox } = this._options
    const expiresAt = group.requestedUntil
    group.returnedUntil = expiresAt
    for (const lender of group.pool.lenders) {
      const member = roster.get(lender)
      if (member && lender !== roster.self.instance) outbox.send(member, { kind: 'quota-return', group: number, expiresAt })
    }
    this._options.lender.returned(number, roster.self, Infinity, now)
    group.activeUntil = -Infinity
    group.collectAt.clear()
    return group.pool.handOver(now)
  }

  private _isActive (number: number, now: number): boolean {
    return now < this._groups[number]!.activeUntil || (this._candidates.isFirst(number) && this._candidates.limitedGroups.has(number))
  }
}
