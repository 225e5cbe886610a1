/** Requests that wait for a server, in the order in which they are served. */
import type { PlacementRequest } from './placementRequest.js'

/** A request in the queue. */
export interface WaitingRequest {
  request: PlacementRequest
  queuedAt: number
  /** Earliest time at which its caller may have first sent it. The later, the less probable that the caller repeats a refused request. */
  firstAskedAt: number
  /** The request waits for load readings until then. */
  awaitReadingsUntil: number
  /** Number of times that load readings were requested for it. */
  readingRounds: number
  /** Whether it can no longer meet its target latency. */
  late: boolean
  /** Whether its customer's requests are served much less often than those of all. */
  underserved: boolean
}

/** What the position in the queue depends on. */
export type QueueRank = Pick<WaitingRequest, 'request' | 'late' | 'underserved' | 'firstAskedAt'>

/**
 * Requests that can still meet their target come before late ones, then those of underserved customers come first, then the order is by
 * priority, then the newest request comes first.
 * With enough servers all requests meet their target in any order. Under overload, the newest ones still meet it on a slow server.
 */
export class RequestQueue {
  private readonly _waiting: WaitingRequest[] = []

  get length (): number {
    return this._waiting.length
  }

  /** The request that is served after all others. */
  get last (): WaitingRequest | undefined {
    return this._waiting.at(-1)
  }

  /** Number of waiting requests that would be served before a request. */
  countAhead (waiting: QueueRank): number {
    return this._position(waiting)
  }

  add (waiting: WaitingRequest): void {
    this._waiting.splice(this._position(waiting), 0, waiting)
  }

  remove (id: string): WaitingRequest | undefined {
    const index = this._waiting.findIndex((waiting) => waiting.request.id === id)
    return index < 0 ? undefined : this._waiting.splice(index, 1)[0]
  }

  /** Marks a waiting request as late or not late, and moves it to its new position. */
  setLate (waiting: WaitingRequest, late: boolean): void {
    if (waiting.late === late || !this.remove(waiting.request.id)) return
    waiting.late = late
    this.add(waiting)
  }

  /** A copy of the waiting requests, in order; the queue may be changed while a caller iterates over it. */
  all (): WaitingRequest[] {
    return [...this._waiting]
  }

  private _position (rank: QueueRank): number {
    let low = 0
    let high = this._waiting.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (isServedBefore(this._waiting[middle]!, rank)) low = middle + 1
      else high = middle
    }
    return low
  }
}

function isServedBefore (waiting: WaitingRequest, { request, late, underserved, firstAskedAt }: QueueRank): boolean {
  if (waiting.late !== late) return !waiting.late
  if (waiting.underserved !== underserved) return waiting.underserved
  if (waiting.request.priority !== request.priority) return waiting.request.priority < request.priority
  return waiting.firstAskedAt > firstAskedAt
}
