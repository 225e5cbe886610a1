/** How long ago callers first asked, worked out from how long they still wait: a caller that comes back waits for less. */

/** Waits of a route that are remembered. */
const MOST_SAMPLES = 128
const LEAST_SAMPLES = 24
/** Part of the waits of callers that ask for the first time that may be below what counts as theirs. */
const LOW_PART = 0.05

/** What callers of one route wait for when they ask for the first time. */
class UsualWaits {
  private readonly _samples: number[] = []
  private _next = 0
  private _sorted: number[] | undefined

  note (waitMs: number): void {
    this._samples[this._next] = waitMs
    this._next = (this._next + 1) % MOST_SAMPLES
    this._sorted = undefined
  }

  /** The shortest and the longest usual wait, once enough is known. */
  get range (): { least: number, most: number } | undefined {
    if (this._samples.length < LEAST_SAMPLES) return undefined
    this._sorted ??= [...this._samples].sort((a, b) => a - b)
    return { least: this._sorted[Math.floor(this._sorted.length * LOW_PART)]!, most: this._sorted.at(-1)! }
  }
}

/** Learns how long callers wait by route, and tells how old a request may be. */
export class AgeEstimate {
  private readonly _byRoute = new Map<string, UsualWaits>()

  /** Notes the wait of a caller that most probably asks for the first time. */
  note (route: string, waitMs: number): void {
    let waits = this._byRoute.get(route)
    if (!waits) {
      waits = new UsualWaits()
      this._byRoute.set(route, waits)
    }
    waits.note(waitMs)
  }

  /** Time since the caller first asked, at least, in milliseconds. */
  leastMs (route: string, waitMs: number): number {
    const range = this._byRoute.get(route)?.range
    return range === undefined ? 0 : Math.max(0, range.least - waitMs)
  }

  /** Time since the caller first asked, at most, in milliseconds: the smaller, the more probably it asks for the first time. */
  mostMs (route: string, waitMs: number): number {
    const range = this._byRoute.get(route)?.range
    return range === undefined ? 0 : Math.max(0, range.most - waitMs)
  }
}
