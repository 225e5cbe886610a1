/**
 * Estimates how long ago callers first sent their requests, from how long they are still willing to wait: a caller that repeats
 * a refused request has less time left than one that sends it for the first time.
 */

/** Waiting times kept per route. */
const MAX_SAMPLES = 128
/** Waiting times that are needed before an age is estimated. */
const MIN_SAMPLES = 24
/** Fraction of the shortest waiting times that are ignored as outliers. */
const LOW_OUTLIER_FRACTION = 0.05

/** How long callers of one route are willing to wait when they send a request for the first time. */
class FirstAttemptWaits {
  private readonly _samples: number[] = []
  private _next = 0
  private _sorted: number[] | undefined

  add (waitMs: number): void {
    this._samples[this._next] = waitMs
    this._next = (this._next + 1) % MAX_SAMPLES
    this._sorted = undefined
  }

  /** The shortest waiting time without outliers and the longest one; undefined while there are too few samples. */
  get range (): { least: number, most: number } | undefined {
    if (this._samples.length < MIN_SAMPLES) return undefined
    this._sorted ??= [...this._samples].sort((a, b) => a - b)
    return { least: this._sorted[Math.floor(this._sorted.length * LOW_OUTLIER_FRACTION)]!, most: this._sorted.at(-1)! }
  }
}

/** Learns by route how long callers are willing to wait, and estimates the age of a request from that. */
export class RequestAgeEstimate {
  private readonly _byRoute = new Map<string, FirstAttemptWaits>()

  /** Records the waiting time of a caller that most probably sends its request for the first time. */
  recordWait (route: string, waitMs: number): void {
    let waits = this._byRoute.get(route)
    if (!waits) {
      waits = new FirstAttemptWaits()
      this._byRoute.set(route, waits)
    }
    waits.add(waitMs)
  }

  /** Lower bound of the time since the caller first sent the request, in milliseconds. */
  minAgeMs (route: string, waitMs: number): number {
    const range = this._byRoute.get(route)?.range
    return range === undefined ? 0 : Math.max(0, range.least - waitMs)
  }

  /** Upper bound of the time since the caller first sent the request, in milliseconds. A small one makes a first request more probable. */
  maxAgeMs (route: string, waitMs: number): number {
    const range = this._byRoute.get(route)?.range
    return range === undefined ? 0 : Math.max(0, range.most - waitMs)
  }
}
