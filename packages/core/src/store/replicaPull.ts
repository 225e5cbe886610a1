/** Requests replicas, or the changes to them, from other entries. */
import type { Outbox } from '../effects.js'
import type { Member } from '../members/member.js'
import type { Roster } from '../members/roster.js'
import { draw, type Random } from '../random.js'

export interface ReplicaPullOptions {
  roster: Roster
  outbox: Outbox
  random: Random
}

/** Pause between two requests for another entry's replicas; it doubles up to the maximum while no entry answers. */
const INITIAL_PAUSE_MS = 150
const MAX_PAUSE_MS = 1200

export class ReplicaPull {
  private readonly _options: ReplicaPullOptions
  private _nextAt = 0
  private _pauseMs = INITIAL_PAUSE_MS

  constructor (options: ReplicaPullOptions) {
    this._options = options
  }

  /** Other entries that can be asked for their replicas. */
  get sources (): Member[] {
    const { roster } = this._options
    return roster.alive.filter(({ phase, instance }) => phase === 'ready' && instance !== roster.self.instance)
  }

  /** Requests the replicas of a random ready entry, in the same availability zone if possible. */
  pullFromAny (now: number): void {
    if (now < this._nextAt) return
    const { roster, random } = this._options
    const ready = this.sources
    const sameZone = ready.filter(({ zone }) => zone === roster.self.zone)
    const source = draw(sameZone.length > 0 ? sameZone : ready, random)
    if (source) this.pull(source, now)
  }

  /** Requests the replicas of an entry, unless the last request was too recent. */
  pull (from: Member, now: number): void {
    if (now < this._nextAt) return
    const { random, outbox } = this._options
    this._nextAt = now + this._pauseMs * (0.5 + random.next())
    this._pauseMs = Math.min(MAX_PAUSE_MS, this._pauseMs * 2)
    outbox.put({ kind: 'pull', host: from.host, port: from.peerPort })
  }

  /** Records that an entry returned its replicas. */
  succeeded (): void {
    this._pauseMs = INITIAL_PAUSE_MS
  }
}
