/** Client for the schedulers: selects the scheduler to ask and handles timeouts. */
import type { Outbox } from '../effects.js'
import type { Member } from '../members/member.js'
import type { PlaceMessage } from '../members/peerMessages.js'
import type { Roles } from '../members/roles.js'
import type { Roster } from '../members/roster.js'
import type { AttemptReport } from '../placement/placementRequest.js'
import type { StatedLimit } from '../placement/serverLimits.js'
import type { SchedulerHost } from '../placement/schedulerHost.js'
import type { Random } from '../random.js'
import type { SchedulerRequest, OpenRequest } from './request.js'
import { SchedulerRamp } from './schedulerRamp.js'

export interface SchedulerClientOptions {
  roster: Roster
  roles: Roles
  host: SchedulerHost
  outbox: Outbox
  random: Random
  /** Ids of the servers of a service that the scheduler must not grant to this entry now. */
  heldServers: (service: string, now: number) => string[]
  /** Ids of servers of a service to which this entry has an idle connection. */
  connectedServers: (service: string, now: number) => string[]
  /** The limits that the servers of a cell have stated. */
  limitsOf: (service: string, cell: string, now: number) => StatedLimit[]
  /** Time since the registration of a server was removed. */
  removedMs: (server: string, now: number) => number
  /** Called when the scheduler did not answer in time, or no longer knows the request. */
  timedOut: (schedulerRequest: SchedulerRequest, now: number) => void
}

interface PendingRequest {
  ask: SchedulerRequest
  request: OpenRequest
  checkedAt: number
}

/** Number of schedulers of a cell that an entry considers; if all of them are unreachable, the entry schedules its own requests. */
const MAX_SCHEDULERS = 2
/** A request without an answer is sent once more after this time, which is several round trips between zones. */
const RESEND_DELAY_MS = 14
/** A scheduler that has not answered a request within this time counts as unreachable. */
const SCHEDULER_TIMEOUT_MS = 40
/** The same limit for a scheduler that has answered other requests meanwhile: it is busy, and asking another one would add load. */
const BUSY_SCHEDULER_TIMEOUT_MS = 150
/** How often the client asks a scheduler whether a request is still in its request queue. */
const QUEUE_CHECK_INTERVAL_MS = 50
const QUEUED_TIMEOUT_MS = 150
/** An unreachable scheduler is not asked for this time. */
const SCHEDULER_BACKOFF_MS = 500

/** A scheduler that grants a server whose registration was removed this long ago does not receive changes. Usually they take 50 ms. */
const OUTDATED_VIEW_MS = 500

/** Sends scheduler requests, withdrawals and attempt reports to the scheduler of a cell. */
export class SchedulerClient {
  private readonly _options: SchedulerClientOptions
  private readonly _pending = new Map<number, PendingRequest>()
  private readonly _skippedUntil = new Map<string, number>()
  /** Schedulers with an outdated view of the servers, with the time until which they are not asked. */
  private readonly _outdatedUntil = new Map<string, number>()
  private readonly _lastReceivedAt = new Map<string, number>()
  private readonly _ramp: SchedulerRamp

  constructor (options: SchedulerClientOptions) {
    this._options = options
    this._ramp = new SchedulerRamp(options.random)
  }

  /** Returns the entry to ask: the first of the cell's schedulers that is not skipped as unreachable, or this entry. */
  choose (cell: string, now: number): string {
    const { roles, roster } = this._options
    const schedulers = roles.schedulersOf(cell)
    if (!this._ramp.asksSchedulers(schedulers.length > 0, now)) return roster.self.instance
    for (const member of schedulers.slice(0, MAX_SCHEDULERS)) {
      const skippedUntil = this._skippedUntil.get(member.instance) ?? -Infinity
      if (skippedUntil <= now && (this._outdatedUntil.get(member.instance) ?? -Infinity) <= now) return member.instance
    }
    return roster.self.instance
  }

  /** Asks the scheduler for a server. */
  place (request: OpenRequest, schedulerRequest: SchedulerRequest, now: number): void {
    const { roster, host, outbox } = this._options
    const message = this._placeMessage(request, schedulerRequest, now)
    if (schedulerRequest.scheduler === roster.self.instance) return host.place(roster.self, message, now)
    const to = roster.get(schedulerRequest.scheduler)
    this._pending.set(schedulerRequest.id, { ask: schedulerRequest, request, checkedAt: now })
    if (to) outbox.send(to, message)
  }

  /** Handles the grant of a server that is no longer registered. Turns away from a scheduler that has not learned this for some time. */
  grantedDeparted (scheduler: string, server: string, now: number): void {
    const { roster, outbox, removedMs } = this._options
    const tookMs = removedMs(server, now)
    if (scheduler === roster.self.instance || tookMs < OUTDATED_VIEW_MS) return
    this._outdatedUntil.set(scheduler, now + SCHEDULER_BACKOFF_MS)
    outbox.log({ decision: 'scheduler-outdated', instance: scheduler, server, tookMs: Math.round(tookMs) })
  }

  /** Notifies the scheduler that the server is no longer needed. */
  withdraw (withdrawn: SchedulerRequest, now: number): void {
    const { roster, host, outbox } = this._options
    this._pending.delete(withdrawn.id)
    if (withdrawn.scheduler === roster.self.instance) return host.withdraw(withdrawn.scheduler, { asks: [withdrawn.id] }, now)
    const to = roster.get(withdrawn.scheduler)
    if (to) outbox.send(to, { kind: 'withdraw', asks: [withdrawn.id] })
  }

  /** Reports to the scheduler how the attempt that used its grant ended. */
  report (request: OpenRequest, schedulerRequest: SchedulerRequest, server: string, report: AttemptReport, now: number): void {
    const { roster, host, outbox } = this._options
    const { route } = request.spec
    const message = { ask: schedulerRequest.id, cell: schedulerRequest.cell, route: route.name, server, report }
    if (schedulerRequest.scheduler === roster.self.instance) return host.report(schedulerRequest.scheduler, message, now)
    const to = roster.get(schedulerRequest.scheduler)
    if (to) outbox.send(to, { kind: 'report', ...message, report: { ...report, tookMs: Math.round(report.tookMs) } })
  }

  /** Records that a grant or refusal arrived. Returns whether the request was still pending at that scheduler. */
  settled (from: string, askId: number, now: number): boolean {
    this._lastReceivedAt.set(from, now)
    this._skippedUntil.delete(from)
    const pending = this._pending.get(askId)
    if (pending?.ask.scheduler !== from) return false
    this._pending.delete(askId)
    return true
  }

  /** Records that the scheduler put the requests into its request queue. */
  queued (from: string, asks: readonly number[], now: number): void {
    this._lastReceivedAt.set(from, now)
    for (const id of asks) {
      const pending = this._pending.get(id)
      if (pending?.ask.scheduler === from) pending.ask.queued = true
    }
  }

  /** Handles requests that the scheduler does not know, because it has restarted. */
  unknown (from: string, asks: readonly number[], now: number): void {
    this._lastReceivedAt.set(from, now)
    for (const id of asks) {
      const pending = this._pending.get(id)
      if (pending?.ask.scheduler !== from) continue
      this._pending.delete(id)
      this._options.timedOut(pending.ask, now)
    }
  }

  tick (now: number): void {
    const checks = new Map<string, { to: Member, asks: number[] }>()
    for (const [id, pending] of this._pending) {
      if (this._hasTimedOut(pending, now)) {
        this._pending.delete(id)
        this._timeOut(pending, now)
        continue
      }
      if (pending.ask.queued) this._addQueueCheck(pending, checks, now)
      else if (pending.ask.resendCount === 0 && now - pending.ask.sentAt >= RESEND_DELAY_MS) this._resend(pending, now)
    }
    for (const { to, asks } of checks.values()) this._options.outbox.send(to, { kind: 'waiting', asks })
  }

  private _hasTimedOut ({ ask }: PendingRequest, now: number): boolean {
    const lastReceivedAt = this._lastReceivedAt.get(ask.scheduler) ?? -Infinity
    if (ask.queued) return now - Math.max(ask.sentAt, lastReceivedAt) >= QUEUED_TIMEOUT_MS
    return now - ask.sentAt >= (lastReceivedAt > ask.sentAt ? BUSY_SCHEDULER_TIMEOUT_MS : SCHEDULER_TIMEOUT_MS)
  }

  private _timeOut ({ ask, request }: PendingRequest, now: number): void {
    const { scheduler } = ask
    this._skippedUntil.set(scheduler, now + SCHEDULER_BACKOFF_MS)
    const { label, service } = request.spec
    this._options.outbox.log(
      { decision: 'scheduler-silent', request: label, service, instance: scheduler, tookMs: Math.round(now - ask.sentAt) }
    )
    const to = this._options.roster.get(scheduler)
    if (to) this._options.outbox.send(to, { kind: 'withdraw', asks: [ask.id] })
    this._options.timedOut(ask, now)
  }

  private _resend (pending: PendingRequest, now: number): void {
    pending.ask.resendCount += 1
    const to = this._options.roster.get(pending.ask.scheduler)
    if (to) this._options.outbox.send(to, this._placeMessage(pending.request, pending.ask, now))
  }

  private _addQueueCheck (pending: PendingRequest, checks: Map<string, { to: Member, asks: number[] }>, now: number): void {
    if (now - pending.checkedAt < QUEUE_CHECK_INTERVAL_MS) return
    pending.checkedAt = now
    const { scheduler, id } = pending.ask
    const to = this._options.roster.get(scheduler)
    const check = checks.get(scheduler)
    if (check) check.asks.push(id)
    else if (to) checks.set(scheduler, { to, asks: [id] })
  }

  private _placeMessage (request: OpenRequest, schedulerRequest: SchedulerRequest, now: number): PlaceMessage {
    const { spec, targetAt, expiresAt, avoid } = request
    const limits = this._options.limitsOf(spec.service, schedulerRequest.cell, now)
    // A request that must not run twice gets a new connection.
    const connected = spec.route.repeatable ? this._options.connectedServers(spec.service, now) : []
    return {
      kind: 'place',
      ask: schedulerRequest.id,
      label: spec.label,
      service: spec.service,
      cell: schedulerRequest.cell,
      route: spec.route.name,
      purpose: schedulerRequest.purpose,
      priority: spec.customer?.priority ?? spec.route.priority,
      targetMs: spec.route.targetMs,
      targetLeftMs: Math.round(targetAt - now),
      leftMs: Math.round(expiresAt - now),
      waitMs: Math.round(spec.deadlineMs),
      avoid: [...avoid, ...this._options.heldServers(spec.service, now)],
      bodyBytes: spec.bodyBytes,
      limits: limits.length > 0 ? limits : undefined,
      customer: spec.customer?.name,
      connected: connected.length > 0 ? connected : undefined
    }
  }
}
