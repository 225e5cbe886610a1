/**
 * After a start of all entries, each of which first schedules its own requests, moves them to the schedulers one entry after the other.
 * A scheduler that gets the requests of all entries at the same moment falls behind, since its code for that has not run yet.
 */
import type { Random } from '../random.js'

/** Time over which the entries move to the schedulers, in milliseconds. */
const RAMP_MS = 1000

/** Decides from when this entry asks schedulers. */
export class SchedulerRamp {
  private readonly _random: Random
  private _sawNone = false
  private _movesAt: number | undefined

  constructor (random: Random) {
    this._random = random
  }

  /** Whether this entry asks schedulers now; `exist` tells whether any member can schedule. */
  asksSchedulers (exist: boolean, now: number): boolean {
    if (!exist) {
      this._sawNone = true
      this._movesAt = undefined
      return false
    }
    if (!this._sawNone) return true
    this._movesAt ??= now + this._random.next() * RAMP_MS
    if (now < this._movesAt) return false
    this._sawNone = false
    return true
  }
}
