/** Counts events within a sliding time window. */

const BUCKET_COUNT = 10

/** A count over a sliding window, kept in buckets. It never misses an event in the window, and may include slightly older ones. */
export class SlidingCount {
  private readonly _bucketMs: number
  private readonly _counts = new Array<number>(BUCKET_COUNT + 1).fill(0)
  private _bucket = -Infinity
  private _total = 0

  constructor (readonly windowMs: number) {
    this._bucketMs = windowMs / BUCKET_COUNT
  }

  /** Adds events that happened now. */
  add (now: number, amount = 1): void {
    this._advance(now)
    this._counts[this._index(this._bucket)]! += amount
    this._total += amount
  }

  /** Events within the window, and possibly some that are up to one bucket older. */
  total (now: number): number {
    this._advance(now)
    return this._total
  }

  private _advance (now: number): void {
    const bucket = Math.floor(now / this._bucketMs)
    if (bucket <= this._bucket) return
    const first = Math.max(this._bucket + 1, bucket - BUCKET_COUNT)
    for (let cleared = first; cleared <= bucket; cleared++) {
      const index = this._index(cleared)
      this._total -= this._counts[index]!
      this._counts[index] = 0
    }
    this._bucket = bucket
  }

  private _index (bucket: number): number {
    const size = BUCKET_COUNT + 1
    return ((bucket % size) + size) % size
  }
}
