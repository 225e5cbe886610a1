/** Which entries there are, found out by random pings and passed on with them. */
import type { Random } from '../random.js'
import { supersedes, type Member, type MemberNews, type Phase, type Standing } from './member.js'
import type { Gossip, PeerMessage, Ping, PingAnswer } from './peerMessages.js'

/** What a roster is built from. */
export interface RosterOptions {
  self: Member
  random: Random
  send: (to: Member, message: PeerMessage) => void
  /** Something about members has changed. */
  changed: () => void
  /** A member's standing has changed. */
  judged: (news: MemberNews) => void
}

interface Known {
  news: MemberNews
  heardAt: number
  pingedAt: number
  suspectSince: number
}

interface OpenPing {
  instance: string
  sentAt: number
  relayed: boolean
}

/** Time between pings, in milliseconds. */
const PING_MS = 200
/** Time after which others are asked to ping in this entry's place: several ways between zones and back. */
const ANSWER_MS = 150
/** Time without an answer to any of them after which a member is suspected. */
const SUSPECT_AFTER_MS = 350
/** Time that a suspected member has to object. */
const DEAD_AFTER_MS = 1500
const RELAYS = 2
/** Dead members are pinged now and then, for the case that only the way to them was cut. */
const DEAD_PING_MS = 1000
const FORGET_DEAD_MS = 120_000
/** A gap between ticks after which this process itself stood still. */
const STOOD_STILL_MS = 500
const MOST_NEWS = 6
/** News is passed on this often at least; more with more members. */
const LEAST_TELLINGS = 3
/** Up to this many members hear of changes at once, and not only by pings. */
const MOST_TOLD = 150

/** Members and their standing, as this entry knows them. */
export class Roster {
  private readonly _options: RosterOptions
  private readonly _known = new Map<string, Known>()
  private readonly _openPings = new Map<number, OpenPing>()
  private readonly _tellings = new Map<string, number>()
  private readonly _relayed = new Map<number, { from: string, sequence: number }>()
  private _self: Member
  private _sequence = 0
  private _nextPingAt = 0
  private _nextDeadPingAt = 0
  private _tickedAt = -Infinity
  private _most = 1

  constructor (options: RosterOptions) {
    this._options = options
    this._self = options.self
  }

  get self (): Member {
    return this._self
  }

  /** Members thought to be alive, this one included. */
  get alive (): Member[] {
    const alive = [this._self]
    for (const { news } of this._known.values()) {
      if (news.standing === 'alive') alive.push(news.member)
    }
    return alive
  }

  /** Members that may live, this one excluded. */
  get others (): Member[] {
    const others: Member[] = []
    for (const { news } of this._known.values()) {
      if (news.standing !== 'dead') others.push(news.member)
    }
    return others
  }

  /** The most members that were alive together. */
  get most (): number {
    return this._most
  }

  get (instance: string): Member | undefined {
    return instance === this._self.instance ? this._self : this._known.get(instance)?.news.member
  }

  standingOf (instance: string): Standing | undefined {
    return instance === this._self.instance ? 'alive' : this._known.get(instance)?.news.standing
  }

  /** All that is known, for a member that joins. */
  get news (): MemberNews[] {
    const known = [...this._known.values()].map(({ news }) => news).filter(({ standing }) => standing !== 'dead')
    return [{ member: this._self, standing: 'alive' }, ...known]
  }

  /** This process tells something new of itself. */
  say (change: Partial<Pick<Member, 'phase' | 'reachesStore'>>): void {
    const { phase, reachesStore } = { ...this._self, ...change }
    if (phase === this._self.phase && reachesStore === this._self.reachesStore) return
    this._restate({ phase, reachesStore })
  }

  /** Takes news of members. */
  take (news: readonly MemberNews[], now: number): void {
    let changed = false
    for (const item of news) {
      if (item.member.instance === this._self.instance) this._object(item)
      else if (this._takeOne(item, now)) changed = true
    }
    if (changed) this._changed()
  }

  /** Something came from a member: it lives. */
  heard (instance: string, now: number): void {
    const known = this._known.get(instance)
    if (known) known.heardAt = now
  }

  /** Tells every member of this one. */
  announce (): void {
    this._broadcast([{ member: this._self, standing: 'alive' }])
  }

  pinged (from: Member, ping: Ping): void {
    if (ping.target !== undefined) return this._pingFor(from, ping)
    this._options.send(from, { kind: 'ping-answer', sequence: ping.sequence, news: this._somethingNew(from.instance) })
  }

  answered (from: string, answer: PingAnswer, now: number): void {
    const relayed = this._relayed.get(answer.sequence)
    if (relayed) {
      this._relayed.delete(answer.sequence)
      const asker = this.get(relayed.from)
      if (asker) this._options.send(asker, { kind: 'ping-answer', sequence: relayed.sequence, news: [], target: from })
      return
    }
    const open = this._openPings.get(answer.sequence)
    if (!open) return
    this._openPings.delete(answer.sequence)
    this.heard(open.instance, now)
    this._clear(open.instance)
  }

  tick (now: number): void {
    if (now - this._tickedAt > STOOD_STILL_MS) this._openPings.clear()
    this._tickedAt = now
    this._followPings(now)
    this._bury(now)
    if (now >= this._nextPingAt) {
      this._nextPingAt = now + PING_MS
      this._ping(now)
    }
    if (now >= this._nextDeadPingAt) {
      this._nextDeadPingAt = now + DEAD_PING_MS
      this._pingDead(now)
    }
  }

  private _takeOne (news: MemberNews, now: number): boolean {
    const { instance } = news.member
    const known = this._known.get(instance)
    if (known && !supersedes(news, known.news)) return false
    if (!known && news.standing === 'dead') return false
    const anew = !known || known.news.member.incarnation !== news.member.incarnation
    this._known.set(instance, {
      news,
      heardAt: anew ? now : known.heardAt,
      pingedAt: anew ? -Infinity : known.pingedAt,
      suspectSince: news.standing === 'alive' ? Infinity : Math.min(now, known?.suspectSince ?? Infinity)
    })
    this._tellings.set(instance, this._tellingsNeeded())
    if (anew || known.news.standing !== news.standing) this._options.judged(news)
    return true
  }

  /** Others think ill of this process, know a later word of it than it gave, or take a former one for later: it speaks up. */
  private _object (news: MemberNews): void {
    const { incarnation } = news.member
    if (incarnation < this._self.incarnation) return
    if (incarnation > this._self.incarnation) {
      // The instance's clock was set back between the former process and this one.
      this._self = { ...this._self, incarnation: incarnation + 1 }
      return this._restate({})
    }
    if (news.standing === 'alive' && news.member.sequence <= this._self.sequence) return
    if (news.member.sequence < this._self.sequence) return
    this._self = { ...this._self, sequence: news.member.sequence }
    this._restate({})
  }

  private _restate (change: { phase?: Phase, reachesStore?: boolean }): void {
    this._self = { ...this._self, ...change, sequence: this._self.sequence + 1 }
    this.announce()
    this._changed()
  }

  private _changed (): void {
    this._most = Math.max(this._most, this.alive.length)
    this._options.changed()
  }

  private _followPings (now: number): void {
    for (const [sequence, open] of this._openPings) {
      if (now - open.sentAt >= SUSPECT_AFTER_MS) {
        this._openPings.delete(sequence)
        this._suspect(open, now)
      } else if (!open.relayed && now - open.sentAt >= ANSWER_MS) {
        open.relayed = true
        this._askOthers(sequence, open.instance)
      }
    }
  }

  private _suspect (open: OpenPing, now: number): void {
    const known = this._known.get(open.instance)
    if (!known || known.news.standing !== 'alive' || known.heardAt > open.sentAt) return
    const news: MemberNews = { member: known.news.member, standing: 'suspect' }
    this.take([news], now)
    this._broadcast([news])
  }

  /** A suspect that answered is cleared here; what others think it sets right itself, once it hears of it. */
  private _clear (instance: string): void {
    const known = this._known.get(instance)
    if (!known || known.news.standing !== 'suspect') return
    known.news = { member: known.news.member, standing: 'alive' }
    known.suspectSince = Infinity
    this._options.judged(known.news)
    this._changed()
  }

  private _bury (now: number): void {
    for (const [instance, known] of this._known) {
      const { news, suspectSince } = known
      if (news.standing === 'suspect' && now - suspectSince >= DEAD_AFTER_MS) this.take([{ member: news.member, standing: 'dead' }], now)
      else if (news.standing === 'dead' && now - suspectSince >= FORGET_DEAD_MS) this._known.delete(instance)
    }
  }

  /** Pings the member that was heard from or pinged longest ago. */
  private _ping (now: number): void {
    let target: Known | undefined
    let oldest = Infinity
    for (const known of this._known.values()) {
      if (known.news.standing === 'dead') continue
      const last = Math.max(known.heardAt, known.pingedAt)
      if (last < oldest || (last === oldest && this._options.random.next() < 0.5)) {
        oldest = last
        target = known
      }
    }
    if (!target) return
    target.pingedAt = now
    const { member } = target.news
    this._sequence += 1
    this._openPings.set(this._sequence, { instance: member.instance, sentAt: now, relayed: false })
    this._options.send(member, { kind: 'ping', sequence: this._sequence, news: this._somethingNew(member.instance) })
  }

  private _pingDead (now: number): void {
    let target: Known | undefined
    for (const known of this._known.values()) {
      if (known.news.standing === 'dead' && (!target || known.pingedAt < target.pingedAt)) target = known
    }
    if (!target) return
    target.pingedAt = now
    this._sequence += 1
    const news = [{ member: this._self, standing: 'alive' as const }, target.news]
    this._options.send(target.news.member, { kind: 'ping', sequence: this._sequence, news })
  }

  private _askOthers (sequence: number, instance: string): void {
    const helpers = this.alive.filter((member) => member.instance !== this._self.instance && member.instance !== instance)
    for (let asked = 0; asked < RELAYS && helpers.length > 0; asked++) {
      const [helper] = helpers.splice(Math.floor(this._options.random.next() * helpers.length), 1)
      this._options.send(helper!, { kind: 'ping', sequence, news: [], target: instance })
    }
  }

  private _pingFor (from: Member, ping: Ping): void {
    const target = this.get(ping.target!)
    if (!target || target.instance === this._self.instance) return
    this._sequence += 1
    this._relayed.set(this._sequence, { from: from.instance, sequence: ping.sequence })
    if (this._relayed.size > MOST_TOLD) this._relayed.delete(this._relayed.keys().next().value!)
    this._options.send(target, { kind: 'ping', sequence: this._sequence, news: [] })
  }

  /** This process's own news, what the receiver is thought to be, and a few things not yet told often. */
  private _somethingNew (to: string): MemberNews[] {
    const news: MemberNews[] = [{ member: this._self, standing: 'alive' }]
    const receiver = this._known.get(to)
    if (receiver && receiver.news.standing !== 'alive') news.push(receiver.news)
    for (const [instance, left] of this._tellings) {
      if (news.length >= MOST_NEWS) break
      const known = this._known.get(instance)
      if (left <= 1 || !known) this._tellings.delete(instance)
      else this._tellings.set(instance, left - 1)
      if (known && instance !== to) news.push(known.news)
    }
    return news
  }

  private _tellingsNeeded (): number {
    return LEAST_TELLINGS + Math.ceil(2 * Math.log2(this._known.size + 1))
  }

  private _broadcast (news: MemberNews[]): void {
    if (this._known.size > MOST_TOLD) return
    const message: Gossip = { kind: 'gossip', news }
    for (const member of this.others) this._options.send(member, message)
  }
}
