/** Keeps the requests of one scheduler to each server within the limit that the server has stated. */
import { RateLimiter, type Rate } from '../budgets/rateLimiter.js'
import type { RegisteredServer } from '../discovery/registeredServer.js'
import type { Random } from '../random.js'

export interface LimitedRatesOptions {
  /** The limit of a server in requests a second from all entries; undefined if it states none. */
  limitOf: (server: RegisteredServer) => number | undefined
  /** Fraction of a limit that this scheduler may use now, between 0 and 1. */
  share: () => number
  random: Random
}

/** A server gets a request this often however low its limit is, since only an answer can end the limit. */
const MIN_LIMIT_PER_SECOND = 0.1
/** Unused requests accumulate for this long. */
const BURST_MS = 250

/** One token bucket for each server with a limit. */
export class LimitedRates {
  private readonly _options: LimitedRatesOptions
  private readonly _limiters = new Map<string, { incarnation: string, limiter: RateLimiter }>()

  constructor (options: LimitedRatesOptions) {
    this._options = options
  }

  /** Requests per millisecond that this scheduler may send to a server; undefined if the server has no limit. */
  perMs (server: RegisteredServer): number | undefined {
    const limit = this._options.limitOf(server)
    return limit === undefined ? undefined : Math.max(MIN_LIMIT_PER_SECOND, limit) * this._options.share() / 1000
  }

  /** Time until this scheduler may send one more request to a server, in milliseconds; 0 if it may now. */
  waitMs (server: RegisteredServer, now: number): number {
    const perMs = this.perMs(server)
    if (perMs === undefined) {
      if (this._limiters.size > 0) this._limiters.delete(server.id)
      return 0
    }
    const rate: Rate = { perMs, burst: Math.max(1, perMs * BURST_MS) }
    return this._limiterOf(server, now).waitMs(rate, now)
  }

  /** Counts a request that is sent. */
  spend ({ id }: RegisteredServer): void {
    this._limiters.get(id)?.limiter.spend()
  }

  /** Takes back a request that was not sent. */
  refund (id: string): void {
    this._limiters.get(id)?.limiter.add(1)
  }

  /** Forgets a server. */
  remove (id: string): void {
    this._limiters.delete(id)
  }

  /** A new bucket holds a random fraction of a token, so that entries which schedule for themselves do not all send at the same time. */
  private _limiterOf ({ id, incarnation }: RegisteredServer, now: number): RateLimiter {
    const known = this._limiters.get(id)
    if (known?.incarnation === incarnation) return known.limiter
    const limiter = new RateLimiter(this._options.random.next(), now)
    this._limiters.set(id, { incarnation, limiter })
    return limiter
  }
}
