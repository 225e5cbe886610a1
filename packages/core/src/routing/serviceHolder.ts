/** The servers of one service that this entry alone dispatches to, and the queue before them. */
import type { Service } from '../configuration/document.js'
import type { AttemptEnd, BackendServer } from '../limits/backendServer.js'
import type { Random } from '../random.js'
import { RetryBudget } from '../retries/retryBudget.js'
import { RequestQueue } from './requestQueue.js'
import type { Request } from './request.js'

const LATENCY_SHARE = 0.05
const FIRST_LATENCY_MS = 10
const OUTLIER_FACTOR = 3
const TRIAL_GAP_MS = 500
const LEAST_ALLOWANCE = 0.25

/** Chooses a server with room, and says what a request would wait without one. */
export class ServiceHolder {
  readonly queue = new RequestQueue()
  readonly budget = new RetryBudget()
  readonly servers = new Map<string, BackendServer>()
  private _meanMs = FIRST_LATENCY_MS
  private _service: Service
  private _heaviest = 1
  private readonly _random: Random

  constructor (service: Service, random: Random) {
    this._service = service
    this._random = random
    this.reconfigure(service)
  }

  /** Declared limits changed. */
  reconfigure (service: Service): void {
    this._service = service
    this._heaviest = Math.max(...service.kinds.map((kind) => kind.weight))
    for (const server of this.servers.values()) server.reconfigure(service)
  }

  get service (): Service {
    return this._service
  }

  /** Smoothed time to an answer over all servers, in milliseconds. */
  get meanMs (): number {
    return this._meanMs
  }

  /** The least loaded server with room, preferring those not tried yet. */
  pick (request: Request, now: number): BackendServer | undefined {
    return this._best(now, request.tried) ?? (request.tried.length > 0 ? this._best(now, []) : undefined)
  }

  /** Notes an attempt's end at a server and compares it with its peers. */
  ended (server: BackendServer, attempt: number, end: AttemptEnd, now: number): void {
    server.end(attempt, end, now)
    if (end.outcome !== 'answered') return
    this._meanMs += LATENCY_SHARE * (end.latencyMs - this._meanMs)
    if (this._isOutlier(server) && this._mayMark(server)) server.markOutlier()
  }

  /** Expected wait of a request that would be queued now, in milliseconds. */
  waitMs (request: Request, now: number): number {
    const slots = this._slots()
    if (slots === 0) return Infinity
    return this._blockedMs(now) + (this.queue.ahead(request) + 1) * this._meanMs / slots
  }

  /** Whether a request may wait here: it can make its deadline and its caller and kind have not had their part. */
  admits (request: Request, now: number): boolean {
    const bound = this._service.queueLength
    if (this.queue.length >= bound || !this.queue.allows(request.caller, bound)) return false
    const allowance = Math.max(LEAST_ALLOWANCE, request.weight / this._heaviest)
    const waitMs = this.waitMs(request, now)
    if (waitMs > this._service.queueMs * allowance) return false
    return now + waitMs + this._meanMs <= request.deadlineAt
  }

  /** Time until the first server may be used. */
  private _blockedMs (now: number): number {
    let shortest = Infinity
    for (const server of this.servers.values()) {
      shortest = Math.min(shortest, server.blockedMs(now))
      if (shortest === 0) return 0
    }
    return shortest
  }

  /** Requests all usable servers bear together now. */
  private _slots (): number {
    let slots = 0
    for (const server of this.servers.values()) {
      if (server.state !== 'gone' && server.state !== 'draining') slots += server.limit
    }
    return slots
  }

  private _best (now: number, tried: string[]): BackendServer | undefined {
    let best: BackendServer | undefined
    let bestLoad = Infinity
    for (const server of this.servers.values()) {
      if (tried.includes(server.place.id) || server.room(now, this._meanMs) === 0) continue
      if (!this._isWorthwhile(server, now)) continue
      const load = (server.occupied(now) + this._random.next() * 0.01) / server.limit + (server.state === 'suspect' ? 1 : 0)
      if (load >= bestLoad) continue
      best = server
      bestLoad = load
    }
    return best
  }

  /** A slow server is used when waiting for another would take longer, and now and then to see whether it is well again. */
  private _isWorthwhile (server: BackendServer, now: number): boolean {
    if (server.state !== 'suspect') return true
    if (now - server.lifeSignAt > TRIAL_GAP_MS) return true
    const othersMs = this._othersMs(server)
    if (othersMs === undefined) return true
    const slots = this._slots() - server.limit
    if (slots <= 0) return true
    return (this.queue.length + 1) * this._meanMs / slots > server.latencyMs - othersMs
  }

  private _isOutlier (server: BackendServer): boolean {
    if (!server.comparable) return false
    const othersMs = this._othersMs(server)
    return othersMs !== undefined && server.latencyMs > OUTLIER_FACTOR * othersMs
  }

  /** At most half of the servers may be lowered: when most are slow, the load is the cause and not the server. */
  private _mayMark (server: BackendServer): boolean {
    let suspects = 0
    for (const other of this.servers.values()) {
      if (other !== server && other.state === 'suspect') suspects += 1
    }
    return (suspects + 1) * 2 <= this.servers.size
  }

  /** Median latency of the comparable others in milliseconds, undefined without any. */
  private _othersMs (server: BackendServer): number | undefined {
    const others: number[] = []
    for (const other of this.servers.values()) {
      if (other !== server && other.comparable) others.push(other.latencyMs)
    }
    if (others.length === 0) return undefined
    others.sort((a, b) => a - b)
    return others[others.length >> 1]
  }
}
