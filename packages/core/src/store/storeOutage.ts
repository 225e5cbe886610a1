/** Distinguishes outages of the store from faults of this entry: of its process, of its connections and of its links. */
import type { Roles } from '../members/roles.js'

export interface StoreOutageOptions {
  roles: Roles
  /** Time without any answer of the store to any entry after which it may have been away, in milliseconds. */
  outageAgeMs: () => number
  /** Called when the store is known to have come back at a time. */
  recovered: (at: number) => void
  /** Called when another entry has read the store during a time that was taken for an outage. */
  refuted: (now: number) => void
}

/** What an entry reports about the store beside the rows. Times are in milliseconds. */
export interface OutageReport {
  /** Time since the store came back from an outage, if that was a short time ago. */
  recoveredMs?: number
  /** Time for which some entry has read the store again and again without a long interruption. */
  steadyMs?: number
}

/** Outages are reported to other entries for this long. Lapsed registrations are written again within it. */
const REPORT_PERIOD_MS = 2500

/** Concludes from the reads of this entry and from the reports of others whether the store was away. */
export class StoreOutage {
  private readonly _options: StoreOutageOptions
  private _servedAt = -Infinity
  private _steadySince = -Infinity
  private _resumedAt = -Infinity
  private _isRefused = false
  private _recoveredAt = -Infinity
  /** The last time for which this entry knew no answer of the store. */
  private _gap = { from: Infinity, to: Infinity }

  constructor (options: StoreOutageOptions) {
    this._options = options
  }

  /** Records that this process was paused. What it did not read meanwhile says nothing about the store. */
  processResumed (now: number): void {
    this._resumedAt = now
    this._isRefused = false
  }

  /** Records that the store, or nobody, answered a new connection of this entry. */
  refused (startedAt: number): void {
    if (startedAt >= this._resumedAt) this._isRefused = true
  }

  /** Records that the store answered this entry. */
  answered (now: number): void {
    const silentMs = now - Math.max(this._servedAt, this._resumedAt)
    const { roles, outageAgeMs } = this._options
    const isEvident = this._isRefused || roles.isStoreAway
    if (this._servedAt > -Infinity && silentMs > outageAgeMs() && isEvident) this._recover(now)
    this._served(now)
  }

  /** Processes the report of an entry whose rows matched the store at a time. */
  reported ({ recoveredMs, steadyMs }: OutageReport, at: number, now: number): void {
    this._served(at)
    if (recoveredMs !== undefined && this._covers(now - recoveredMs)) this._recover(now - recoveredMs)
    if (now - this._recoveredAt > REPORT_PERIOD_MS || steadyMs === undefined || !this._wasServed(now - steadyMs, at)) return
    this._recoveredAt = -Infinity
    this._options.refuted(now)
  }

  /** What this entry reports to others. */
  report (now: number): OutageReport {
    const recoveredMs = Math.round(now - this._recoveredAt)
    const steadyMs = this._steadySince === -Infinity ? undefined : Math.round(now - this._steadySince)
    return recoveredMs <= REPORT_PERIOD_MS ? { recoveredMs, steadyMs } : { steadyMs }
  }

  /** Whether this entry has missed the store for long enough before a time, too. An entry without any rows believes the others. */
  private _covers (recoveredAt: number): boolean {
    const outageAgeMs = this._options.outageAgeMs()
    return recoveredAt - this._gap.from > outageAgeMs && recoveredAt <= this._gap.to + outageAgeMs
  }

  /** Whether a steady period covers the time for which this entry knew no answer of the store. */
  private _wasServed (from: number, to: number): boolean {
    const outageAgeMs = this._options.outageAgeMs()
    return from <= this._gap.from + outageAgeMs && to >= this._gap.to - outageAgeMs
  }

  /** Reports of one outage differ by the delays of their messages. */
  private _recover (at: number): void {
    if (at - this._recoveredAt <= this._options.outageAgeMs()) return
    this._recoveredAt = at
    this._options.recovered(at)
  }

  private _served (at: number): void {
    if (at - this._servedAt > this._options.outageAgeMs()) {
      this._gap = { from: this._servedAt, to: at }
      this._steadySince = at
    }
    if (at <= this._servedAt) return
    this._servedAt = at
    this._isRefused = false
  }
}
