/** What part of the limits over all entries the schedulers of this entry may use. */
import type { Roles } from '../members/roles.js'
import type { Roster } from '../members/roster.js'

export interface SchedulerSharesOptions {
  roster: Roster
  roles: Roles
}

/** Number of members, in the cell's order of schedulers, that may use SCHEDULER_SHARE of the limits. */
const SHARING_SCHEDULER_COUNT = 2
/** Three schedulers of one cell, which can exist while entries disagree on the members, still stay within the limits together. */
const SCHEDULER_SHARE = 0.33
/** What remains for all entries when two schedulers use their shares; each has an equal part of it. */
const SHARE_OF_ALL_ENTRIES = 0.33
/** Time in which the requests to a cold server are counted. */
const COLD_WINDOW_MS = 1000
/** Two schedulers that know what they have sent and three new ones stay within the limits together. */
const NEW_SCHEDULER_COLD_SHARE = 0.1
/** Shares of the limits that servers state: the first scheduler of a cell, the second one, and all other entries together. */
const FIRST_SCHEDULER_LIMIT_SHARE = 0.9
const SECOND_SCHEDULER_LIMIT_SHARE = 0.25
const OTHER_ENTRIES_LIMIT_SHARE = 0.25
/** For this long after it became the first scheduler, its predecessor's requests may still count at the servers. */
const PREDECESSOR_PERIOD_MS = 4000
/** A longer gap between two ticks means that this process was paused, and may have been replaced meanwhile. */
const MAX_TICK_GAP_MS = 500

export class SchedulerShares {
  private readonly _options: SchedulerSharesOptions
  /** Since when this entry has had a scheduler of a cell without interruption, and since when that has been the first one. */
  private readonly _since = new Map<string, number>()
  private readonly _firstSince = new Map<string, number>()
  private _tickedAt = -Infinity

  constructor (options: SchedulerSharesOptions) {
    this._options = options
  }

  /** A fraction that keeps the sum over all entries within a limit for most entries. */
  of (cell: string, now: number): number {
    if (this._rankIn(cell, now) < SHARING_SCHEDULER_COUNT) return SCHEDULER_SHARE
    return Math.min(SCHEDULER_SHARE, 1 / (2 * this._options.roster.mostAt(now)))
  }

  /**
   * Share of what retries may use beside their fraction of the requests. A scheduler that has counted for less than `windowMs`, the window
   * of the budget, has only the part that belongs to its entry, since its predecessors may have used the rest, however many there were.
   */
  ofRetries (cell: string, windowMs: number, now: number): number {
    const isEstablished = this._rankIn(cell, now) < SHARING_SCHEDULER_COUNT && this._countsFor(cell, now) >= windowMs
    return isEstablished ? SCHEDULER_SHARE : this._ownShare(now)
  }

  /** Share of what servers that are known to be cold may get. A scheduler that does not know what its predecessors have sent has little. */
  ofCold (cell: string, now: number): number {
    const share = this.of(cell, now)
    if (this._countsFor(cell, now) >= COLD_WINDOW_MS) return share
    return Math.min(share, Math.max(NEW_SCHEDULER_COLD_SHARE, this._ownShare(now)))
  }

  /** Share of the limits that servers state. */
  ofLimits (cell: string, now: number): number {
    const rank = this._rankIn(cell, now)
    if (rank >= SHARING_SCHEDULER_COUNT) return OTHER_ENTRIES_LIMIT_SHARE / this._options.roster.mostAt(now)
    const since = this._firstSince.get(cell) ?? now
    return rank === 0 && now - since >= PREDECESSOR_PERIOD_MS ? FIRST_SCHEDULER_LIMIT_SHARE : SECOND_SCHEDULER_LIMIT_SHARE
  }

  /** Updates the cells with a scheduler at this entry, and which of them it is the first scheduler of. */
  tick (cells: Iterable<string>, now: number): void {
    const wasPaused = now - this._tickedAt > MAX_TICK_GAP_MS
    this._tickedAt = now
    const hosted = new Set(cells)
    for (const times of [this._since, this._firstSince]) {
      for (const cell of times.keys()) if (wasPaused || !hosted.has(cell)) times.delete(cell)
    }
    for (const cell of hosted) {
      if (!this._since.has(cell)) this._since.set(cell, now)
      if (this._rankIn(cell, now) > 0) this._firstSince.delete(cell)
      else if (!this._firstSince.has(cell)) this._firstSince.set(cell, now)
    }
  }

  /** How long this entry has had a scheduler of a cell. */
  private _countsFor (cell: string, now: number): number {
    return now - (this._since.get(cell) ?? now)
  }

  /** The part of a limit that belongs to this entry, whoever schedules. Each of up to three entries has as much as a scheduler. */
  private _ownShare (now: number): number {
    const count = this._options.roster.mostAt(now)
    return count * SCHEDULER_SHARE <= 1 ? SCHEDULER_SHARE : SHARE_OF_ALL_ENTRIES / count
  }

  /** Position of this entry among the schedulers of a cell; infinite if it is none of them or does not see a majority of the entries. */
  private _rankIn (cell: string, now: number): number {
    const { roster, roles } = this._options
    const rank = roles.schedulersOf(cell).findIndex(({ instance }) => instance === roster.self.instance)
    return rank < 0 || roster.alive.length * 2 <= roster.mostAt(now) ? Infinity : rank
  }
}
