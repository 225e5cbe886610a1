/** Assigns the requests of one cell to servers: immediately, after a wait, or not at all. */
import { RetryBudget, type RetryTolerance } from '../budgets/retryBudget.js'
import type { ColdTolerance } from '../budgets/coldStartLimiter.js'
import { SlidingCount } from '../budgets/slidingCount.js'
import type { RegisteredServer } from '../discovery/registeredServer.js'
import { RequestAgeEstimate } from './requestAgeEstimate.js'
import { Capacity } from './capacity.js'
import { evaluateCandidate, expectedPace, type Candidate, type CandidateContext } from './candidates.js'
import type { AttemptReport, Grant, GrantBasis, PlacementRequest, Purpose, Refusal, RefusalReason } from './placementRequest.js'
import { ServerRecord, type ProbeAnswer } from './serverRecord.js'
import { RequestQueue, type QueueRank, type WaitingRequest } from './requestQueue.js'
import { WorkEstimate } from './workEstimate.js'

/** How load readings are requested before placements. */
export interface LoadReadingPolicy {
  /** Age up to which a reading counts as fresh, in milliseconds. */
  freshMs: number
  /** Number of servers probed per round; with 0, only the load reports in answers are used. */
  readings: number
  /** Maximum number of probe rounds for one request. */
  maxRounds: number
}

/** Frequent load readings, which give the best placement for callers. */
export const FREQUENT_READINGS: LoadReadingPolicy = { freshMs: 20, readings: 6, maxRounds: 2 }
/**
 * A third as many load readings, at a loss of 0.01 of the credit under normal load (load model). With many requests per scheduler,
 * frequent readings would probe each server 50 times per second, which costs schedulers and servers more time than it saves.
 */
export const REDUCED_READINGS: LoadReadingPolicy = { freshMs: 60, readings: 4, maxRounds: 1 }

/** Receives the decisions of a scheduler. */
export interface SchedulerListener {
  granted (grant: Grant): void
  refused (refusal: Refusal): void
  /** Requests a probe of the server. */
  probe (server: RegisteredServer): void
}

/** What a scheduler is built from. */
export interface SchedulerOptions {
  service: string
  retry: RetryTolerance
  cold: () => ColdTolerance
  /** Fraction of the limits over all entries that this scheduler may use, between 0 and 1. */
  share: () => number
  listener: SchedulerListener
  /** Whether a server may be probed now; always by default. */
  mayProbe?: (server: RegisteredServer, now: number) => boolean
  /** How load readings are requested before placements; frequent readings by default. */
  loadReadingPolicy?: () => LoadReadingPolicy
}

/** Slightly longer than a network round trip between zones. */
const LOAD_READING_TIMEOUT_MS = 6
/** A request waits for a busy server only if a free server would cost more by this factor. */
const MIN_WAIT_GAIN_FACTOR = 1.15
/** Fraction of its target latency that a request may wait under overload; after that, a retry by its caller is more likely to succeed. */
const MAX_WAIT_TARGET_FRACTION = 0.125
/** Under overload, a request whose expected queueing time exceeds this fraction of its target latency is refused at once. */
const MAX_QUEUE_TARGET_FRACTION = 0.25
/** Ratio of the arrival rate to the capacity from which the cell counts as overloaded. */
const OVERLOAD_RATIO = 0.95
const ARRIVAL_WINDOW_MS = 500
/** Callers of refused requests may retry for this long after the last refusal. */
const RETURN_AFTER_REFUSAL_MS = 2000
const MIN_RETRY_AFTER_MS = 30
const NO_SERVER_RETRY_AFTER_MS = 250
/** A hedge is sent only to a server that runs at about its usual pace. */
const MAX_HEDGE_PACE = 1.5
/** An answer must be expected at least this long before the deadline. */
const DEADLINE_MARGIN_MS = 10

const MAX_PRESSURE = 9
const INITIAL_TYPICAL_WORK_MS = 100
const TYPICAL_WORK_SMOOTHING_RATIO = 0.1

/** The scheduler of one cell of a service. */
export class Scheduler {
  readonly work = new WorkEstimate()
  private readonly _options: SchedulerOptions
  private readonly _records = new Map<string, ServerRecord>()
  private readonly _queue = new RequestQueue()
  private readonly _retryBudget: RetryBudget
  private readonly _arrivals = new SlidingCount(ARRIVAL_WINDOW_MS)
  private readonly _requestAges = new RequestAgeEstimate()
  private _refusedAt = -Infinity
  private readonly _capacity: Capacity
  /** Smoothed expected work of recent requests, in milliseconds. */
  private _typicalWorkMs = INITIAL_TYPICAL_WORK_MS

  constructor (options: SchedulerOptions) {
    this._options = options
    this._retryBudget = new RetryBudget(options.retry)
    const { cold, share } = options
    this._capacity = new Capacity({ records: this._records, work: this.work, coldRatePerMs: () => cold().perSecond * share() / 1000 })
  }

  /** Number of waiting requests. */
  get waiting (): number {
    return this._queue.length
  }

  /** Ratio of arriving and waiting requests to the capacity of the servers; 1 is full. */
  pressure (now: number): number {
    this._capacity.invalidate()
    const baseMs = this._typicalWorkMs
    const rate = this._serviceRatePerMs(baseMs, now)
    if (rate === 0) return this._records.size === 0 ? Infinity : MAX_PRESSURE
    return Math.min(MAX_PRESSURE, (this._arrivals.total(now) + this._queue.length) / ARRIVAL_WINDOW_MS / rate)
  }

  /** The state of each server, by server id. */
  get records (): ReadonlyMap<string, ServerRecord> {
    return this._records
  }

  /** Replaces the registered servers that requests may be sent to. */
  setServers (entries: readonly RegisteredServer[], now: number): void {
    this._capacity.invalidate()
    const registeredIds = new Set(entries.map((entry) => entry.id))
    for (const id of this._records.keys()) {
      if (!registeredIds.has(id)) this._records.delete(id)
    }
    for (const entry of entries) {
      const record = this._records.get(entry.id)
      if (record) record.update(entry, now)
      else this._records.set(entry.id, new ServerRecord(entry, now))
    }
    this._placeWaiting(now)
  }

  /** Accepts a request, which is then granted a server, refused, or queued. */
  place (incoming: PlacementRequest, now: number): void {
    this._capacity.invalidate()
    const { route, waitMs, targetAt, targetMs } = incoming
    const request = { ...incoming, targetAt: targetAt - this._requestAges.minAgeMs(route, waitMs) }
    const firstAskedAt = targetAt - targetMs - this._requestAges.maxAgeMs(route, waitMs)
    if (request.purpose === 'first') this._retryBudget.request(now)
    if (request.purpose === 'first' || request.purpose === 'diverted') {
      if (request.targetAt > now) this._arrivals.add(now)
    } else if (usesRetryBudget(request.purpose) && !this._retryBudget.allows(this._options.share(), now)) {
      return this._refuse(request, 'budget', now)
    }
    this._typicalWorkMs += TYPICAL_WORK_SMOOTHING_RATIO * (this.work.baseMs(route, targetMs) - this._typicalWorkMs)
    const reason = this._unservableReason(request, now)
    if (reason) return this._refuse(request, reason, now)
    this._recordFirstWait(request, now)
    const late = !this._meetsTargetInQueue({ request, firstAskedAt, late: false }, now)
    this._queue.add({ request, queuedAt: now, firstAskedAt, awaitReadingsUntil: 0, readingRounds: 0, late })
    this._placeWaiting(now)
    this._refuseExcess(now)
  }

  /** Removes a request from the queue, because its entry no longer waits for a server. */
  withdraw (id: string): void {
    this._queue.remove(id)
  }

  /** Processes the report on an attempt. */
  report (id: string, server: string, route: string, report: AttemptReport, now: number): void {
    this._capacity.invalidate()
    const record = this._records.get(server)
    if (!record) return
    const outstanding = record.recordEnded(id, report, now)
    if (report.load) this.work.recordPace(report.load.pace)
    if (outstanding?.isFurtherAttempt && report.outcome === 'unused') this._retryBudget.refund(now)
    if (outstanding && report.outcome === 'answered') {
      const fullAtEnd = report.load !== undefined && report.load.running + 1 >= report.load.slots
      this.work.recordDuration(route, report.tookMs, { ...outstanding, fullAtEnd })
    }
    this._placeWaiting(now)
  }

  /** Processes the result of a probe; without an answer, the probe has failed. */
  probed (server: string, answer: ProbeAnswer | undefined, now: number): void {
    this._capacity.invalidate()
    const record = this._records.get(server)
    if (!record) return
    const sentAt = record.probedAt ?? now
    if (answer) {
      record.answered(answer, (sentAt + now) / 2)
      if (answer.load) this.work.recordPace(answer.load.pace)
    } else {
      record.probeFailed(now)
    }
    this._placeWaiting(now)
  }

  /** Runs periodic work. */
  tick (now: number): void {
    this._capacity.invalidate()
    const hasRecentRequests = this._queue.length > 0 || this._arrivals.total(now) > 0
    for (const record of this._records.values()) {
      if (record.isDueForReprobe(now) || (hasRecentRequests && record.hasStaleReading(now))) this._probe(record, now)
    }
    this._reviewWaiting(now)
    this._placeWaiting(now)
  }

  private _placeWaiting (now: number): void {
    if (this._queue.length === 0) return
    const context = this._candidateContext(now)
    let waitingAhead = 0
    for (const waiting of this._queue.all()) {
      const candidates = this._candidates(waiting.request, context, now)
      if (candidates.length === 0) {
        if (waiting.request.purpose === 'hedge') this._removeAndRefuse(waiting, 'overload', now)
        waitingAhead += 1
        continue
      }
      if (this._awaitsReadings(waiting, candidates, now)) {
        waitingAhead += 1
        continue
      }
      const best = this._pickCandidate(waiting, candidates, now)
      if (!best) {
        waitingAhead += 1
        continue
      }
      if (waiting.request.purpose === 'hedge' && (best.full || best.pace > MAX_HEDGE_PACE)) {
        this._removeAndRefuse(waiting, 'overload', now)
      } else if (this._isWorthWaiting(waiting, best, waitingAhead, now)) {
        waitingAhead += 1
      } else {
        this._grant(waiting, best, now)
      }
    }
  }

  /** Servers that can take the request now, the one with the lowest cost first. */
  private _candidates (request: PlacementRequest, context: CandidateContext, now: number): Candidate[] {
    const candidates: Candidate[] = []
    for (const record of this._records.values()) {
      if (record.reach === 'silent' || record.moved) continue
      const candidate = evaluateCandidate(record, request, context, now)
      if (candidate) candidates.push(candidate)
    }
    return candidates.sort((a, b) => a.costMs - b.costMs || a.record.lastUsedAt - b.record.lastUsedAt)
  }

  /** Picks the candidate for a request. Under overload, a late request only gets a server that is too slow for requests in time. */
  private _pickCandidate ({ request, late }: WaitingRequest, candidates: Candidate[], now: number): Candidate | undefined {
    if (!late || !this._isOverloaded(request, now)) return candidates[0]
    const inTime = (responseMs: number): boolean => now + responseMs + DEADLINE_MARGIN_MS < request.deadlineAt
    return candidates.find(({ responseMs }) => responseMs > request.targetMs && inTime(responseMs))
  }

  /** Whether the arrival rate has reached the capacity of the servers. */
  private _isOverloaded (request: PlacementRequest, now: number): boolean {
    const rate = this._serviceRatePerMs(this.work.baseMs(request.route, request.targetMs), now)
    return rate * OVERLOAD_RATIO <= this._arrivals.total(now) / ARRIVAL_WINDOW_MS
  }

  /** Records the waiting time of a first attempt. Without recent refusals there are no retrying callers to distort it. */
  private _recordFirstWait ({ purpose, route, waitMs }: PlacementRequest, now: number): void {
    if (purpose === 'first' && now - this._refusedAt > RETURN_AFTER_REFUSAL_MS) this._requestAges.recordWait(route, waitMs)
  }

  /** Requests load readings if the one of the best candidate is not fresh. Returns whether the request waits for readings. */
  private _awaitsReadings (waiting: WaitingRequest, candidates: Candidate[], now: number): boolean {
    const { readings, maxRounds } = this._loadReadingPolicy
    if (readings === 0) return false
    if (now < waiting.awaitReadingsUntil && candidates.some(({ record }) => record.probedAt !== undefined)) return true
    if (waiting.readingRounds >= maxRounds || candidates[0]!.fresh) return false
    const candidatesToRead = candidates.filter(({ fresh, record }) => !fresh && this._mayProbe(record, now)).slice(0, readings)
    if (candidatesToRead.length === 0) return false
    waiting.readingRounds += 1
    waiting.awaitReadingsUntil = now + LOAD_READING_TIMEOUT_MS
    for (const { record } of candidatesToRead) this._probe(record, now)
    return true
  }

  /** Whether waiting for a busy server gives a better response time than the best candidate. */
  private _isWorthWaiting (waiting: WaitingRequest, best: Candidate, waitingAhead: number, now: number): boolean {
    const baseMs = this.work.baseMs(waiting.request.route, waiting.request.targetMs)
    const costMs = best.costMs - best.transferMs
    if (waiting.late || costMs <= baseMs * MIN_WAIT_GAIN_FACTOR) return false
    const responseTimes: number[] = []
    for (const record of this._records.values()) {
      if (record.reach === 'silent' || record.outstanding.size === 0 || record.isCold(now)) continue
      const pace = expectedPace(record, this.work.meanPace, now)
      responseTimes.push(record.nextResponseMs(now) + this.work.durationMs(baseMs, pace))
    }
    responseTimes.sort((a, b) => a - b)
    const responseAfterWaitMs = responseTimes[waitingAhead]
    return responseAfterWaitMs !== undefined && responseAfterWaitMs * MIN_WAIT_GAIN_FACTOR < costMs &&
      now + responseAfterWaitMs + DEADLINE_MARGIN_MS < waiting.request.deadlineAt
  }

  private _grant (waiting: WaitingRequest, { record, responseMs, full, pace }: Candidate, now: number): void {
    const { request } = waiting
    this._queue.remove(request.id)
    if (usesRetryBudget(request.purpose)) this._retryBudget.spend(now)
    if (record.isCold(now)) record.cold.spend(now)
    const isFurtherAttempt = usesRetryBudget(request.purpose)
    const { deadlineAt } = request
    record.recordSent(request.id, { sentAt: now, expectedAt: now + responseMs, deadlineAt, pace, full, isFurtherAttempt })
    this._options.listener.granted({ request, server: record.entry, expectedMs: responseMs, basis: basisOf(record, now) })
  }

  /** Updates which waiting requests are late, and refuses those that can no longer be served or have waited too long. */
  private _reviewWaiting (now: number): void {
    for (const waiting of this._queue.all()) {
      const { request } = waiting
      if (!waiting.late && !this._meetsTarget(request, now)) this._queue.setLate(waiting, true)
      else if (waiting.late && this._meetsTargetInQueue(waiting, now)) this._queue.setLate(waiting, false)
      const reason = this._unservableReason(request, now) ?? (this._hasWaitedTooLong(waiting, now) ? 'overload' : undefined)
      if (reason) this._removeAndRefuse(waiting, reason, now)
    }
  }

  /** Under overload, refuses requests from the end of the queue while the requests ahead take up the capacity for too long. */
  private _refuseExcess (now: number): void {
    for (let lastWaiting = this._queue.last; lastWaiting && this._isOverloaded(lastWaiting.request, now); lastWaiting = this._queue.last) {
      const { request } = lastWaiting
      const rate = this._serviceRatePerMs(this.work.baseMs(request.route, request.targetMs), now)
      if (this._queue.length - 1 <= rate * request.targetMs * MAX_QUEUE_TARGET_FRACTION) return
      this._removeAndRefuse(lastWaiting, 'overload', now)
    }
  }

  private _meetsTarget (request: PlacementRequest, now: number): boolean {
    return now + this.work.baseMs(request.route, request.targetMs) <= request.targetAt
  }

  /** Whether a request can meet its target latency after the requests ahead of it in the queue. */
  private _meetsTargetInQueue (rank: QueueRank, now: number): boolean {
    const { request } = rank
    const baseMs = this.work.baseMs(request.route, request.targetMs)
    const rate = this._serviceRatePerMs(baseMs, now)
    const waitMs = rate === 0 ? 0 : this._queue.countAhead({ ...rank, late: false }) / rate
    return now + waitMs + baseMs <= request.targetAt
  }

  /** The reason why a request cannot be served at all; undefined if it can. */
  private _unservableReason (request: PlacementRequest, now: number): RefusalReason | undefined {
    const baseMs = this.work.baseMs(request.route, request.targetMs)
    if (now + Math.min(baseMs, request.targetMs * 0.5) + DEADLINE_MARGIN_MS > request.deadlineAt) return 'deadline'
    if (this._avoidsAllServers(request)) return 'no-server'
    if (this._serviceRatePerMs(baseMs, now) > 0 || this._mayBecomeReachable(now)) return undefined
    return 'no-server'
  }

  /** Whether a request has waited its maximum time and there is overload, or it would miss its deadline after the requests ahead. */
  private _hasWaitedTooLong (waiting: WaitingRequest, now: number): boolean {
    const { request, queuedAt, late } = waiting
    if (now - queuedAt < request.targetMs * MAX_WAIT_TARGET_FRACTION) return false
    if (this._isOverloaded(request, now)) return true
    if (!late) return false
    const baseMs = this.work.baseMs(request.route, request.targetMs)
    const rate = this._serviceRatePerMs(baseMs, now)
    const spareRatePerMs = rate - this._arrivals.total(now) / ARRIVAL_WINDOW_MS
    return now + this._queue.countAhead(waiting) / spareRatePerMs + baseMs + DEADLINE_MARGIN_MS > request.deadlineAt
  }

  /** Whether the request must not be sent to any of the servers. */
  private _avoidsAllServers ({ avoid }: PlacementRequest): boolean {
    for (const [id, { moved }] of this._records) {
      if (!moved && !avoid.includes(id)) return false
    }
    return true
  }

  /** Whether some server may soon become usable: it was not contacted yet, is being probed, or is in its cold start. */
  private _mayBecomeReachable (now: number): boolean {
    for (const record of this._records.values()) {
      if (record.reach === 'unknown' || record.probedAt !== undefined || record.isCold(now)) return true
    }
    return false
  }

  /** Requests per millisecond that the servers can serve. */
  private _serviceRatePerMs (baseMs: number, now: number): number {
    return this._capacity.ratePerMs(baseMs, now)
  }

  private _removeAndRefuse (waiting: WaitingRequest, reason: RefusalReason, now: number): void {
    this._queue.remove(waiting.request.id)
    this._refuse(waiting.request, reason, now)
  }

  private _refuse (request: PlacementRequest, reason: RefusalReason, now: number): void {
    this._refusedAt = now
    this._options.listener.refused({ request, reason, retryAfterMs: this._retryAfterMs(request, reason, now) })
  }

  private _retryAfterMs (request: PlacementRequest, reason: RefusalReason, now: number): number {
    if (reason === 'no-server') return NO_SERVER_RETRY_AFTER_MS
    if (reason !== 'overload') return MIN_RETRY_AFTER_MS
    const rate = this._serviceRatePerMs(this.work.baseMs(request.route, request.targetMs), now)
    return Math.max(MIN_RETRY_AFTER_MS, rate === 0 ? NO_SERVER_RETRY_AFTER_MS : this._queue.length / rate)
  }

  private _mayProbe ({ probedAt, entry }: ServerRecord, now: number): boolean {
    return probedAt === undefined && (this._options.mayProbe?.(entry, now) ?? true)
  }

  private _probe (record: ServerRecord, now: number): void {
    if (!this._mayProbe(record, now)) return
    record.probedAt = now
    this._options.listener.probe(record.entry)
  }

  private get _loadReadingPolicy (): LoadReadingPolicy {
    return this._options.loadReadingPolicy?.() ?? FREQUENT_READINGS
  }

  private _candidateContext (now: number): CandidateContext {
    const { cold, share } = this._options
    const { freshMs, readings } = this._loadReadingPolicy
    return { work: this.work, cold: cold(), share: share(), freshMs, asks: readings !== 0, medianBlame: this._medianBlame(now) }
  }

  private _medianBlame (now: number): number {
    const blames: number[] = []
    for (const record of this._records.values()) if (record.reach === 'reached') blames.push(record.blame(now))
    blames.sort((a, b) => a - b)
    return blames[Math.floor((blames.length - 1) / 2)] ?? 0
  }
}

/** Whether an attempt counts against the retry budget. */
function usesRetryBudget (purpose: Purpose): boolean {
  return purpose === 'retry' || purpose === 'hedge'
}

function basisOf ({ reading }: ServerRecord, now: number): GrantBasis | undefined {
  if (!reading) return undefined
  const { at, running, waiting, pace } = reading
  return { ageMs: Math.round(now - at), running, waiting, pace }
}
