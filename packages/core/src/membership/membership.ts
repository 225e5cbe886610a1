/** One entry's part in the membership: joining, renewing, watching, promising and leaving. */
import type { Outbox } from '../effects.js'
import type { Random } from '../random.js'
import { Consent, type Standing } from './consent.js'
import { Lease, type LeaseTimes } from './lease.js'
import type { PromiseAnswer, PromiseRequest } from './messages.js'
import {
  rowOf, type LeaseRow, type Member, type Read, type RevisionRow, type Row, type Transaction, type TransactionResult, type ViewRow
} from './tables.js'
import type { Transactions } from './transactions.js'
import { EMPTY_VIEW, evictors, memberOf, watchedBy, type View } from './view.js'
import { Watch } from './watch.js'

/** How far this process has come. */
export type Phase = 'outside' | 'joining' | 'joined' | 'leaving' | 'left'

/** Who this entry is; its incarnation is drawn at each join. */
export type Identity = Pick<Member, 'instance' | 'zone' | 'region' | 'host' | 'port' | 'peerPort'>

/** What the membership tells the rest of the core. */
export interface MembershipListener {
  /** The configuration revision in force here. */
  readonly revision: number
  viewChanged (now: number): void
  revisionSeen (revision: number, now: number): void
  leaseLost (now: number): void
}

/** What the membership is built from. */
export interface MembershipOptions {
  identity: Identity
  times: LeaseTimes
  outbox: Outbox
  transactions: Transactions
  random: Random
  listener: MembershipListener
}

const SHORTEST_SYNC_GAP_MS = 100
const RETRY_SPREAD_MS = 200
const JOINING_PACE = 8

/** Keeps the view, the lease and the watch over others. */
export class Membership {
  readonly lease: Lease
  private _view: View = EMPTY_VIEW
  private _phase: Phase = 'outside'
  private _incarnation = ''
  private _viewRowVersion = 0
  private _leaseVersion = 0
  private _sequence = 0
  private _members = new Map<string, Member>()
  private _watched: Member[] = []
  private _syncing = false
  private _nextSyncAt = 0
  private _lastSyncAt = -Infinity
  private _reachedAt = -Infinity
  private _wasValid = false
  private _stopWanted = false
  private _mayLeave = false
  private readonly _watch: Watch
  private readonly _consent: Consent
  private readonly _options: MembershipOptions

  constructor (options: MembershipOptions) {
    this._options = options
    this.lease = new Lease(options.times)
    this._watch = new Watch(options.times)
    this._consent = new Consent({ lease: this.lease, watch: this._watch, times: options.times, outbox: options.outbox })
  }

  get identity (): Identity {
    return this._options.identity
  }

  get view (): View {
    return this._view
  }

  get phase (): Phase {
    return this._phase
  }

  get incarnation (): string {
    return this._incarnation
  }

  /** Version of the table's row for the view in force; conditions name it. */
  get viewRowVersion (): number {
    return this._viewRowVersion
  }

  get self (): Member | undefined {
    const member = memberOf(this._view, this._options.identity.instance)
    return member?.incarnation === this._incarnation ? member : undefined
  }

  /** Whether the table service answered lately. */
  tableReached (now: number): boolean {
    return now - this._reachedAt < 2.5 * this._options.times.renewMs
  }

  /** Time since the table service last answered, in milliseconds. */
  tableSilentMs (now: number): number {
    return now - this._reachedAt
  }

  tick (now: number): void {
    if (this._phase === 'left') return
    this._noteLapse(now)
    if (!this._syncing && now >= this._nextSyncAt) this._sync(now)
    if (this.self && this.lease.isOverdue(now)) this._consent.ask(this._standing(), now)
  }

  /** Brings the next exchange with the table forward. */
  hurry (now: number): void {
    this._nextSyncAt = Math.min(this._nextSyncAt, Math.max(now, this._lastSyncAt + SHORTEST_SYNC_GAP_MS))
  }

  /** From now on this entry wants to be given nothing. */
  stop (now: number): void {
    if (this._stopWanted) return
    this._stopWanted = true
    this._options.outbox.log({ decision: 'stopping', instance: this._options.identity.instance, view: this._view.version })
    this.hurry(now)
  }

  /** All servers are handed over; the row may go once no promise binds this entry. */
  allowLeave (): void {
    this._mayLeave = true
  }

  /** A view passed on by a peer. */
  adopt (view: View, now: number): void {
    if (view.version <= this._view.version) return
    this._members = new Map(view.members.map((member) => [member.instance, member]))
    this._viewRowVersion = 0
    this._enforce(view, now)
    this.hurry(now)
  }

  /** A watched entry asks for time. */
  answerPromise (from: Member, request: PromiseRequest, now: number): void {
    this._consent.answer(from, request, this._standing(), now)
  }

  /** A watcher's answer arrived. */
  takePromise (from: string, answer: PromiseAnswer): void {
    this._consent.take(from, answer, this._standing())
  }

  /** The peer's address refused the connection: that process has ended. */
  peerGone (instance: string, incarnation: string): void {
    this._consent.gone(instance, incarnation)
  }

  private _standing (): Standing {
    return { view: this._view, self: this.self, incarnation: this._incarnation, revision: this._options.listener.revision }
  }

  private _extend (sentAt: number): void {
    this.lease.renewed(sentAt)
    this._wasValid = true
  }

  private _noteLapse (now: number): void {
    const valid = this.lease.isValid(now)
    if (this._wasValid && !valid) {
      this._options.outbox.log({ decision: 'lease-lapsed', instance: this._options.identity.instance })
    }
    this._wasValid = valid
  }

  private _sync (now: number): void {
    this._syncing = true
    this._lastSyncAt = now
    this._nextSyncAt = now + this._gapMs()
    const renewal = this._renewal()
    this._options.transactions.submit([renewal], (results, settledAt) => {
      this._syncing = false
      const result = results?.[0]
      if (!result) return
      this._reachedAt = settledAt
      this._synced(result, renewal.writes.length > 0, now, settledAt)
    })
  }

  /** A joining entry looks more often whether all others know of it. */
  private _gapMs (): number {
    const { renewMs } = this._options.times
    return this.self?.state === 'confirmed' ? renewMs : renewMs / JOINING_PACE
  }

  /** Renews the own lease and reads all that may have changed, at one point in time. */
  private _renewal (): Transaction {
    const instance = this._options.identity.instance
    const reads: Read[] = [
      { kind: 'row', table: 'view', key: 'current' },
      { kind: 'row', table: 'configuration', key: 'revision' },
      { kind: 'changed', table: 'members', since: this._sequence },
      ...this._watched.map((member) => ({ kind: 'row' as const, table: 'leases' as const, key: member.instance }))
    ]
    if (!this.self || this._leaseVersion === 0) return { conditions: [], writes: [], reads }
    reads.push({ kind: 'row', table: 'leases', key: instance })
    const value: LeaseRow = { incarnation: this._incarnation, view: this._view.version }
    return {
      conditions: [{ table: 'leases', key: instance, version: this._leaseVersion }],
      writes: [{ table: 'leases', key: instance, value }],
      reads
    }
  }

  private _watchedIn (view: View): Member[] {
    const self = this.self
    if (!self) return []
    const all = evictors(view).filter((member) => member.instance !== self.instance)
    if (self.state === 'joining') return all
    return watchedBy(view, self)
  }

  private _synced (result: TransactionResult, renewing: boolean, sentAt: number, now: number): void {
    if (renewing) this._noteRenewal(result, sentAt)
    this._takeMembers(result, now)
    const revision = rowOf(result, 'configuration', 'revision').value as RevisionRow | undefined
    if (revision) this._options.listener.revisionSeen(revision.revision, now)
    for (const member of this._watched) {
      this._watch.saw(member.instance, rowOf(result, 'leases', member.instance).version, now)
    }
    this._advance(result, now)
  }

  private _noteRenewal (result: TransactionResult, sentAt: number): void {
    const row = rowOf(result, 'leases', this._options.identity.instance)
    if ((row.value as LeaseRow | undefined)?.incarnation !== this._incarnation) return
    this._leaseVersion = row.version
    if (result.committed) this._extend(sentAt)
    else this.hurry(sentAt)
  }

  private _takeMembers (result: TransactionResult, now: number): void {
    const viewRow = rowOf(result, 'view', 'current')
    const value = viewRow.value as ViewRow | undefined
    if (!value || value.version < this._view.version) return
    for (const row of result.rows) {
      if (row.table === 'members') this._takeMember(row)
    }
    this._sequence = result.sequence
    this._viewRowVersion = viewRow.version
    if (value.version === this._view.version) return
    this._enforce({ version: value.version, members: [...this._members.values()], splits: value.splits }, now)
  }

  private _takeMember (row: Row): void {
    if (row.value === undefined) this._members.delete(row.key)
    else this._members.set(row.key, row.value as Member)
  }

  private _enforce (view: View, now: number): void {
    this._view = view
    this._options.outbox.log({ decision: 'view-adopted', view: view.version, figure: view.members.length })
    this._watched = this._watchedIn(view)
    this._watch.viewMoved()
    this._watch.keep(new Set(this._watched.map((member) => member.instance)))
    if (view.members.some((member) => member.state === 'joining')) this.hurry(now)
    if (this._phase === 'joined' && !this.self) this._lost(now)
    this._options.listener.viewChanged(now)
  }

  private _lost (now: number): void {
    this.lease.lose()
    this._phase = 'outside'
    this._leaseVersion = 0
    this._options.outbox.log({ decision: 'lease-lost', instance: this._options.identity.instance, view: this._view.version })
    this._options.listener.leaseLost(now)
  }

  /** Takes the next step of this entry's own life, or evicts one it watches. */
  private _advance (result: TransactionResult, now: number): void {
    if (this._phase === 'outside' && !this._stopWanted) return this._join(now)
    if (this._phase === 'outside') return this._finish()
    const self = this.self
    if (this._phase !== 'joined' || !self) return
    if (this._stopWanted && self.state !== 'stopping') return this._changeSelf({ ...self, state: 'stopping' })
    if (self.state === 'joining' && this._allAcknowledged(result, self)) {
      return this._changeSelf({ ...self, state: 'confirmed' })
    }
    if (this._mayLeave && self.state === 'stopping') return this._leave(now)
    this._evictLapsed(self, now)
  }

  private _allAcknowledged (result: TransactionResult, self: Member): boolean {
    for (const member of evictors(this._view)) {
      if (member.instance === self.instance) continue
      const lease = rowOf(result, 'leases', member.instance).value as LeaseRow | undefined
      if (!lease || lease.incarnation !== member.incarnation || lease.view < self.joinedView) return false
    }
    return true
  }

  private _join (now: number): void {
    this._incarnation = this._options.random.next().toString(36).slice(2, 12)
    const others = evictors(this._view).filter((member) => member.instance !== this._options.identity.instance)
    const member: Member = {
      ...this._options.identity,
      incarnation: this._incarnation,
      state: others.length === 0 ? 'confirmed' : 'joining',
      joinedView: this._view.version + 1
    }
    const lease: LeaseRow = { incarnation: this._incarnation, view: this._view.version + 1 }
    this._phase = 'joining'
    this._changeView([
      { table: 'members', key: member.instance, value: member },
      { table: 'leases', key: member.instance, value: lease }
    ], (result) => {
      this._phase = result ? 'joined' : 'outside'
      if (!result) return
      this._leaseVersion = rowOf(result, 'leases', member.instance).version
      this._extend(now)
      this._options.outbox.log({ decision: 'joined', instance: member.instance, view: member.joinedView })
    })
  }

  private _changeSelf (member: Member): void {
    this._changeView([{ table: 'members', key: member.instance, value: member }], (result) => {
      if (!result || member.state !== 'confirmed') return
      this._options.outbox.log({ decision: 'confirmed', instance: member.instance, view: this._view.version })
    })
  }

  private _leave (now: number): void {
    if (now < this._watch.lastPromiseEnds + this._options.times.marginMs) return
    const instance = this._options.identity.instance
    this._phase = 'leaving'
    this._changeView([{ table: 'members', key: instance }, { table: 'leases', key: instance }], (result) => {
      this._phase = 'joined'
      if (result) this._finish()
    })
  }

  private _finish (): void {
    if (this._phase === 'left') return
    this._phase = 'left'
    this.lease.lose()
    this._options.outbox.log({ decision: 'left', instance: this._options.identity.instance, view: this._view.version })
  }

  private _evictLapsed (self: Member, now: number): void {
    for (const member of this._watched) {
      const version = this._watch.evictable(member.instance, this._waitMs(self, member), now)
      if (version === undefined) {
        this._askAfter(self, member, now)
        continue
      }
      this._watch.evictionSent(member.instance, version)
      this._options.outbox.log({ decision: 'evicted-peer', instance: member.instance, view: this._view.version })
      this._changeView([{ table: 'members', key: member.instance }, { table: 'leases', key: member.instance }],
        () => {}, [{ table: 'leases', key: member.instance, version }])
      return
    }
  }

  /**
   * A joining entry may be unknown to those that cannot reach the table, so it waits far longer,
   * unless the member's address refuses connections: then its process has ended.
   */
  private _waitMs (self: Member, member: Member): number {
    const { termMs, abandonMs } = this._options.times
    return self.state === 'joining' && !this._consent.isGone(member) ? abandonMs : termMs
  }

  /** A joining entry calls members whose leases stand still, to learn whether they are gone. */
  private _askAfter (self: Member, member: Member, now: number): void {
    const { termMs } = this._options.times
    if (self.state !== 'joining' || this._watch.evictable(member.instance, termMs, now) === undefined) return
    const message = { kind: 'news' as const, view: this._view.version, revision: this._options.listener.revision }
    this._options.outbox.put({ kind: 'send', to: member, message })
  }

  /** Writes with the next view's version, on condition that this entry's view is the current one. */
  private _changeView (
    writes: Transaction['writes'], done: (result: TransactionResult | undefined) => void,
    conditions: Transaction['conditions'] = []
  ): void {
    if (this._viewRowVersion === 0 && this._view.version > 0) return done(undefined)
    const value: ViewRow = { version: this._view.version + 1, splits: this._view.splits }
    const transaction: Transaction = {
      conditions: [{ table: 'view', key: 'current', version: this._viewRowVersion }, ...conditions],
      writes: [...writes, { table: 'view', key: 'current', value }],
      reads: [
        { kind: 'row', table: 'view', key: 'current' },
        { kind: 'changed', table: 'members', since: this._sequence },
        { kind: 'row', table: 'leases', key: this._options.identity.instance }
      ]
    }
    this._syncing = true
    this._options.transactions.submit([transaction], (results, settledAt) => {
      this._syncing = false
      this._nextSyncAt = Math.min(this._nextSyncAt, settledAt + this._options.random.next() * RETRY_SPREAD_MS)
      const result = results?.[0]
      if (result?.committed) done(result)
      else done(undefined)
      if (result) this._takeMembers(result, settledAt)
    })
  }
}
