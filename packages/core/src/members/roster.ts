/** Maintains the member list of an entry: pings detect changes and carry updates, and comparisons repair lists that differ. */
import { TokenBucket } from '../budgets/tokenBucket.js'
import { draw, type Random } from '../random.js'
import { ExpectedEntries } from './expectedEntries.js'
import { FailureDetector } from './failureDetector.js'
import { FleetSize } from './fleetSize.js'
import { ListRepair, MAX_UPDATES_PER_MESSAGE } from './listRepair.js'
import { MAX_DIRECT_PEERS, type Member, type MemberUpdate, type Standing } from './member.js'
import { MemberTable, effectiveStandingOf, type MemberRecord } from './memberTable.js'
import type { Gossip, PeerMessage, Ping, PingAnswer } from './peerMessages.js'
import { PendingUpdates } from './rumors.js'

/** Dependencies of a roster. */
export interface RosterOptions {
  self: Member
  /** Whether the whole cluster starts for the first time; false by default. */
  isFirstStart?: boolean
  random: Random
  send: (to: Member, message: PeerMessage) => void
  /** Called after any change of the member list. */
  changed: () => void
  /** Called when the standing of a member has changed. */
  standingChanged: (news: MemberUpdate) => void
  /** Called when an entry that has just started reports how many entries it expects to start as well. */
  entriesExpected: (entryCount: number, now: number) => void
}

/** What an entry may change in the description of its process. */
type OwnChange = Partial<Pick<Member, 'phase' | 'reachesStore' | 'isWarm'>>

/** Time within which a suspected member has to refute the suspicion. */
const SUSPICION_TIMEOUT_MS = 1500
const DEAD_MEMBER_RETENTION_MS = 120_000
const EXPIRY_INTERVAL_MS = 100
/** In large clusters, the origin of a change sends it to ORIGIN_FANOUT members, and each receiver forwards it to FORWARD_FANOUT. */
const ORIGIN_FANOUT = 4
const FORWARD_FANOUT = 2
/** A message with more new updates than this is not forwarded at once; pings and comparisons carry these updates instead. */
const MAX_FORWARDED_UPDATES = 4
/** Limits the messages that forward updates at once. */
const MAX_FORWARDS_PER_SECOND = 12
/** The ping interval is shortened for this time after a difference between member lists was found. */
const DIFFERENCE_FAST_PING_DURATION_MS = 250

/** The members that this entry knows, and their standing. */
export class Roster {
  /** The entries that are expected to start at the same time as this one. */
  readonly expected = new ExpectedEntries()
  /** The entries among which limits are divided. */
  readonly fleet: FleetSize
  private readonly _options: RosterOptions
  private readonly _table: MemberTable
  private readonly _detector: FailureDetector
  private readonly _pendingUpdates = new PendingUpdates()
  private readonly _repair: ListRepair
  private _nextExpiryAt = 0
  private readonly _forwardBudget = new TokenBucket(MAX_FORWARDS_PER_SECOND, MAX_FORWARDS_PER_SECOND, 0)

  constructor (options: RosterOptions) {
    this._options = options
    const { self, random, send } = options
    this._table = new MemberTable(self)
    this.fleet = new FleetSize(options.isFirstStart ?? false)
    this._repair = new ListRepair({ table: this._table, send })
    this._detector = new FailureDetector({
      table: this._table,
      random,
      send,
      updatesFor: (instance) => this._updatesFor(instance),
      suspect: (record, now) => this._suspect(record, now),
      suspicionCleared: (record) => {
        options.standingChanged({ member: record.news.member, standing: 'alive' })
        this._changed()
      }
    })
  }

  get self (): Member {
    return this._table.self
  }

  /** Members that this entry considers alive, including itself. */
  get alive (): readonly Member[] {
    return this._table.alive
  }

  /** Members that are not considered dead, excluding this entry. */
  get others (): Member[] {
    return this._table.others
  }

  /** Whether the cluster is so large that broadcasts are forwarded by some of the receivers. */
  get isLarge (): boolean {
    return this.alive.length - 1 > MAX_DIRECT_PEERS
  }

  /** Number of entries that may be running, or that this entry expects after its start. */
  mostAt (now: number): number {
    return Math.max(this.alive.length, this.fleet.countAt(now), this.expected.count)
  }

  /** Time at which the next periodic work is due. */
  get dueAt (): number {
    return this._detector.dueAt
  }

  get (instance: string): Member | undefined {
    return instance === this.self.instance ? this.self : this._table.get(instance)?.news.member
  }

  standingOf (instance: string): Standing | undefined {
    if (instance === this.self.instance) return 'alive'
    const record = this._table.get(instance)
    return record && effectiveStandingOf(record)
  }

  /** Updates about all members that are not dead, including this entry, for status reports. */
  get news (): MemberUpdate[] {
    const updates = [this._table.selfUpdate]
    for (const record of this._table.records) if (record.news.standing !== 'dead') updates.push(record.news)
    return updates
  }

  /** Changes the description of this process and broadcasts it. */
  announce (change: OwnChange, now: number): void {
    const { phase, reachesStore, isWarm } = { ...this.self, ...change }
    if (phase === this.self.phase && reachesStore === this.self.reachesStore && isWarm === this.self.isWarm) return
    this._restate({ phase, reachesStore, isWarm }, now)
  }

  /** Creates a ping that introduces this entry to an entry of which only the address is known. */
  introductionPing (): Ping {
    return { ...this._detector.introductionPing(), entryCount: this.expected.count || undefined }
  }

  /**
   * Handles the membership part of a message from another process. Returns the sender, or undefined if the sender is not known or
   * is known with another incarnation.
   */
  received (from: string, incarnation: number, message: PeerMessage, now: number): Member | undefined {
    if ('news' in message && (message.kind !== 'gossip' || !this.get(from))) this._applyAll(message.news, now)
    const member = this.get(from)
    if (!member || member.incarnation !== incarnation) return undefined
    const record = this._table.get(from)
    if (record) record.lastHeardAt = now
    this._dispatch(member, message, now)
    return member
  }

  private _dispatch (from: Member, message: PeerMessage, now: number): void {
    switch (message.kind) {
      case 'ping': return this._handlePing(from, message, now)
      case 'ping-answer': return this._handlePingAnswer(from, message, now)
      case 'gossip': return this._handleGossip(from, message, now)
      case 'compare': return this._repair.handleCompare(from, message, now)
      case 'want': return this._repair.handleWant(from, message, now)
    }
  }

  private _handlePing (from: Member, ping: Ping, now: number): void {
    if (ping.target !== undefined) {
      if (ping.target !== this.self.instance) this._detector.relay(from, ping)
      return
    }
    if (ping.entryCount !== undefined) this._options.entriesExpected(ping.entryCount, now)
    const { digest } = this._table
    const differs = ping.digest !== digest.checksum
    if (differs) this._detector.pingFaster(now, DIFFERENCE_FAST_PING_DURATION_MS)
    this._options.send(from, {
      kind: 'ping-answer',
      sequence: ping.sequence,
      digest: digest.checksum,
      news: this._updatesFor(from.instance),
      groups: differs ? [...digest.groups] : undefined,
      fleet: this.fleet.statementAt(now)
    })
  }

  private _handlePingAnswer (from: Member, answer: PingAnswer, now: number): void {
    this._detector.answered(from.instance, answer, now)
    if (answer.fleet) this.fleet.report(answer.fleet, now)
    if (answer.groups && this._repair.compare(from, answer.groups, now)) this._detector.pingFaster(now, DIFFERENCE_FAST_PING_DURATION_MS)
  }

  /** Handles updates that came without a ping. Forwards a small number at once and sends newer updates back to a stale sender. */
  private _handleGossip (from: Member, { news }: Gossip, now: number): void {
    const { fresh, outdated } = this._applyAll(news, now)
    if (outdated.length > 0) this._repair.sendUpdates(from, outdated, now)
    if (
      fresh.length > 0 && fresh.length <= MAX_FORWARDED_UPDATES && this._table.size > MAX_DIRECT_PEERS
    ) this._forward(fresh, FORWARD_FANOUT, now)
  }

  tick (now: number): void {
    this._detector.tick(now)
    this.expected.tick(now)
    this.fleet.tick(this.alive, now)
    if (now < this._nextExpiryAt) return
    this._nextExpiryAt = now + EXPIRY_INTERVAL_MS
    this._expireMembers(now)
  }

  private _applyAll (updates: readonly MemberUpdate[], now: number): { fresh: MemberUpdate[], outdated: MemberUpdate[] } {
    const fresh: MemberUpdate[] = []
    const outdated: MemberUpdate[] = []
    for (const update of updates) {
      if (update.member.instance === this.self.instance) {
        this._refute(update, now)
        continue
      }
      const outcome = this._table.apply(update, now)
      if (outcome === 'outdated') outdated.push(this._table.get(update.member.instance)!.news)
      if (outcome !== 'new' && outcome !== 'changed') continue
      fresh.push(update)
      if (outcome === 'new') this._options.standingChanged(update)
    }
    if (fresh.length > 0) this._changed()
    // Many updates in one message repair a member list. Other members receive them in the same way, so they need no extra sends.
    if (fresh.length <= MAX_FORWARDED_UPDATES || this._table.size <= MAX_DIRECT_PEERS) {
      for (const { member } of fresh) this._pendingUpdates.add(member.instance)
    }
    return { fresh, outdated }
  }

  /**
   * Refutes an update about this process that is wrong: another member suspects it, knows a later state of it than it has
   * sent, or takes a former process of this instance for the later one.
   */
  private _refute (update: MemberUpdate, now: number): void {
    const { incarnation, sequence } = update.member
    const { self } = this
    if (incarnation < self.incarnation) return
    if (incarnation > self.incarnation) {
      // The clock of the instance was set back between the start of the former process and the start of this one.
      this._table.restate({ ...self, incarnation: incarnation + 1 })
      return this._restate({}, now)
    }
    if (sequence < self.sequence || (update.standing === 'alive' && sequence === self.sequence)) return
    this._table.restate({ ...self, sequence })
    this._restate({}, now)
  }

  private _restate (change: OwnChange, now: number): void {
    this._table.restate({ ...this.self, ...change, sequence: this.self.sequence + 1 })
    this._pendingUpdates.add(this.self.instance)
    this._broadcast([this._table.selfUpdate], now)
    this._changed()
  }

  private _changed (): void {
    this._options.changed()
  }

  private _suspect (record: MemberRecord, now: number): void {
    const update: MemberUpdate = { member: record.news.member, standing: 'suspect' }
    if (record.suspicionCleared) {
      record.suspicionCleared = false
      record.suspectSince = now
      this._changed()
    }
    this._applyAll([update], now)
    this._broadcast([update], now)
  }

  private _expireMembers (now: number): void {
    const dead: MemberUpdate[] = []
    for (const { news, suspectSince, suspicionCleared } of this._table.records) {
      if (news.standing === 'alive' || suspicionCleared) continue
      if (news.standing === 'suspect' && now - suspectSince >= SUSPICION_TIMEOUT_MS) dead.push({ member: news.member, standing: 'dead' })
      else if (news.standing === 'dead' && now - suspectSince >= DEAD_MEMBER_RETENTION_MS) this._table.remove(news.member.instance)
    }
    if (dead.length > 0) this._applyAll(dead, now)
  }

  /** Selects updates for a ping: those with the fewest sends, this process, and the receiver if it is not alive. */
  private _updatesFor (to: string): MemberUpdate[] {
    const updates = this._pendingUpdates.next(
      MAX_UPDATES_PER_MESSAGE - 2,
      (instance) => instance === to ? undefined : this._updateOf(instance)
    )
    if (!updates.some(({ member }) => member.instance === this.self.instance)) updates.unshift(this._table.selfUpdate)
    const receiverRecord = this._table.get(to)
    if (receiverRecord && receiverRecord.news.standing !== 'alive') updates.push(receiverRecord.news)
    return updates
  }

  private _updateOf (instance: string): MemberUpdate | undefined {
    return instance === this.self.instance ? this._table.selfUpdate : this._table.get(instance)?.news
  }

  /** Broadcasts a change that this entry has made; in large clusters it sends the change to a few members, which forward it. */
  private _broadcast (updates: MemberUpdate[], now: number): void {
    if (this._table.size > MAX_DIRECT_PEERS) return this._forward(updates, ORIGIN_FANOUT, now)
    const message: Gossip = { kind: 'gossip', news: updates }
    for (const member of this.others) this._options.send(member, message)
  }

  private _forward (updates: MemberUpdate[], count: number, now: number): void {
    const { alive } = this
    for (let sent = 0; sent < count; sent++) {
      const member = draw(alive, this._options.random)!
      if (member.instance === this.self.instance) continue
      if (!this._forwardBudget.take(now)) return
      this._options.send(member, { kind: 'gossip', news: updates })
    }
  }
}
