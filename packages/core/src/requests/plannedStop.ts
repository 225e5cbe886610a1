/** Decides what an entry may still do while it stops. */

export interface PlannedStopOptions {
  /** How long the entry still accepts requests from callers that have cached its address, in milliseconds. */
  lingerMs: number
  /** How long after the start of the stop requests may stay open, in milliseconds; unlimited by default. */
  stopLimitMs?: number
}

/** The planned stop of this entry: which requests it still takes, and when those that are open are ended. */
export class PlannedStop {
  private readonly _options: PlannedStopOptions
  private _startedAt: number | undefined

  constructor (options: PlannedStopOptions) {
    this._options = options
  }

  /** Time at which the stop began, if it has. */
  get startedAt (): number | undefined {
    return this._startedAt
  }

  /** Time at which the requests that are still open are ended. */
  get closesAt (): number {
    return this._startedAt === undefined ? Infinity : this._startedAt + (this._options.stopLimitMs ?? Infinity)
  }

  /** Begins the stop. Returns whether it had not begun before. */
  begin (now: number): boolean {
    if (this._startedAt !== undefined) return false
    this._startedAt = now
    return true
  }

  /** Whether the entry still reads requests of callers. */
  accepts (now: number): boolean {
    return this._startedAt === undefined || (now - this._startedAt < this._options.lingerMs && now < this.closesAt)
  }

  /**
   * Whether a request that may last until `expiresAt` can end before the entry closes, however long its server takes. If it can't, no
   * attempt of it may start here, whether it may be repeated or not: its caller has more time left than this entry, so it loses little
   * by going to another entry at once, and much by waiting here until it is broken off.
   */
  leavesTimeFor (expiresAt: number): boolean {
    return expiresAt <= this.closesAt
  }
}
