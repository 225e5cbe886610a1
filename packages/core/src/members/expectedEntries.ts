/** The number of entries that an entry expects to see after its start. */

/** Time within which entries that lost power together start again. */
const EXPECTATION_MS = 5000

/**
 * Until the expected entries have had time to appear, an entry counts as one of that many, so that it takes only its share of the
 * limits that hold for all entries together.
 */
export class ExpectedEntries {
  private _count = 0
  private _until = -Infinity

  /** 0 if nothing is known or the time is over. */
  get count (): number {
    return this._count
  }

  /** Records how many entries were running before this one started. */
  expect (count: number, now: number): void {
    this._count = count
    this._until = now + EXPECTATION_MS
  }

  tick (now: number): void {
    if (now >= this._until) this._count = 0
  }
}
