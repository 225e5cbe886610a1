/** Handles a request at the entry that received it: asks a scheduler for a server, runs attempts, returns one answer or refusal. */
import type { QuotaDecision } from '../customers/quotaBuckets.js'
import type { Quotas, QuotaListener } from '../customers/quotas.js'
import type { Declarations } from '../configuration/declarations.js'
import { isLimited } from '../configuration/gateway.js'
import type { Unfitness } from '../discovery/catalog.js'
import type { RegisteredServer } from '../discovery/registeredServer.js'
import type { Outbox, FailureReason } from '../effects.js'
import type { Invariants } from '../invariants.js'
import type { Roster } from '../members/roster.js'
import type { Rollouts } from '../rollouts/rollouts.js'
import {
  UNUSED_REPORT, type AttemptOutcome, type AttemptReport, type Grant, type Purpose, type Refusal, type RefusalReason
} from '../placement/placementRequest.js'
import type { LocalRequestListener } from '../placement/placementDecisions.js'
import type { SchedulerHost } from '../placement/schedulerHost.js'
import type { ServerHolds } from '../placement/serverHolds.js'
import type { ServerLimits } from '../placement/serverLimits.js'
import type { CellSelector } from './cellSelector.js'
import { hedgeDelayMs, nextHedgeDelayMs } from './hedgeDelay.js'
import { OpenConnections } from './openConnections.js'
import type { PlannedStop } from './plannedStop.js'
import { isRunningOn, newRequest, type SchedulerRequest, type Attempt, type OpenRequest, type RequestSpec } from './request.js'
import { RequestLog } from './requestLog.js'
import type { SchedulerClient } from './schedulerClient.js'

export interface RequestHandlerOptions {
  declarations: Declarations
  roster: Roster
  host: SchedulerHost
  schedulerClient: SchedulerClient
  outbox: Outbox
  invariants: Invariants
  cellSelector: CellSelector
  holds: ServerHolds
  limits: ServerLimits
  plannedStop: PlannedStop
  rollouts: Pick<Rollouts, 'standingOf' | 'trialOf'>
  quotas: Quotas
  /** Why a server must get no request, as far as this entry knows. */
  unfitness: (server: RegisteredServer) => Unfitness | undefined
}

/** Scheduler requests on behalf of one caller's request, counted over all purposes. */
const MAX_SCHEDULER_REQUESTS = 8
/** The handler starts no attempt when less time than this is left. */
const MIN_ATTEMPT_MS = 2
const STOPPING_RETRY_AFTER_MS = 100
/** Servers may hold back for as long as they run; callers are not told to wait longer than this. */
const MAX_RETRY_AFTER_MS = 60_000
/** Other schedulers have replaced the unreachable ones after this time. */
const NO_ANSWER_RETRY_AFTER_MS = 250

/** Outcomes of an attempt after which the server may have run the request. */
const MAY_HAVE_RUN: ReadonlySet<AttemptOutcome> = new Set<AttemptOutcome>(['answered', 'failed', 'failed-below', 'lost'])

/** Accepts requests and ends each with exactly one answer or refusal. */
export class RequestHandler implements LocalRequestListener, QuotaListener {
  private readonly _options: RequestHandlerOptions
  private readonly _log: RequestLog
  private readonly _connections = new OpenConnections()
  private readonly _requests = new Map<number, OpenRequest>()
  private readonly _bySchedulerRequest = new Map<number, OpenRequest>()
  private readonly _byAttempt = new Map<number, OpenRequest>()
  private _lastSchedulerRequestId = 0
  private _lastAttemptId = 0
  private _resumedAt = -Infinity
  private _brokenOff = 0

  constructor (options: RequestHandlerOptions) {
    this._options = options
    this._log = new RequestLog(options)
  }

  /** Number of requests that have not ended. */
  get open (): number {
    return this._requests.size
  }

  /** Ids of servers of a service to which this entry has an idle connection, the one used last first. */
  connectedServers (service: string, now: number): string[] {
    return this._connections.of(service, now)
  }

  /** Number of requests that a server may have run and that the end of a stop left without an answer. */
  get brokenOff (): number {
    return this._brokenOff
  }

  /** Whether any request is waiting for a scheduler to grant a server. */
  get waiting (): boolean {
    return this._bySchedulerRequest.size > 0 || this._options.quotas.waiting
  }

  /** Whether an attempt is running on a server of the service with one of these software versions. */
  isRunningOn (service: string, versions: readonly string[]): boolean {
    return isRunningOn(this._requests.values(), service, versions)
  }

  /** Time at which the next request expires or the next hedge is due. */
  get dueAt (): number {
    let dueAt = Infinity
    for (const { expiresAt, hedgeAt, callerLeft } of this._requests.values()) {
      dueAt = Math.min(dueAt, expiresAt, callerLeft ? Infinity : hedgeAt)
    }
    return dueAt
  }

  /** Whether an attempt already uses this grant of the scheduler, so that this message is a duplicate. */
  usesGrant (scheduler: string, ask: number): boolean {
    for (const { attempts } of this._requests.values()) {
      for (const attempt of attempts.values()) if (attempt.ask.id === ask && attempt.ask.scheduler === scheduler) return true
    }
    return false
  }

  requestArrived (spec: RequestSpec, now: number): void {
    const request = newRequest(spec, this._options.cellSelector.choose(spec.service), now)
    this._requests.set(spec.id, request)
    if (!this._options.plannedStop.leavesTimeFor(request.expiresAt)) return this._endForStop(request, now)
    if (isLimited(spec.customer)) return this._options.quotas.ask(spec.id, spec.customer, now)
    this._requestServer(request, 'first', now)
  }

  quotaDecided (id: number, customer: string, decision: QuotaDecision, now: number): void {
    const request = this._requests.get(id)
    if (decision.kind === 'exceeded') return request && this._end(request, 'quota', decision.retryAfterMs, now)
    const counted = decision.holder === undefined ? undefined : { customer, holder: decision.holder, at: now }
    if (!request) return counted && this._options.quotas.refund(counted, now)
    request.counted = counted
    this._requestServer(request, 'first', now)
  }

  /** Takes a request that has not run back from the count of its customer. */
  private _refund (request: OpenRequest, now: number): void {
    if (!request.counted || request.mayHaveRun || request.attempts.size > 0) return
    this._options.quotas.refund(request.counted, now)
    request.counted = undefined
  }

  /** Handles a closed caller connection. Cancels attempts of repeatable requests; attempts of other requests run to their end. */
  callerLeft (id: number, now: number): void {
    const request = this._requests.get(id)
    if (!request) return this._discard(id)
    request.callerLeft = true
    this._options.outbox.log({ decision: 'caller-left', request: request.spec.label, count: request.attempts.size })
    this._withdrawAll(request, now)
    if (request.spec.route.repeatable) this._cancelAll(request, now)
    this._refund(request, now)
    if (request.attempts.size === 0) this._discard(id)
  }

  granted (askId: number, grant: Omit<Grant, 'request'>, now: number): void {
    const request = this._bySchedulerRequest.get(askId)
    const pending = request?.asks.get(askId)
    if (!request || !pending) return
    this._removeSchedulerRequest(request, askId)
    const { server } = grant
    const rejection = pending.sentAt < this._resumedAt ? 'paused' : this._grantRejectionReason(request, server, now)
    if (rejection !== undefined) {
      this._options.outbox.log({ decision: 'grant-unfit', request: request.spec.label, server: server.id, reason: rejection })
      this._report(request, pending, server.id, UNUSED_REPORT, now)
      if (rejection !== 'paused') request.avoid.push(server.id)
      if (rejection === 'unregistered') this._options.schedulerClient.grantedDeparted(pending.scheduler, server.id, now)
      const isFirst = pending.purpose === 'first' || pending.purpose === 'diverted'
      if (pending.purpose !== 'hedge') this._requestServer(request, isFirst ? 'again' : pending.purpose, now)
      return
    }
    this._dispatch(request, pending, grant, now)
  }

  refused (askId: number, { reason, retryAfterMs, elsewhere }: Omit<Refusal, 'request'>, now: number): void {
    const request = this._bySchedulerRequest.get(askId)
    const pending = request?.asks.get(askId)
    if (!request || !pending) return
    this._removeSchedulerRequest(request, askId)
    if (pending.purpose === 'hedge') return this._postponeHedge(request, now)
    if (elsewhere !== undefined && !request.moved) {
      this._switchCell(request, elsewhere)
      return this._requestServer(request, pending.purpose === 'first' ? 'diverted' : pending.purpose, now)
    }
    const self = this._options.roster.self.instance
    if (reason === 'no-server' && pending.scheduler !== self) return this._requestServerFrom(request, pending.purpose, self, now)
    if (request.attempts.size > 0 || request.asks.size > 0) return
    this._end(request, failureReason(reason, request), retryAfterMs, now)
  }

  /** Handles the end of a pause of this process. Grants requested before it may predate changes of the server's or zone's state. */
  processResumed (now: number): void {
    this._resumedAt = now
  }

  /** Sends the request to another scheduler, because this one did not answer or no longer knows the request. */
  schedulerTimedOut (schedulerRequest: SchedulerRequest, now: number): void {
    const request = this._bySchedulerRequest.get(schedulerRequest.id)
    if (!request) return
    this._removeSchedulerRequest(request, schedulerRequest.id)
    if (schedulerRequest.purpose === 'hedge') return this._postponeHedge(request, now)
    this._requestServer(request, schedulerRequest.purpose, now)
  }

  attemptEnded (id: number, report: AttemptReport, status: number | undefined, now: number): void {
    const request = this._byAttempt.get(id)
    const attempt = request?.attempts.get(id)
    if (!request || !attempt) return
    if (MAY_HAVE_RUN.has(report.outcome)) request.mayHaveRun = true
    this._removeAttempt(request, id)
    if (request.spec.route.repeatable) this._connections.ended(attempt.server, report.outcome, now)
    this._options.limits.attemptEnded(attempt.server, report, now)
    this._report(request, attempt.ask, attempt.server.id, report, now)
    if (report.outcome !== 'answered') this._log.attemptEnded(request, attempt, report, status)
    if (request.callerLeft) {
      if (request.attempts.size === 0) this._discard(request.spec.id)
      return
    }
    this._handleOutcome(request, attempt, report, status, now)
  }

  /** Cancels the other attempts: this one's answer exceeds the buffer limit, and part of it has been sent to the caller. */
  streamingStarted (id: number, now: number): void {
    const request = this._byAttempt.get(id)
    if (!request) return
    request.streaming = true
    this._withdrawAll(request, now)
    this._cancelAll(request, now, id)
  }

  tick (now: number): void {
    for (const request of this._requests.values()) {
      if (now >= request.expiresAt) this._timeOut(request, now)
      else if (request.callerLeft) continue
      else if (now >= request.hedgeAt) this._hedge(request, now)
    }
  }

  /** Handles the beginning of a stop: refuses the requests that still wait for a server and may not end before this entry closes. */
  stopBegan (now: number): void {
    const { plannedStop } = this._options
    for (const request of [...this._requests.values()]) {
      if (request.attempts.size === 0 && !plannedStop.leavesTimeFor(request.expiresAt)) this._endForStop(request, now)
    }
  }

  /** Ends all requests at the end of a stop. The caller of one that was sent is told that its outcome is unknown. */
  closeAll (now: number): void {
    for (const request of [...this._requests.values()]) {
      if (request.callerLeft) {
        this._abandon(request, now)
        continue
      }
      if (request.fallbackAttempt === undefined && (request.mayHaveRun || request.attempts.size > 0)) this._brokenOff += 1
      this._endForStop(request, now)
    }
  }

  private _endForStop (request: OpenRequest, now: number): void {
    const mayHaveRun = request.mayHaveRun || request.attempts.size > 0
    this._end(request, 'stopping', mayHaveRun ? undefined : STOPPING_RETRY_AFTER_MS, now)
  }

  /** Switches the request to another cell, at most once: if one server of a cell is unreachable or full, others usually are too. */
  private _switchCell (request: OpenRequest, cell: string): void {
    request.moved = cell !== request.cell
    request.cell = cell
  }

  private _requestServer (request: OpenRequest, purpose: Purpose, now: number): void {
    request.cell = this._options.cellSelector.keepOrChoose(request.spec.service, request.cell)
    this._requestServerFrom(request, purpose, this._options.schedulerClient.choose(request.cell, now), now)
  }

  private _requestServerFrom (request: OpenRequest, purpose: Purpose, scheduler: string, now: number): void {
    if (!this._options.plannedStop.leavesTimeFor(request.expiresAt)) {
      return request.attempts.size > 0 || request.asks.size > 0 ? undefined : this._endForStop(request, now)
    }
    if (request.schedulerRequestCount >= MAX_SCHEDULER_REQUESTS || this._firstReturnMs(request, now) > 0) {
      return this._schedulerRequestsExhausted(request, now)
    }
    this._lastSchedulerRequestId += 1
    request.schedulerRequestCount += 1
    const schedulerRequest: SchedulerRequest = {
      id: this._lastSchedulerRequestId,
      purpose,
      cell: request.cell,
      scheduler,
      sentAt: now,
      resendCount: 0,
      queued: false
    }
    request.asks.set(schedulerRequest.id, schedulerRequest)
    this._bySchedulerRequest.set(schedulerRequest.id, request)
    this._options.schedulerClient.place(request, schedulerRequest, now)
  }

  /** Ends the request if it has no running attempt and no other scheduler request. */
  private _schedulerRequestsExhausted (request: OpenRequest, now: number): void {
    if (request.attempts.size > 0 || request.asks.size > 0) return
    this._end(request, request.sentTo.length > 0 ? 'shed' : 'no-server', NO_ANSWER_RETRY_AFTER_MS, now)
  }

  /** Time until a server of the request's service wants requests of this entry again; 0 if one does now or if none is registered. */
  private _firstReturnMs ({ spec: { service } }: OpenRequest, now: number): number {
    const { holds, declarations } = this._options
    return holds.firstReturnMs(service, ({ zone }) => declarations.zoneIsIn(zone), now)
  }

  /** When the caller of a request that no server took may retry: not before a server wants requests of this entry again. */
  private _retryAfterMs (request: OpenRequest, reason: FailureReason, suggestedMs: number | undefined, now: number): number | undefined {
    if (reason !== 'no-server' && reason !== 'shed' && reason !== 'overload') return suggestedMs
    const firstReturnMs = this._firstReturnMs(request, now)
    return firstReturnMs > 0 ? Math.min(MAX_RETRY_AFTER_MS, firstReturnMs) : suggestedMs
  }

  private _dispatch (
    request: OpenRequest, schedulerRequest: SchedulerRequest, { server, expectedMs, basis }: Omit<Grant, 'request'>, now: number
  ): void {
    const { spec } = request
    const { invariants, outbox, declarations } = this._options
    invariants.check('at-most-once', spec.route.repeatable || !request.mayHaveRun, () => `${spec.label} may have run`)
    invariants.check('zone-out', declarations.zoneIsIn(server.zone), () => `${server.id} is in ${server.zone}, which is evacuated`)
    invariants.check('leaving-server', !this._options.unfitness(server), () => `${server.id} is leaving`)
    this._lastAttemptId += 1
    const attempt: Attempt = { id: this._lastAttemptId, ask: schedulerRequest, server, sentAt: now, expectedMs }
    request.attempts.set(attempt.id, attempt)
    this._byAttempt.set(attempt.id, request)
    request.sentTo.push(server.id)
    request.avoid.push(server.id)
    const leftMs = request.expiresAt - now
    this._log.dispatched(request, attempt, basis, now)
    if (spec.route.repeatable) this._connections.dispatched(server)
    const further = schedulerRequest.purpose === 'retry' || schedulerRequest.purpose === 'hedge'
    outbox.put({
      kind: 'dispatch',
      request: spec.id,
      attempt: attempt.id,
      server,
      leftMs,
      newConnection: !spec.route.repeatable,
      isRetryOrHedge: further
    })
    const isLimited = this._options.limits.of(server) !== undefined
    if (this._mayHedge(request)) request.hedgeAt = now + hedgeDelayMs(expectedMs, request.targetAt - now, isLimited)
  }

  private _handleOutcome (request: OpenRequest, attempt: Attempt, report: AttemptReport, status: number | undefined, now: number): void {
    switch (report.outcome) {
      case 'answered': return this._answer(request, attempt, report, status, now)
      case 'failed-below': return this._answer(request, attempt, report, status, now)
      case 'failed':
        if (!request.spec.route.repeatable) return this._answer(request, attempt, report, status, now)
        request.fallbackAttempt = attempt.id
        return this._retryOrEnd(request, 'retry', 'shed', now)
      case 'lost':
        if (request.streaming) return this._end(request, 'lost', undefined, now)
        return this._retryOrEnd(request, 'retry', 'lost', now)
      case 'unreachable':
        request.sentTo.pop()
        if (!request.moved) this._switchCell(request, this._options.cellSelector.other(request.spec.service, request.cell))
        return this._retryOrEnd(request, 'again', 'no-server', now)
      case 'shed':
      case 'moved': return this._retryOrEnd(request, 'retry', 'shed', now)
      case 'cancelled':
      case 'unused': return undefined
    }
  }

  /** Asks for another server if the request may be sent again, and ends the request if not; does nothing while other work for it runs. */
  private _retryOrEnd (request: OpenRequest, purpose: Purpose, fallbackReason: FailureReason, now: number): void {
    if (request.attempts.size > 0 || request.asks.size > 0) return
    if (this._mayRetry(request, now)) return this._requestServer(request, purpose, now)
    this._end(request, fallbackReason, undefined, now)
  }

  private _mayRetry (request: OpenRequest, now: number): boolean {
    const { route, replayable, retrySpent } = request.spec
    if (!replayable || now + MIN_ATTEMPT_MS >= request.expiresAt) return false
    if (request.mayHaveRun && (!route.repeatable || retrySpent)) return false
    return request.sentTo.length < route.attempts
  }

  /** Hedges only the first call of a chain: hedges at every level would multiply along the chain. */
  private _mayHedge (request: OpenRequest): boolean {
    const { route, replayable, retrySpent, depth } = request.spec
    if (!route.repeatable || !replayable || retrySpent || depth > 0) return false
    if (!this._options.plannedStop.leavesTimeFor(request.expiresAt)) return false
    return request.sentTo.length < route.attempts && request.attempts.size === 1
  }

  private _hedge (request: OpenRequest, now: number): void {
    request.hedgeAt = Infinity
    if (!this._mayHedge(request) || request.asks.size > 0 || request.streaming) return
    this._options.outbox.log({ decision: 'hedged', request: request.spec.label, count: request.sentTo.length })
    this._requestServer(request, 'hedge', now)
  }

  private _postponeHedge (request: OpenRequest, now: number): void {
    for (const { expectedMs } of request.attempts.values()) {
      request.hedgeAt = now + nextHedgeDelayMs(expectedMs)
    }
  }

  /** Returns why the granted server must not be used, or undefined: this entry may have newer information than the scheduler. */
  private _grantRejectionReason (request: OpenRequest, server: RegisteredServer, now: number): string | undefined {
    const { declarations, holds, plannedStop, rollouts } = this._options
    if (!plannedStop.leavesTimeFor(request.expiresAt)) return 'stopping'
    if (!declarations.zoneIsIn(server.zone)) return 'zone-out'
    const unfitness = this._options.unfitness(server)
    if (unfitness !== undefined) return unfitness
    if (holds.isHeld(server, now)) return 'held'
    if (rollouts.standingOf(server, now) === 'excluded') return 'other-version'
    if (server.service !== request.spec.service) return 'other-service'
    if (request.avoid.includes(server.id)) return 'used-before'
    if (!request.spec.route.repeatable && request.mayHaveRun) return 'may-have-run'
    return now + MIN_ATTEMPT_MS >= request.expiresAt ? 'deadline' : undefined
  }

  private _answer (request: OpenRequest, attempt: Attempt, { load }: AttemptReport, status: number | undefined, now: number): void {
    const { spec } = request
    this._close(request, now)
    this._log.answered(request, attempt, load, status, now)
    this._options.outbox.put({ kind: 'answer', request: spec.id, attempt: attempt.id })
  }

  private _timeOut (request: OpenRequest, now: number): void {
    if (request.callerLeft) return this._abandon(request, now)
    this._end(request, 'deadline', undefined, now)
  }

  /** Cancels the attempts of an expired request whose caller closed its connection. */
  private _abandon (request: OpenRequest, now: number): void {
    this._cancelAll(request, now)
    this._discard(request.spec.id)
    this._options.outbox.log({ decision: 'abandoned', request: request.spec.label, tookMs: Math.round(now - request.arrivedAt) })
  }

  /** Ends a request whose caller has left. */
  private _discard (id: number): void {
    this._requests.delete(id)
    this._options.outbox.put({ kind: 'discard', request: id })
  }

  /** Ends a request without a successful answer: passes on a server's error answer if there is one, or refuses the request. */
  private _end (request: OpenRequest, reason: FailureReason, suggestedMs: number | undefined, now: number): void {
    const { spec, fallbackAttempt } = request
    const { outbox, invariants } = this._options
    const mayHaveRun = request.mayHaveRun || request.attempts.size > 0
    this._refund(request, now)
    this._close(request, now)
    const retryAfterMs = this._retryAfterMs(request, reason, suggestedMs, now)
    if (fallbackAttempt !== undefined && !request.streaming) {
      this._log.answeredWithFailure(request, fallbackAttempt, reason, now)
      return outbox.put({ kind: 'answer', request: spec.id, attempt: fallbackAttempt })
    }
    const outcome = mayHaveRun ? 'unknown' : 'not-run'
    invariants.check('not-run-truth', outcome === 'unknown' || !request.mayHaveRun, () => `${spec.label} may have run`)
    this._log.refused(request, `${outcome}: ${reason}`, retryAfterMs, now)
    outbox.put({ kind: 'refuse', request: spec.id, outcome, reason, retryAfterMs })
  }

  private _close (request: OpenRequest, now: number): void {
    this._withdrawAll(request, now)
    this._cancelAll(request, now)
    const known = this._requests.delete(request.spec.id)
    this._options.invariants.check('one-answer', known, () => `${request.spec.label} had already ended`)
  }

  private _withdrawAll (request: OpenRequest, now: number): void {
    for (const schedulerRequest of [...request.asks.values()]) {
      this._removeSchedulerRequest(request, schedulerRequest.id)
      this._options.schedulerClient.withdraw(schedulerRequest, now)
    }
  }

  private _cancelAll (request: OpenRequest, now: number, except?: number): void {
    for (const attempt of [...request.attempts.values()]) {
      if (attempt.id === except) continue
      request.mayHaveRun = true
      this._removeAttempt(request, attempt.id)
      this._options.outbox.put({ kind: 'cancel', attempt: attempt.id })
      this._report(request, attempt.ask, attempt.server.id, { outcome: 'cancelled', tookMs: now - attempt.sentAt }, now)
    }
  }

  private _report (request: OpenRequest, schedulerRequest: SchedulerRequest, server: string, report: AttemptReport, now: number): void {
    this._options.schedulerClient.report(request, schedulerRequest, server, report, now)
  }

  private _removeSchedulerRequest (request: OpenRequest, ask: number): void {
    request.asks.delete(ask)
    this._bySchedulerRequest.delete(ask)
  }

  private _removeAttempt (request: OpenRequest, attempt: number): void {
    request.attempts.delete(attempt)
    this._byAttempt.delete(attempt)
  }
}

function failureReason (refusal: RefusalReason, request: OpenRequest): FailureReason {
  const sent = request.sentTo.length > 0
  if (refusal === 'budget' || (refusal === 'no-server' && sent)) return request.mayHaveRun ? 'lost' : 'shed'
  return refusal
}
