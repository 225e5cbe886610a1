/** Decides which requests of a cell can be served, which are late, and which are refused instead of waiting. */
import type { SlidingCount } from '../budgets/slidingCount.js'
import type { Capacity } from './capacity.js'
import type { LimitedRates } from './limitedRates.js'
import type { PlacementRequest, RefusalReason } from './placementRequest.js'
import type { QueueRank, RequestQueue, WaitingRequest } from './requestQueue.js'
import type { ServerRecord } from './serverRecord.js'
import type { WorkEstimate } from './workEstimate.js'

/** What the policy reads of the scheduler that uses it. */
export interface QueuePolicyOptions {
  records: ReadonlyMap<string, ServerRecord>
  queue: RequestQueue
  work: WorkEstimate
  capacity: Capacity
  /** First requests within the last ARRIVAL_WINDOW_MS. */
  arrivals: SlidingCount
  rates: LimitedRates
}

/** Window over which arrivals are counted, in milliseconds. */
export const ARRIVAL_WINDOW_MS = 500
/** An answer must be expected at least this long before the deadline. */
export const DEADLINE_MARGIN_MS = 10
/** Fraction of its target latency that a request may wait under overload; after that, a retry by its caller is more likely to succeed. */
const MAX_WAIT_TARGET_FRACTION = 0.125
/** Under overload, a request whose expected queueing time exceeds this fraction of its target latency is refused at once. */
const MAX_QUEUE_TARGET_FRACTION = 0.25
/** Ratio of the arrival rate to the capacity from which the cell counts as overloaded. */
const OVERLOAD_RATIO = 0.95
const MIN_RETRY_AFTER_MS = 30
const NO_SERVER_RETRY_AFTER_MS = 250
/** Longest time to return that is derived from limits of servers, because limits change. */
const MAX_LIMIT_RETRY_AFTER_MS = 10_000

/** Compares the requests of one cell with what its servers can bear. */
export class QueuePolicy {
  private readonly _options: QueuePolicyOptions
  /** When the caller that was refused last because of limits of servers may return. */
  private _lastReturnAt = -Infinity

  constructor (options: QueuePolicyOptions) {
    this._options = options
  }

  /** Whether the arrival rate has reached the capacity of the servers. */
  isOverloaded (request: PlacementRequest, now: number): boolean {
    return this._serviceRatePerMs(request, now) * OVERLOAD_RATIO <= this._arrivalRatePerMs(now)
  }

  /** Whether a request can meet its target latency if it is sent now. */
  meetsTarget (request: PlacementRequest, now: number): boolean {
    return now + this._baseMs(request) <= request.targetAt
  }

  /** Whether a request can meet its target latency after the requests ahead of it in the queue. */
  meetsTargetInQueue (rank: QueueRank, now: number): boolean {
    const { request } = rank
    const rate = this._serviceRatePerMs(request, now)
    const waitMs = rate === 0 ? 0 : this._options.queue.countAhead({ ...rank, late: false }) / rate
    return now + waitMs + this._baseMs(request) <= request.targetAt
  }

  /** The reason why a request cannot be served at all; undefined if it can. */
  unservableReason (request: PlacementRequest, now: number): RefusalReason | undefined {
    if (now + Math.min(this._baseMs(request), request.targetMs * 0.5) + DEADLINE_MARGIN_MS > request.deadlineAt) return 'deadline'
    if (this._avoidsAllServers(request)) return 'no-server'
    if (this._serviceRatePerMs(request, now) > 0 || this._mayBecomeReachable(now)) return undefined
    return 'no-server'
  }

  /** Whether the limits of all servers that a request may be sent to keep it waiting too long, with the requests ahead of it. */
  exceedsLimits (rank: QueueRank, now: number): boolean {
    const { request } = rank
    const waitMs = this._limitWaitMs(request, now)
    if (waitMs === 0) return false
    const aheadMs = this._options.queue.countAhead(rank) / this._serviceRatePerMs(request, now)
    return waitMs + aheadMs > request.targetMs * MAX_QUEUE_TARGET_FRACTION
  }

  /** Why a waiting request is refused, if it is. */
  overloadReason (waiting: WaitingRequest, now: number): RefusalReason | undefined {
    return this._hasWaitedTooLong(waiting, now) || this.exceedsLimits(waiting, now) ? 'overload' : undefined
  }

  /** Whether a request has waited its maximum time and there is overload, or it would miss its deadline after the requests ahead. */
  private _hasWaitedTooLong (waiting: WaitingRequest, now: number): boolean {
    const { request, queuedAt, late } = waiting
    if (now - queuedAt < request.targetMs * MAX_WAIT_TARGET_FRACTION) return false
    if (this.isOverloaded(request, now)) return true
    if (!late) return false
    const spareRatePerMs = this._serviceRatePerMs(request, now) - this._arrivalRatePerMs(now)
    const waitMs = this._options.queue.countAhead(waiting) / spareRatePerMs
    return now + waitMs + this._baseMs(request) + DEADLINE_MARGIN_MS > request.deadlineAt
  }

  /** The last request of the queue if, under overload, the requests ahead of it take up the capacity for too long. */
  excess (now: number): WaitingRequest | undefined {
    const { queue } = this._options
    const last = queue.last
    if (!last || !this.isOverloaded(last.request, now)) return undefined
    const { request } = last
    const isWithinLimit = queue.length - 1 <= this._serviceRatePerMs(request, now) * request.targetMs * MAX_QUEUE_TARGET_FRACTION
    return isWithinLimit ? undefined : last
  }

  /** When the caller of a refused request may retry, in milliseconds from now. */
  retryAfterMs (request: PlacementRequest, reason: RefusalReason, now: number): number {
    if (reason === 'no-server') return NO_SERVER_RETRY_AFTER_MS
    if (reason !== 'overload') return MIN_RETRY_AFTER_MS
    const rate = this._serviceRatePerMs(request, now)
    const limitWaitMs = this._limitWaitMs(request, now)
    if (limitWaitMs > 0 && request.purpose !== 'hedge') return this._nextReturnMs(limitWaitMs, rate, now)
    return Math.max(MIN_RETRY_AFTER_MS, rate === 0 ? NO_SERVER_RETRY_AFTER_MS : this._options.queue.length / rate)
  }

  /** Time until a server may take one more request if all usable ones have limits that are used up; 0 if one has room. */
  private _limitWaitMs ({ avoid }: PlacementRequest, now: number): number {
    const { records, rates } = this._options
    let firstMs = Infinity
    for (const [id, record] of records) {
      if (record.moved || record.reach === 'silent' || avoid.includes(id)) continue
      firstMs = Math.min(firstMs, rates.waitMs(record.entry, now))
      if (firstMs === 0) break
    }
    return firstMs === Infinity ? 0 : firstMs
  }

  /** Callers that are refused because of limits may return one after the other, at the rate at which servers can take them. */
  private _nextReturnMs (firstMs: number, ratePerMs: number, now: number): number {
    const returnAt = Math.max(now + firstMs, this._lastReturnAt + 1 / ratePerMs)
    this._lastReturnAt = Math.min(now + MAX_LIMIT_RETRY_AFTER_MS, returnAt)
    return Math.max(MIN_RETRY_AFTER_MS, this._lastReturnAt - now)
  }

  private _baseMs ({ route, targetMs }: PlacementRequest): number {
    return this._options.work.baseMs(route, targetMs)
  }

  /** Requests like this one, per millisecond, that the servers can serve. */
  private _serviceRatePerMs (request: PlacementRequest, now: number): number {
    return this._options.capacity.ratePerMs(this._baseMs(request), now)
  }

  private _arrivalRatePerMs (now: number): number {
    return this._options.arrivals.total(now) / ARRIVAL_WINDOW_MS
  }

  /** Whether the request must not be sent to any of the servers. */
  private _avoidsAllServers ({ avoid }: PlacementRequest): boolean {
    for (const [id, { moved }] of this._options.records) {
      if (!moved && !avoid.includes(id)) return false
    }
    return true
  }

  /** Whether some server may soon become usable: it was not contacted yet, is being probed, or is in its cold start. */
  private _mayBecomeReachable (now: number): boolean {
    for (const record of this._options.records.values()) {
      if (record.reach === 'unknown' || record.probedAt !== undefined || record.isCold(now)) return true
    }
    return false
  }
}
