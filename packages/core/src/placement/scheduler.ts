/** Assigns the requests of one cell to servers: immediately, after a wait, or not at all. */
import { RetryBudget, type RetryTolerance } from '../budgets/retryBudget.js'
import type { ColdTolerance } from '../budgets/coldStartLimiter.js'
import type { VersionTrial } from '../rollouts/versionTrial.js'
import { SlidingCount } from '../budgets/slidingCount.js'
import { ServedFractions } from '../customers/servedFractions.js'
import type { RegisteredServer } from '../discovery/registeredServer.js'
import { RequestAgeEstimate } from './requestAgeEstimate.js'
import { Capacity } from './capacity.js'
import { CandidateSelector } from './candidateSelector.js'
import type { Candidate } from './candidates.js'
import type { AttemptReport, Grant, GrantBasis, PlacementRequest, Purpose, Refusal, RefusalReason } from './placementRequest.js'
import { CrossingCost } from './crossingCost.js'
import { LimitedRates } from './limitedRates.js'
import { ReadingRequests } from './readingRequests.js'
import { ServerRecord, type OutstandingRequest, type ProbeAnswer } from './serverRecord.js'
import { FREQUENT_READINGS, type LoadReadingPolicy } from './loadReadingPolicy.js'
import { ARRIVAL_WINDOW_MS, QueuePolicy } from './queuePolicy.js'
import { RequestQueue, type WaitingRequest } from './requestQueue.js'
import { WorkEstimate } from './workEstimate.js'

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
  /** The same for servers that are known to be cold, and for the slack of the retry budget; `share` by default. */
  coldShare?: () => number
  retryShare?: () => number
  listener: SchedulerListener
  /** Limits that servers have stated; none by default. */
  limitedRates?: LimitedRates
  /** Whether a server may be probed now; always by default. */
  mayProbe?: (server: RegisteredServer, now: number) => boolean
  /** How load readings are requested before placements; frequent readings by default. */
  loadReadingPolicy?: () => LoadReadingPolicy
  /** The trial of a new version of the service, while one runs. */
  trial?: () => VersionTrial | undefined
  /** Availability zone of this entry, from which round trips between zones are observed. */
  zone?: string
}

/** Callers of refused requests may retry for this long after the last refusal. */
const RETURN_AFTER_REFUSAL_MS = 2000
/** A hedge is sent only to a server that runs at about its usual pace. */
const MAX_HEDGE_PACE = 1.5

const MAX_PRESSURE = 9
const INITIAL_TYPICAL_WORK_MS = 100
const TYPICAL_WORK_SMOOTHING_RATIO = 0.1
const UNLIMITED = new LimitedRates({ limitOf: () => undefined, share: () => 1, random: { next: () => 0 } })

/** The scheduler of one cell of a service. */
export class Scheduler {
  readonly work = new WorkEstimate()
  private readonly _options: SchedulerOptions
  private readonly _records = new Map<string, ServerRecord>()
  private readonly _queue = new RequestQueue()
  private readonly _retryBudget: RetryBudget
  private readonly _retryShare: () => number
  private readonly _rates: LimitedRates
  private readonly _readings: ReadingRequests
  private readonly _arrivals = new SlidingCount(ARRIVAL_WINDOW_MS)
  private readonly _requestAges = new RequestAgeEstimate()
  private readonly _served = new ServedFractions()
  private readonly _crossing: CrossingCost
  private _refusedAt = -Infinity
  private readonly _capacity: Capacity
  private readonly _policy: QueuePolicy
  private readonly _selector: CandidateSelector
  /** Smoothed expected work of recent requests, in milliseconds. */
  private _typicalWorkMs = INITIAL_TYPICAL_WORK_MS

  constructor (options: SchedulerOptions) {
    this._options = options
    this._retryBudget = new RetryBudget(options.retry)
    this._crossing = new CrossingCost(options.zone)
    this._rates = options.limitedRates ?? UNLIMITED
    const { cold, share, coldShare = share, retryShare = share, listener, mayProbe = () => true } = options
    this._retryShare = retryShare
    const { work, _records: records, _queue: queue, _arrivals: arrivals, _rates: rates } = this
    const isReserved = ({ entry }: ServerRecord): boolean => options.trial?.()?.isReserved(entry) ?? false
    this._capacity = new Capacity({ records, work, rates, isReserved, coldRatePerMs: () => cold().perSecond * share() / 1000 })
    this._policy = new QueuePolicy({ records, queue, work, capacity: this._capacity, arrivals, rates })
    const context = () => {
      const { freshMs, readings } = this._loadReadingPolicy
      return { cold: cold(), share: share(), coldShare: coldShare(), freshMs, asks: readings !== 0 }
    }
    this._selector = new CandidateSelector({ records, work, policy: this._policy, rates, isReserved, crossing: this._crossing, context })
    this._readings = new ReadingRequests({
      rates, mayProbe, policy: () => this._loadReadingPolicy, probe: (server) => listener.probe(server)
    })
  }

  /** Number of waiting requests. */
  get waiting (): number {
    return this._queue.length
  }

  /** Ratio of arriving and waiting requests to the capacity of the servers; 1 is full. */
  pressure (now: number): number {
    this._capacity.invalidate()
    const baseMs = this._typicalWorkMs
    const rate = this._capacity.ratePerMs(baseMs, now)
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
      if (registeredIds.has(id)) continue
      this._records.delete(id)
      this._rates.remove(id)
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
    } else if (usesRetryBudget(request.purpose) && !this._retryBudget.allows(this._retryShare(), now)) {
      return this._refuse(request, 'budget', now)
    }
    this._typicalWorkMs += TYPICAL_WORK_SMOOTHING_RATIO * (this.work.baseMs(route, targetMs) - this._typicalWorkMs)
    const reason = this._policy.unservableReason(request, now)
    if (reason) return this._refuse(request, reason, now)
    const underserved = this._served.isUnderserved(request.customer, now)
    const rank = { request, firstAskedAt, underserved, late: false }
    if (this._policy.exceedsLimits(rank, now)) return this._refuse(request, 'overload', now)
    this._recordFirstWait(request, now)
    const late = !this._policy.meetsTargetInQueue(rank, now)
    this._queue.add({ ...rank, queuedAt: now, awaitReadingsUntil: 0, readingRounds: 0, late })
    this._placeWaiting(now)
    for (let excess = this._policy.excess(now); excess; excess = this._policy.excess(now)) this._removeAndRefuse(excess, 'overload', now)
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
    if (report.answerBytes !== undefined) this._crossing.answered(route, report.answerBytes)
    if (outstanding && report.outcome === 'unused') {
      this._rates.refund(server)
      if (outstanding.isFurtherAttempt) this._retryBudget.refund(now)
    }
    const trial = this._options.trial?.()
    if (outstanding) trial?.ended(route, record.entry, report, this._usualMs(route, outstanding), now)
    if (outstanding && report.outcome === 'answered' && !trial?.isTarget(record.entry)) {
      const fullAtEnd = report.load !== undefined && report.load.running + 1 >= report.load.slots
      this.work.recordDuration(route, report.tookMs, { ...outstanding, fullAtEnd })
    }
    this._placeWaiting(now)
  }

  /** How long requests of a route usually take; undefined if nothing is known, or for a server that was cold. */
  private _usualMs (route: string, { cold }: OutstandingRequest): number | undefined {
    const usualMs = this.work.baseMs(route, 0)
    return usualMs === 0 || cold ? undefined : usualMs
  }

  /** Processes the result of a probe; without an answer, the probe has failed. */
  probed (server: string, answer: ProbeAnswer | undefined, now: number): void {
    this._capacity.invalidate()
    const record = this._records.get(server)
    if (!record) return
    const sentAt = record.probedAt ?? now
    if (answer) {
      record.answered(answer, (sentAt + now) / 2)
      if (now > sentAt) this._crossing.probed(record.entry.zone, now - sentAt)
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
      if (record.isDueForReprobe(now)) this._readings.probe(record, now)
      else if (hasRecentRequests && record.hasStaleReading(now)) this._readings.read(record, now)
    }
    this._reviewWaiting(now)
    this._placeWaiting(now)
  }

  private _placeWaiting (now: number): void {
    if (this._queue.length === 0) return
    const context = this._selector.context(now)
    const trial = this._options.trial?.()
    let waitingAhead = 0
    for (const waiting of this._queue.all()) {
      const allCandidates = this._selector.candidates(waiting.request, context, now)
      const candidates = trial?.eligible(waiting.request, allCandidates, this._records, now) ?? allCandidates
      if (candidates.length === 0) {
        if (waiting.request.purpose === 'hedge') this._removeAndRefuse(waiting, 'overload', now)
        waitingAhead += 1
        continue
      }
      if (this._readings.awaitsReadings(waiting, candidates, now)) {
        waitingAhead += 1
        continue
      }
      const best = this._selector.pick(waiting, candidates, now)
      if (!best) {
        waitingAhead += 1
        continue
      }
      if (waiting.request.purpose === 'hedge' && (best.full || best.pace > MAX_HEDGE_PACE)) {
        this._removeAndRefuse(waiting, 'overload', now)
      } else if (this._selector.isWorthWaiting(waiting, best, waitingAhead, now)) {
        waitingAhead += 1
      } else {
        this._grant(waiting, best, now)
      }
    }
  }

  /** Records the waiting time of a first attempt. Without recent refusals there are no retrying callers to distort it. */
  private _recordFirstWait ({ purpose, route, waitMs }: PlacementRequest, now: number): void {
    if (purpose === 'first' && now - this._refusedAt > RETURN_AFTER_REFUSAL_MS) this._requestAges.recordWait(route, waitMs)
  }

  private _grant (waiting: WaitingRequest, { record, responseMs, full, pace }: Candidate, now: number): void {
    const { request } = waiting
    this._queue.remove(request.id)
    if (isFirstAttempt(request.purpose)) this._served.record(request.customer, true, now)
    if (usesRetryBudget(request.purpose)) this._retryBudget.spend(now)
    const cold = record.isCold(now)
    if (cold) record.cold.spend(now)
    this._options.trial?.()?.granted(request.route, record.entry)
    this._rates.spend(record.entry)
    const isFurtherAttempt = usesRetryBudget(request.purpose)
    const { deadlineAt } = request
    record.recordSent(request.id, { sentAt: now, expectedAt: now + responseMs, deadlineAt, pace, full, cold, isFurtherAttempt })
    this._options.listener.granted({ request, server: record.entry, expectedMs: responseMs, basis: basisOf(record, now) })
  }

  /** Updates which waiting requests are late, and refuses those that can no longer be served or have waited too long. */
  private _reviewWaiting (now: number): void {
    for (const waiting of this._queue.all()) {
      const { request } = waiting
      if (!waiting.late && !this._policy.meetsTarget(request, now)) this._queue.setLate(waiting, true)
      else if (waiting.late && this._policy.meetsTargetInQueue(waiting, now)) this._queue.setLate(waiting, false)
      const reason = this._policy.unservableReason(request, now) ?? this._policy.overloadReason(waiting, now)
      if (reason) this._removeAndRefuse(waiting, reason, now)
    }
  }

  private _removeAndRefuse (waiting: WaitingRequest, reason: RefusalReason, now: number): void {
    this._queue.remove(waiting.request.id)
    this._refuse(waiting.request, reason, now)
  }

  private _refuse (request: PlacementRequest, reason: RefusalReason, now: number): void {
    this._refusedAt = now
    if (isFirstAttempt(request.purpose)) this._served.record(request.customer, false, now)
    this._options.listener.refused({ request, reason, retryAfterMs: this._policy.retryAfterMs(request, reason, now) })
  }

  private get _loadReadingPolicy (): LoadReadingPolicy {
    return this._options.loadReadingPolicy?.() ?? FREQUENT_READINGS
  }
}

/** Whether an attempt counts against the retry budget. */
function usesRetryBudget (purpose: Purpose): boolean {
  return purpose === 'retry' || purpose === 'hedge'
}

/** Whether nothing has been sent for the request yet. */
function isFirstAttempt (purpose: Purpose): boolean {
  return !usesRetryBudget(purpose)
}

function basisOf ({ reading }: ServerRecord, now: number): GrantBasis | undefined {
  if (!reading) return undefined
  const { at, running, waiting, pace } = reading
  return { ageMs: Math.round(now - at), running, waiting, pace }
}
