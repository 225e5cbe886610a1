/** Counts what happened within the last span of time. */

const PARTS = 10

/** A count over a sliding window, kept in parts; it never counts less than the window holds. */
export class SlidingCount {
  private readonly _partMs: number
  private readonly _counts = new Array<number>(PARTS + 1).fill(0)
  private _part = -Infinity
  private _total = 0

  constructor (readonly windowMs: number) {
    this._partMs = windowMs / PARTS
  }

  /** Notes that something happened. */
  add (now: number, by = 1): void {
    this._move(now)
    this._counts[this._index(this._part)]! += by
    this._total += by
  }

  /** How much happened within the window, at least. */
  total (now: number): number {
    this._move(now)
    return this._total
  }

  private _move (now: number): void {
    const part = Math.floor(now / this._partMs)
    if (part <= this._part) return
    const first = Math.max(this._part + 1, part - PARTS)
    for (let passed = first; passed <= part; passed++) {
      const index = this._index(passed)
      this._total -= this._counts[index]!
      this._counts[index] = 0
    }
    this._part = part
  }

  private _index (part: number): number {
    const size = PARTS + 1
    return ((part % size) + size) % size
  }
}
