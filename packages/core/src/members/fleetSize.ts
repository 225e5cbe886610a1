/** Estimates how many entries may be running, including those that this entry cannot reach. */
import type { Member } from './member.js'

/** An entry that nobody has reached for this long is considered gone, not cut off. */
const RETENTION_MS = 600_000
const CHECK_INTERVAL_MS = 100

/** A number of entries that were running within the retention period, and the age of that observation. */
export interface FleetCount {
  count: number
  ageMs: number
}

/**
 * The number of entries among which limits are divided. It includes entries that are down or cut off, because a limit that is divided
 * among too few entries is exceeded when the others are still running.
 */
export class FleetSize {
  private readonly _lastAliveAt = new Map<string, number>()
  private _reported = { count: 0, at: -Infinity }
  private _nextCheckAt = -Infinity
  private _isInformed: boolean

  constructor (isFirstStart: boolean) {
    this._isInformed = isFirstStart
  }

  /** Number of entries that may be running; 0 if nothing is known. */
  countAt (now: number): number {
    return Math.max(this._lastAliveAt.size, this._reportedAt(now))
  }

  /** What this entry reports to others; undefined while it does not know of those that it has not met. */
  statementAt (now: number): FleetCount | undefined {
    if (!this._isInformed) return undefined
    const reported = this._reportedAt(now)
    if (reported <= this._lastAliveAt.size) return { count: this._lastAliveAt.size, ageMs: 0 }
    return { count: reported, ageMs: Math.round(now - this._reported.at) }
  }

  /**
   * Whether the store, or another entry that is informed, has reported a number, so that entries that this one has not met are counted. At
   * the first start of the whole cluster there are none before.
   */
  get isInformed (): boolean {
    return this._isInformed
  }

  /** Records what another entry or the store reports. */
  report ({ count, ageMs }: FleetCount, now: number): void {
    this._isInformed = true
    const at = now - ageMs
    if (ageMs >= RETENTION_MS || count < this._reportedAt(now)) return
    this._reported = { count, at: count === this._reported.count ? Math.max(at, this._reported.at) : at }
  }

  tick (alive: readonly Member[], now: number): void {
    if (now < this._nextCheckAt) return
    this._nextCheckAt = now + CHECK_INTERVAL_MS
    for (const { instance } of alive) this._lastAliveAt.set(instance, now)
    for (const [instance, at] of this._lastAliveAt) if (now - at >= RETENTION_MS) this._lastAliveAt.delete(instance)
  }

  private _reportedAt (now: number): number {
    return now - this._reported.at < RETENTION_MS ? this._reported.count : 0
  }
}
