/** Counts kept by a process and reported from time to time. */

/** Named counts since start. */
export class Counters {
  private readonly _counts = new Map<string, number>()

  add (name: string, by = 1): void {
    this._counts.set(name, (this._counts.get(name) ?? 0) + by)
  }

  get (name: string): number {
    return this._counts.get(name) ?? 0
  }

  entries (): IterableIterator<[string, number]> {
    return this._counts.entries()
  }
}
