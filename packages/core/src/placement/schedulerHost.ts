/** The schedulers that run at this entry: for services that it schedules for all, and for its own requests when nobody else does. */
import type { ColdTolerance } from '../budgets/coldAllowance.js'
import type { RetryTolerance } from '../budgets/retryBudget.js'
import type { Declarations } from '../configuration/declarations.js'
import type { Catalog } from '../discovery/catalog.js'
import type { ServerEntry } from '../discovery/serverEntry.js'
import type { Outbox } from '../effects.js'
import type { Member } from '../members/member.js'
import type { PlaceMessage, ReportMessage, WaitingMessage, WithdrawMessage } from '../members/peerMessages.js'
import type { Roles } from '../members/roles.js'
import type { Roster } from '../members/roster.js'
import type { AttemptReport, Grant, PlacementRequest, Refusal, RefusalReason } from './placementRequest.js'
import { Scheduler } from './scheduler.js'
import type { ProbeAnswer } from './serverRecord.js'

/** What all entries together may put on backend servers. */
export interface Tolerances {
  retry: RetryTolerance
  /** How far a cold server's burst may go beyond its declared rate. */
  cold: Omit<ColdTolerance, 'perSecond'>
}

/** Told of decisions on this entry's own requests. */
export interface OwnRequests {
  granted (ask: number, grant: Omit<Grant, 'request'>, now: number): void
  refused (ask: number, refusal: Omit<Refusal, 'request'>, now: number): void
}

/** What the host is built from. */
export interface SchedulerHostOptions {
  catalog: Catalog
  declarations: Declarations
  roster: Roster
  roles: Roles
  outbox: Outbox
  tolerances: Tolerances
}

/** A scheduler with what it is asked by whom. */
interface Hosted {
  scheduler: Scheduler
  usedAt: number
}

/** Where a request came from. */
interface Origin {
  from: string
  /** The process that asked: one that starts anew counts its asks from the beginning. */
  incarnation: number
  ask: number
  service: string
  at: number
  acknowledged: boolean
  grant?: Grant
}

/** Members in the order for a service that may use the schedulers' share of what all entries may spend together. */
const SHARING_RANKS = 2
/** Three schedulers of one service, for a moment of disagreement, still stay within the sum. */
const SCHEDULER_SHARE = 0.33
/** A request that is not placed at once is acknowledged after this time, in milliseconds. */
const ACKNOWLEDGE_MS = 8
const IDLE_MS = 60_000
const DEFAULT_COLD_PER_SECOND = 5

/** Runs schedulers and answers the entries that ask them. */
export class SchedulerHost {
  private readonly _options: SchedulerHostOptions
  private readonly _hosted = new Map<string, Hosted>()
  private readonly _origins = new Map<string, Origin>()
  private _own!: OwnRequests
  private _now = 0

  constructor (options: SchedulerHostOptions) {
    this._options = options
  }

  /** Joined after construction, since each side tells the other. */
  connect (own: OwnRequests): void {
    this._own = own
  }

  /** Schedulers by service, for reports. */
  get schedulers (): Array<[string, Scheduler]> {
    return [...this._hosted].map(([service, { scheduler }]) => [service, scheduler])
  }

  /** Whether something waits here. */
  get busy (): boolean {
    for (const { scheduler } of this._hosted.values()) if (scheduler.waiting > 0) return true
    return false
  }

  /** Takes a request of an entry, this one included. */
  place (from: Member, message: PlaceMessage, now: number): void {
    this._now = now
    const id = idOf(from.instance, message.ask)
    const known = this._origins.get(id)
    if (known?.incarnation === from.incarnation) return this._repeat(from, known)
    if (known) this._abandon(id, known, now)
    const { instance, incarnation } = from
    this._origins.set(id, { from: instance, incarnation, ask: message.ask, service: message.service, at: now, acknowledged: false })
    this._hostedFor(message.service).scheduler.place(requestOf(id, from, message, now), now)
  }

  withdraw (from: string, { asks }: Pick<WithdrawMessage, 'asks'>, now: number): void {
    this._now = now
    for (const ask of asks) {
      const id = idOf(from, ask)
      const origin = this._origins.get(id)
      if (origin) this._abandon(id, origin, now)
    }
  }

  /** Takes a request out of the line, or gives its server back. */
  private _abandon (id: string, { service, grant }: Origin, now: number): void {
    this._origins.delete(id)
    const scheduler = this._hosted.get(service)?.scheduler
    scheduler?.withdraw(id)
    if (grant) scheduler?.report(id, grant.server.id, grant.request.route, UNUSED, now)
  }

  /** An entry still waits: it is told what it may have missed. */
  stillWaiting (from: Member, { asks }: WaitingMessage, now: number): void {
    this._now = now
    const unknown: number[] = []
    for (const ask of asks) {
      const origin = this._origins.get(idOf(from.instance, ask))
      if (origin) this._repeat(from, origin)
      else unknown.push(ask)
    }
    if (unknown.length > 0) this._options.outbox.send(from, { kind: 'unknown', asks: unknown })
  }

  /** What became of a grant. */
  report (from: string, { ask, service, route, server, report }: Omit<ReportMessage, 'kind'>, now: number): void {
    this._now = now
    const id = idOf(from, ask)
    this._origins.delete(id)
    const hosted = this._hosted.get(service)
    if (!hosted) return
    const before = hosted.scheduler.records.get(server)?.reach
    hosted.scheduler.report(id, server, route, report, now)
    this._noteReach(service, server, before)
  }

  probed (service: string, server: string, answer: ProbeAnswer | undefined, now: number): void {
    this._now = now
    const scheduler = this._hosted.get(service)?.scheduler
    if (!scheduler) return
    const before = scheduler.records.get(server)?.reach
    scheduler.probed(server, answer, now)
    this._noteReach(service, server, before)
  }

  /** Registrations, zones or services have changed. */
  serversChanged (services: Iterable<string>, now: number): void {
    this._now = now
    for (const service of services) {
      this._hosted.get(service)?.scheduler.setServers(this._usable(service), now)
    }
  }

  tick (now: number): void {
    this._now = now
    for (const [service, hosted] of this._hosted) {
      hosted.scheduler.tick(now)
      if (now - hosted.usedAt > IDLE_MS && hosted.scheduler.waiting === 0) this._hosted.delete(service)
    }
    this._acknowledge(now)
  }

  private _hostedFor (service: string): Hosted {
    let hosted = this._hosted.get(service)
    if (!hosted) {
      hosted = { scheduler: this._build(service), usedAt: this._now }
      this._hosted.set(service, hosted)
      hosted.scheduler.setServers(this._usable(service), this._now)
    }
    hosted.usedAt = this._now
    return hosted
  }

  private _build (service: string): Scheduler {
    const { tolerances, declarations } = this._options
    return new Scheduler({
      service,
      retry: tolerances.retry,
      cold: () => ({ ...tolerances.cold, perSecond: declarations.service(service)?.coldPerSecond ?? DEFAULT_COLD_PER_SECOND }),
      share: () => this._shareOf(service),
      listener: {
        granted: (grant) => this._granted(grant),
        refused: (refusal) => this._refused(refusal),
        probe: (server) => this._options.outbox.put({ kind: 'probe', server })
      }
    })
  }

  /** An entry that few others hear, or that is not meant to schedule the service, keeps to a part that holds for all at once. */
  private _shareOf (service: string): number {
    const { roster, roles } = this._options
    const rank = roles.schedulersOf(service).findIndex((member) => member.instance === roster.self.instance)
    const heard = roster.alive.length * 2 > roster.most
    if (rank >= 0 && rank < SHARING_RANKS && heard) return SCHEDULER_SHARE
    return 1 / (2 * roster.most)
  }

  private _usable (service: string): ServerEntry[] {
    const { catalog, declarations } = this._options
    return catalog.readyOf(service).filter((server) => declarations.zoneIsIn(server.zone))
  }

  private _granted (grant: Grant): void {
    const origin = this._origins.get(grant.request.id)
    if (!origin) return
    origin.grant = grant
    const { server, request, expectedMs, basis } = grant
    this._options.outbox.log({
      decision: 'granted',
      request: request.label,
      service: request.service,
      server: server.id,
      instance: origin.from,
      purpose: request.purpose,
      expectedMs: Math.round(expectedMs),
      readingAgeMs: basis?.ageMs,
      running: basis?.running,
      waiting: basis?.waiting,
      pace: basis?.pace,
      tookMs: Math.round(this._now - origin.at)
    })
    this._tell(origin)
  }

  private _refused ({ request, reason, retryAfterMs }: Refusal): void {
    const origin = this._origins.get(request.id)
    if (!origin) return
    this._origins.delete(request.id)
    if (origin.from === this._options.roster.self.instance) {
      return this._own.refused(origin.ask, { reason, retryAfterMs }, this._now)
    }
    this._toldRefusal(origin, request, reason, retryAfterMs)
  }

  private _toldRefusal (origin: Origin, request: PlacementRequest, reason: RefusalReason, retryAfterMs: number): void {
    const { outbox, roster } = this._options
    const to = roster.get(origin.from)
    outbox.log(
      { decision: 'refused', request: request.label, service: request.service, instance: origin.from, purpose: request.purpose, reason }
    )
    if (to) outbox.send(to, { kind: 'refused', ask: origin.ask, reason, retryAfterMs: Math.round(retryAfterMs) })
  }

  private _tell ({ from, ask, grant }: Origin): void {
    const { outbox, roster } = this._options
    const { server, expectedMs, basis } = grant!
    if (from === roster.self.instance) return this._own.granted(ask, { server, expectedMs, basis }, this._now)
    const to = roster.get(from)
    if (to) outbox.send(to, { kind: 'granted', ask, server, expectedMs: Math.round(expectedMs), basis })
  }

  private _repeat (from: Member, origin: Origin): void {
    if (origin.grant) return this._tell(origin)
    this._options.outbox.send(from, { kind: 'queued', asks: [origin.ask] })
  }

  /** Tells entries of what still waits; forgets what has long been over. */
  private _acknowledge (now: number): void {
    const waiting = new Map<string, number[]>()
    for (const [id, origin] of this._origins) {
      const over = origin.grant && now > origin.grant.request.deadlineAt
      if (over) this._origins.delete(id)
      if (over || origin.grant || origin.acknowledged || now - origin.at < ACKNOWLEDGE_MS) continue
      origin.acknowledged = true
      const asks = waiting.get(origin.from)
      if (asks) asks.push(origin.ask)
      else waiting.set(origin.from, [origin.ask])
    }
    for (const [from, asks] of waiting) {
      const to = from === this._options.roster.self.instance ? undefined : this._options.roster.get(from)
      if (to) this._options.outbox.send(to, { kind: 'queued', asks })
    }
  }

  private _noteReach (service: string, server: string, before: string | undefined): void {
    const after = this._hosted.get(service)?.scheduler.records.get(server)?.reach
    if (after === before || after === undefined) return
    if (after === 'silent') this._options.outbox.log({ decision: 'server-silent', service, server })
    else if (before === 'silent') this._options.outbox.log({ decision: 'server-back', service, server })
  }
}

/** The report of an attempt that was given up before anything was sent. */
export const UNUSED: AttemptReport = { outcome: 'unused', tookMs: 0 }

function idOf (instance: string, ask: number): string {
  return `${instance}/${ask}`
}

function requestOf (id: string, from: Member, message: PlaceMessage, now: number): PlacementRequest {
  const { label, service, route, purpose, priority, targetMs, targetLeftMs, leftMs, waitMs, avoid } = message
  return {
    id,
    label,
    service,
    route,
    purpose,
    priority,
    targetMs,
    waitMs,
    avoid,
    zone: from.zone,
    targetAt: now + targetLeftMs,
    deadlineAt: now + leftMs
  }
}
