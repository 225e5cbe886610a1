/** Detects unreachable members: pings them directly, then indirectly through other members, then reports a suspicion. */
import type { Random } from '../random.js'
import { MAX_DIRECT_PEERS, type Member, type MemberUpdate } from './member.js'
import { effectiveStandingOf, type MemberRecord, type MemberTable } from './memberTable.js'
import type { PeerMessage, Ping, PingAnswer } from './peerMessages.js'

/** Dependencies of a failure detector. */
export interface FailureDetectorOptions {
  table: MemberTable
  random: Random
  send: (to: Member, message: PeerMessage) => void
  /** Returns the membership updates to send with a ping to a member. */
  updatesFor: (instance: string) => MemberUpdate[]
  /** Called when a member answered neither the direct ping nor the indirect pings. */
  suspect: (record: MemberRecord, now: number) => void
  /** Called when a suspected member answered a ping of this entry. */
  suspicionCleared: (record: MemberRecord) => void
}

interface OpenPing {
  instance: string
  sentAt: number
  relayed: boolean
}

/** Time between pings. The interval is longer in large clusters, where many other members ping as well. */
const PING_INTERVAL_MS = 200
const LARGE_CLUSTER_PING_INTERVAL_MS = 400
/** Time between pings while a member is unreachable, because other members may be unreachable too. */
const FAST_PING_INTERVAL_MS = 50
const FAST_PING_DURATION_MS = 1000
/** Time after which other members are asked to ping the target: several round trips between zones. */
const DIRECT_PING_TIMEOUT_MS = 150
/** Time without an answer to the direct and the indirect pings after which a member is suspected. */
const SUSPECT_AFTER_MS = 350
const MAX_INDIRECT_PINGS = 2
const MAX_RELAYED_PINGS = 150
/** Dead members are pinged at this interval, because only the network path to them may have failed. */
const DEAD_PING_INTERVAL_MS = 1000
/** A longer gap between ticks means that this process itself was paused, so its open pings are discarded. */
const PROCESS_PAUSE_THRESHOLD_MS = 500
const OPEN_PING_CHECK_INTERVAL_MS = 50

/** Pings the member whose last message or last ping is the oldest. */
export class FailureDetector {
  private readonly _options: FailureDetectorOptions
  private readonly _openPings = new Map<number, OpenPing>()
  private readonly _relayedPings = new Map<number, { from: string, sequence: number }>()
  private _sequence = 0
  private _nextPingAt = 0
  private _nextDeadPingAt = 0
  private _fastPingsUntil = -Infinity
  private _tickedAt = -Infinity

  constructor (options: FailureDetectorOptions) {
    this._options = options
  }

  /** Time at which the next periodic work is due. */
  get dueAt (): number {
    return this._openPings.size > 0 ? Math.min(this._nextPingAt, this._tickedAt + OPEN_PING_CHECK_INTERVAL_MS) : this._nextPingAt
  }

  /** Creates a ping that introduces this entry to an entry of which only the address is known. */
  introductionPing (): Ping {
    return this._newPing(this._options.updatesFor(''))
  }

  /** Pings a target on behalf of another member. */
  relay (from: Member, ping: Ping): void {
    const { table, send } = this._options
    const target = table.get(ping.target!)?.news.member
    if (!target) return
    const relayedPing = this._newPing([])
    this._relayedPings.set(relayedPing.sequence, { from: from.instance, sequence: ping.sequence })
    if (this._relayedPings.size > MAX_RELAYED_PINGS) this._relayedPings.delete(this._relayedPings.keys().next().value!)
    send(target, relayedPing)
  }

  answered (from: string, answer: PingAnswer, now: number): void {
    const { table, send } = this._options
    const relayed = this._relayedPings.get(answer.sequence)
    if (relayed) {
      this._relayedPings.delete(answer.sequence)
      const requester = table.get(relayed.from)?.news.member
      if (requester) send(requester, { kind: 'ping-answer', sequence: relayed.sequence, digest: answer.digest, news: [], target: from })
      return
    }
    const open = this._openPings.get(answer.sequence)
    if (!open) return
    this._openPings.delete(answer.sequence)
    const record = table.get(open.instance)
    if (!record) return
    record.lastHeardAt = now
    if (table.clearSuspicion(open.instance)) this._options.suspicionCleared(record)
  }

  tick (now: number): void {
    if (now - this._tickedAt > PROCESS_PAUSE_THRESHOLD_MS) this._openPings.clear()
    this._tickedAt = now
    this._checkOpenPings(now)
    if (now >= this._nextPingAt) {
      this._nextPingAt = now + this._pingIntervalMs(now)
      this._ping(now)
    }
    if (now >= this._nextDeadPingAt) {
      this._nextDeadPingAt = now + DEAD_PING_INTERVAL_MS
      this._pingDead(now)
    }
  }

  /** Shortens the ping interval for a limited time. */
  pingFaster (now: number, forMs = FAST_PING_DURATION_MS): void {
    this._fastPingsUntil = Math.max(this._fastPingsUntil, now + forMs)
    this._nextPingAt = Math.min(this._nextPingAt, now + FAST_PING_INTERVAL_MS)
  }

  private _pingIntervalMs (now: number): number {
    if (now < this._fastPingsUntil) return FAST_PING_INTERVAL_MS
    return this._options.table.size > MAX_DIRECT_PEERS ? LARGE_CLUSTER_PING_INTERVAL_MS : PING_INTERVAL_MS
  }

  private _checkOpenPings (now: number): void {
    for (const [sequence, open] of this._openPings) {
      if (now - open.sentAt >= SUSPECT_AFTER_MS) {
        this._openPings.delete(sequence)
        this._suspect(open, now)
      } else if (!open.relayed && now - open.sentAt >= DIRECT_PING_TIMEOUT_MS) {
        open.relayed = true
        this.pingFaster(now)
        this._requestIndirectPings(sequence, open.instance)
      }
    }
  }

  private _suspect (open: OpenPing, now: number): void {
    const record = this._options.table.get(open.instance)
    if (record && effectiveStandingOf(record) === 'alive' && record.lastHeardAt <= open.sentAt) this._options.suspect(record, now)
  }

  private _ping (now: number): void {
    let target: MemberRecord | undefined
    let oldestContactAt = Infinity
    for (const record of this._options.table.records) {
      if (record.news.standing === 'dead') continue
      const lastContactAt = Math.max(record.lastHeardAt, record.lastPingedAt)
      if (lastContactAt < oldestContactAt || (lastContactAt === oldestContactAt && this._options.random.next() < 0.5)) {
        oldestContactAt = lastContactAt
        target = record
      }
    }
    if (!target) return
    target.lastPingedAt = now
    const { member } = target.news
    const ping = this._newPing(this._options.updatesFor(member.instance))
    this._openPings.set(ping.sequence, { instance: member.instance, sentAt: now, relayed: false })
    this._options.send(member, ping)
  }

  private _pingDead (now: number): void {
    let target: MemberRecord | undefined
    for (const record of this._options.table.records) {
      if (record.news.standing === 'dead' && (!target || record.lastPingedAt < target.lastPingedAt)) target = record
    }
    if (!target) return
    target.lastPingedAt = now
    this._options.send(target.news.member, this._newPing([this._options.table.selfUpdate, target.news]))
  }

  private _requestIndirectPings (sequence: number, instance: string): void {
    const { table, random, send } = this._options
    const helpers = table.alive.filter((member) => member.instance !== table.self.instance && member.instance !== instance)
    for (let asked = 0; asked < MAX_INDIRECT_PINGS && helpers.length > 0; asked++) {
      const [helper] = helpers.splice(Math.floor(random.next() * helpers.length), 1)
      send(helper!, { kind: 'ping', sequence, digest: table.digest.checksum, news: [], target: instance })
    }
  }

  private _newPing (news: MemberUpdate[]): Ping {
    this._sequence += 1
    return { kind: 'ping', sequence: this._sequence, digest: this._options.table.digest.checksum, news }
  }
}
