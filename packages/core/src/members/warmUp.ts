/**
 * Decides from when an entry that has just started schedules for others. Its code is still cold and its callers come back all at once,
 * so it runs late. When all entries start together, as after a power failure, a single cold scheduler would hold up the requests of all
 * of them; until one is warm, each entry schedules its own requests.
 */

/** An entry is warm once its periodic work has run on time for this long. */
const ON_TIME_PERIOD_MS = 300
/** Periodic work that runs later than this is not on time. */
const MAX_LATENESS_MS = 10
/** An entry that always runs late counts as warm after this time, because the others may be no faster. */
const MAX_WARM_UP_MS = 3000

/** The warm-up of this entry since it was ready. */
export class WarmUp {
  private readonly _intervalMs: number
  private _readyAt: number | undefined
  private _onTimeSince = 0
  private _dueAt = 0

  /** `intervalMs` is the longest time between two runs of periodic work during the warm-up. */
  constructor (intervalMs: number) {
    this._intervalMs = intervalMs
  }

  /** Records that the periodic work of this entry, which is ready for callers, runs. Returns whether the entry is warm. */
  ran (now: number): boolean {
    if (this._readyAt === undefined) {
      this._readyAt = now
      this._onTimeSince = now
    } else if (now - this._dueAt > MAX_LATENESS_MS) {
      this._onTimeSince = now
    }
    this._dueAt = now + this._intervalMs
    return now - this._onTimeSince >= ON_TIME_PERIOD_MS || now - this._readyAt >= MAX_WARM_UP_MS
  }
}
