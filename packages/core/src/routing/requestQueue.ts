/** The bounded queue of one service at one holder: fair between callers, deeper calls first. */
import type { Request } from './request.js'

const DEPTH_CREDIT = 0.25
const MOST_DEPTH_CREDIT = 4

/** Requests waiting for a slot, in the order they will be served. */
export class RequestQueue {
  private readonly _waiting: Request[] = []
  private readonly _finish = new Map<string, number>()
  private readonly _perCaller = new Map<string, number>()
  private _virtualTime = 0

  get length (): number {
    return this._waiting.length
  }

  /** The most requests one caller may have waiting, given the bound of the whole queue. */
  allows (caller: string, bound: number): boolean {
    const own = this._perCaller.get(caller) ?? 0
    const callers = this._perCaller.size + (own > 0 ? 0 : 1)
    return own < Math.max(1, Math.ceil(bound / callers))
  }

  /** Requests that would be served before this one. */
  ahead (request: Request): number {
    const rank = this._rankOf(request)
    return this._position(rank)
  }

  push (request: Request): void {
    request.rank = this._rankOf(request)
    this._finish.set(request.caller, this._finishOf(request))
    this._perCaller.set(request.caller, (this._perCaller.get(request.caller) ?? 0) + 1)
    this._waiting.splice(this._position(request.rank), 0, request)
  }

  /** The next request, left in place. */
  peek (): Request | undefined {
    return this._waiting[0]
  }

  shift (): Request | undefined {
    const request = this._waiting.shift()
    if (request) this._left(request)
    return request
  }

  remove (request: Request): void {
    const index = this._waiting.indexOf(request)
    if (index < 0) return
    this._waiting.splice(index, 1)
    this._left(request)
  }

  [Symbol.iterator] (): IterableIterator<Request> {
    return this._waiting[Symbol.iterator]()
  }

  private _left (request: Request): void {
    const remaining = (this._perCaller.get(request.caller) ?? 1) - 1
    if (remaining > 0) {
      this._perCaller.set(request.caller, remaining)
    } else {
      this._perCaller.delete(request.caller)
    }
    this._virtualTime = Math.max(this._virtualTime, request.rank)
    if (this._waiting.length > 0) return
    this._finish.clear()
    this._virtualTime = 0
  }

  private _finishOf (request: Request): number {
    const start = Math.max(this._virtualTime, this._finish.get(request.caller) ?? 0)
    return start + 1 / request.weight
  }

  private _rankOf (request: Request): number {
    return this._finishOf(request) - Math.min(MOST_DEPTH_CREDIT, request.depth * DEPTH_CREDIT)
  }

  private _position (rank: number): number {
    let low = 0
    let high = this._waiting.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (this._waiting[middle]!.rank <= rank) low = middle + 1
      else high = middle
    }
    return low
  }
}
