/** The highest levels of a token bucket lately, to see whether a token that is returned would still be there. */

const SLOT_MS = 100
const SLOT_COUNT = 40

/**
 * A token that is returned late must not exceed what the bucket would hold if it had never been taken. While the bucket was full
 * meanwhile, further tokens were lost, and the returned one would have been lost as well.
 */
export class RecentPeaks {
  private readonly _peaks = new Array<number>(SLOT_COUNT).fill(0)
  private _slot = 0

  /** Records the level of the bucket at a time. Times must not decrease. */
  record (level: number, now: number): void {
    const slot = Math.floor(now / SLOT_MS)
    const passed = Math.min(SLOT_COUNT, slot - this._slot)
    // Between two records the level only rises, so that its later value is the highest in all slots in between.
    for (let index = 0; index < passed; index++) this._peaks[(slot - index) % SLOT_COUNT] = level
    this._slot = Math.max(this._slot, slot)
    this._peaks[this._slot % SLOT_COUNT] = Math.max(this._peaks[this._slot % SLOT_COUNT]!, level)
  }

  /** Raises the levels since a time by a token. Returns false, and changes nothing, if one of them would exceed the capacity. */
  raise (since: number, capacity: number, now: number): boolean {
    const last = Math.floor(now / SLOT_MS)
    const first = Math.floor(since / SLOT_MS)
    if (last - first >= SLOT_COUNT) return false
    for (let slot = first; slot <= last; slot++) if (this._peaks[slot % SLOT_COUNT]! + 1 > capacity) return false
    for (let slot = first; slot <= last; slot++) this._peaks[slot % SLOT_COUNT]! += 1
    return true
  }
}
