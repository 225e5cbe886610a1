/** Assigns cluster-wide roles to members. Entries that know the same members assign the same roles. */
import { hash } from '../hash.js'
import { zoneOfCell } from '../placement/cells.js'
import type { Member } from './member.js'
import type { Roster } from './roster.js'

/** Candidates for one role, the preferred one first. */
export type MemberOrder = readonly Member[]

/** Weights grow with this power of the number of cores: an entry with twice the cores is chosen 2 ** CORES_EXPONENT times as often. */
const CORES_EXPONENT = 4
/** Number of candidates computed for a role; candidates after these are never used. */
const MAX_CANDIDATES = 3
/** When at least this many members cannot reach the store, the store itself is considered unreachable and the order stays unchanged. */
const STORE_OUTAGE_MEMBER_COUNT = 3
const HASH_RANGE = 2 ** 32

/** Candidates by role, computed on demand and cached until the members change. */
export class Roles {
  private readonly _roster: Roster
  private readonly _schedulers = new Map<string, MemberOrder>()
  private readonly _keepers = new Map<string, MemberOrder>()
  private readonly _logHashes = new Map<string, Map<string, number>>()
  private _leaderCandidates: Member[] | undefined
  private _leaderRank: number | undefined
  private _warmMembers: readonly Member[] | undefined

  constructor (roster: Roster) {
    this._roster = roster
  }

  /** Discards the cached candidates after a change of the roster. */
  invalidate (): void {
    this._schedulers.clear()
    this._keepers.clear()
    this._leaderCandidates = undefined
    this._leaderRank = undefined
    this._warmMembers = undefined
  }

  /** Scheduler candidates for a cell, the preferred one first. Those of the cell's zone come first, so that its messages stay there. */
  schedulersOf (cell: string): MemberOrder {
    let order = this._schedulers.get(cell)
    if (!order) {
      const role = `scheduler ${cell}`
      const zone = zoneOfCell(cell)
      const inZone = zone === undefined ? [] : this._schedulable().filter((member) => member.zone === zone)
      const elsewhere = zone === undefined ? this._schedulable() : this._schedulable().filter((member) => member.zone !== zone)
      order = [...this._topCandidates(role, inZone), ...this._topCandidates(role, elsewhere)].slice(0, MAX_CANDIDATES)
      this._schedulers.set(cell, order)
    }
    return order
  }

  /** Candidates to keep a count for all entries, the preferred one first. Unlike schedulers they need not have warmed up. */
  keepersOf (count: string): MemberOrder {
    let order = this._keepers.get(count)
    if (!order) {
      const ready = this._roster.alive.filter(({ phase }) => phase === 'ready')
      order = this._topCandidates(count, ready.length > 0 ? ready : this._notLeaving())
      this._keepers.set(count, order)
    }
    return order
  }

  /** Candidates for the change-feed leader, the preferred one first. Members that cannot reach the store come last. */
  get watchers (): MemberOrder {
    this._leaderCandidates ??= this._orderLeaderCandidates()
    return this._leaderCandidates
  }

  /** Position of this entry among the candidates for the change-feed leader; 0 is the leader. */
  get leaderRank (): number {
    this._leaderRank ??= this.watchers.findIndex((member) => member.instance === this._roster.self.instance)
    return this._leaderRank
  }

  /** Whether so many members cannot reach the store that the cause is not a few of them. */
  get isStoreAway (): boolean {
    const members = this._notLeaving()
    const outageThreshold = Math.min(STORE_OUTAGE_MEMBER_COUNT, Math.ceil(members.length / 2))
    return members.filter(({ reachesStore }) => !reachesStore).length >= outageThreshold
  }

  private _orderLeaderCandidates (): Member[] {
    const members = this._notLeaving()
    const order = [...members].sort((a, b) => this._score('watcher', b) - this._score('watcher', a) || (a.instance < b.instance ? -1 : 1))
    if (this.isStoreAway) return withOtherZoneSecond(order)
    const withoutStore = order.filter((member) => !member.reachesStore)
    return [...withOtherZoneSecond(order.filter((member) => member.reachesStore)), ...withoutStore]
  }

  /** Returns the members with the highest scores without sorting the others. */
  private _topCandidates (role: string, members: readonly Member[]): Member[] {
    const best: Array<{ member: Member, score: number }> = []
    for (const member of members) {
      const score = this._score(role, member)
      const last = best.at(-1)
      if (best.length === MAX_CANDIDATES && score <= last!.score) continue
      best.push({ member, score })
      best.sort((a, b) => b.score - a.score || (a.member.instance < b.member.instance ? -1 : 1))
      if (best.length > MAX_CANDIDATES) best.pop()
    }
    return best.map(({ member }) => member)
  }

  /** Weighted rendezvous hashing: a member is the first candidate for a share of the roles that is proportional to its weight. */
  private _score (role: string, { instance, cores }: Member): number {
    let logHashes = this._logHashes.get(role)
    if (!logHashes) {
      logHashes = new Map()
      this._logHashes.set(role, logHashes)
    }
    let logHash = logHashes.get(instance)
    if (logHash === undefined) {
      logHash = Math.log((hash(`${role}|${instance}`) + 1) / (HASH_RANGE + 1))
      logHashes.set(instance, logHash)
    }
    return -(cores ** CORES_EXPONENT) / logHash
  }

  private _notLeaving (): Member[] {
    return this._roster.alive.filter((member) => member.phase !== 'leaving')
  }

  /** Members that may schedule. While there is none, each entry schedules its own requests. */
  private _schedulable (): readonly Member[] {
    this._warmMembers ??= this._roster.alive.filter((member) => member.phase === 'ready' && member.isWarm)
    return this._warmMembers
  }
}

/** Moves a member of another availability zone to the second position, if there is one, because a whole zone may fail at once. */
function withOtherZoneSecond (order: Member[]): Member[] {
  const [first] = order
  const second = order.findIndex((member) => member.zone !== first?.zone)
  if (second <= 1) return order
  const [member] = order.splice(second, 1)
  order.splice(1, 0, member!)
  return order
}
