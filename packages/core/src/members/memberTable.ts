/** The member list of an entry, including its own process. */
import { Digest, GROUP_COUNT, groupOf } from './digest.js'
import { keyOf, stateOf, supersedes, type Member, type MemberUpdate, type Standing } from './member.js'

/** What this entry knows about another member. */
export interface MemberRecord {
  news: MemberUpdate
  key: number
  state: number
  lastHeardAt: number
  lastPingedAt: number
  suspectSince: number
  /** The suspected member has answered this entry. Other entries suspect it until it refutes the suspicion. */
  suspicionCleared: boolean
}

/** Result of applying an update: 'new' if the standing or the incarnation changed, 'outdated' if the update is stale. */
export type UpdateOutcome = 'new' | 'changed' | 'known' | 'outdated'

/** Members by instance name, with checksums of all members that are not dead. */
export class MemberTable {
  private readonly _records = new Map<string, MemberRecord>()
  private readonly _byKey = new Map<number, string>()
  private readonly _digest = new Digest()
  /** For each group, the states of its members that are not dead, by member key. */
  private readonly _groups = Array.from({ length: GROUP_COUNT }, () => new Map<number, number>())
  private _self: Member
  private readonly _selfKey: number
  private _selfState: number
  private _alive: Member[] | undefined

  constructor (self: Member) {
    this._self = self
    this._selfKey = keyOf(self.instance)
    this._byKey.set(this._selfKey, self.instance)
    this._selfState = stateOf(this.selfUpdate)
    this._addToDigest(this._selfKey, this._selfState)
  }

  get self (): Member {
    return this._self
  }

  get digest (): Digest {
    return this._digest
  }

  /** Members other than this process, whatever their standing. */
  get records (): IterableIterator<MemberRecord> {
    return this._records.values()
  }

  get size (): number {
    return this._records.size
  }

  /** Members other than this process that are not considered dead. */
  get others (): Member[] {
    const others: Member[] = []
    for (const { news } of this._records.values()) {
      if (news.standing !== 'dead') others.push(news.member)
    }
    return others
  }

  /** Members that this entry considers alive, this process first. */
  get alive (): readonly Member[] {
    if (!this._alive) {
      this._alive = [this._self]
      for (const record of this._records.values()) if (effectiveStandingOf(record) === 'alive') this._alive.push(record.news.member)
    }
    return this._alive
  }

  get (instance: string): MemberRecord | undefined {
    return this._records.get(instance)
  }

  /** Replaces the description of this process. */
  restate (self: Member): void {
    this._digest.toggle(this._selfKey, this._selfState)
    this._self = self
    this._selfState = stateOf(this.selfUpdate)
    this._addToDigest(this._selfKey, this._selfState)
    this._alive = undefined
  }

  /** Applies an update about another member if it is newer than the current one. */
  apply (update: MemberUpdate, now: number): UpdateOutcome {
    const { instance, incarnation } = update.member
    const record = this._records.get(instance)
    if (record && !supersedes(update, record.news)) return supersedes(record.news, update) ? 'outdated' : 'known'
    if (!record && update.standing === 'dead') return 'known'
    const former = record?.news.member.incarnation === incarnation ? record : undefined
    this._put({
      news: update,
      key: keyOf(instance),
      state: stateOf(update),
      lastHeardAt: former?.lastHeardAt ?? now,
      lastPingedAt: former?.lastPingedAt ?? -Infinity,
      suspectSince: update.standing === 'alive' ? Infinity : Math.min(now, record?.suspectSince ?? Infinity),
      suspicionCleared: false
    })
    return former && former.news.standing === update.standing ? 'changed' : 'new'
  }

  /** Considers a suspected member alive again after it answered this entry. Returns whether that changes its standing here. */
  clearSuspicion (instance: string): boolean {
    const record = this._records.get(instance)
    if (!record || record.suspicionCleared || record.news.standing !== 'suspect') return false
    record.suspicionCleared = true
    record.suspectSince = Infinity
    this._alive = undefined
    return true
  }

  remove (instance: string): void {
    const record = this._records.get(instance)
    if (!record) return
    this._removeFromDigest(record)
    this._records.delete(instance)
    this._byKey.delete(record.key)
    this._alive = undefined
  }

  /** Returns the current update about a member, by its key. */
  updateForKey (key: number): MemberUpdate | undefined {
    const instance = this._byKey.get(key)
    if (instance === undefined) return undefined
    if (instance === this._self.instance) return this.selfUpdate
    return this._records.get(instance)?.news
  }

  /** The update that describes this process. */
  get selfUpdate (): MemberUpdate {
    return { member: this._self, standing: 'alive' }
  }

  /** States of the members of a group that are not dead, by member key. */
  statesInGroup (group: number): ReadonlyMap<number, number> {
    return this._groups[group] ?? new Map()
  }

  private _put (record: MemberRecord): void {
    const { instance } = record.news.member
    const former = this._records.get(instance)
    if (former) this._removeFromDigest(former)
    this._records.set(instance, record)
    this._byKey.set(record.key, instance)
    if (record.news.standing !== 'dead') this._addToDigest(record.key, record.state)
    this._alive = undefined
  }

  private _removeFromDigest ({ news, key, state }: MemberRecord): void {
    if (news.standing === 'dead') return
    this._digest.toggle(key, state)
    this._groups[groupOf(key)]!.delete(key)
  }

  private _addToDigest (key: number, state: number): void {
    this._digest.toggle(key, state)
    this._groups[groupOf(key)]!.set(key, state)
  }
}

/** Standing of a member in the view of this entry: a suspected member that has answered this entry counts as alive. */
export function effectiveStandingOf ({ news, suspicionCleared }: MemberRecord): Standing {
  return suspicionCleared && news.standing === 'suspect' ? 'alive' : news.standing
}
