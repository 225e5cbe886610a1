/** Runs the schedulers of this entry: for the cells that it schedules for all entries, and for its own requests if no other entry does. */
import type { ColdTolerance } from '../budgets/coldStartLimiter.js'
import type { RetryTolerance } from '../budgets/retryBudget.js'
import type { Declarations } from '../configuration/declarations.js'
import type { Outbox } from '../effects.js'
import type { Member } from '../members/member.js'
import type { CellLoadMessage, PlaceMessage, ReportMessage, WaitingMessage, WithdrawMessage } from '../members/peerMessages.js'
import type { Roles } from '../members/roles.js'
import type { Roster } from '../members/roster.js'
import { draw, type Random } from '../random.js'
import { PlacementDecisions, requestIdOf, type LocalRequestListener, type RequestOrigin } from './placementDecisions.js'
import { requestOf, UNUSED_REPORT, type PlacementRequest, type Refusal } from './placementRequest.js'
import type { Cells } from './cells.js'
import type { Rollouts } from '../rollouts/rollouts.js'
import { Overflow } from './overflow.js'
import { FREQUENT_READINGS, REDUCED_READINGS } from './loadReadingPolicy.js'
import { Scheduler } from './scheduler.js'
import { LimitedRates } from './limitedRates.js'
import type { ServerHolds } from './serverHolds.js'
import type { ServerLimits } from './serverLimits.js'
import { SchedulerShares } from './schedulerShares.js'
import type { ProbeAnswer } from './serverRecord.js'

/** Limits on the load that all entries together may put on backend servers. */
export interface Tolerances {
  retry: RetryTolerance
  /** How far a burst to a cold server may exceed its declared rate. */
  cold: Omit<ColdTolerance, 'perSecond'>
}

/** What the host is built from. */
export interface SchedulerHostOptions {
  cells: Cells
  random: Random
  declarations: Declarations
  roster: Roster
  roles: Roles
  outbox: Outbox
  tolerances: Tolerances
  holds: ServerHolds
  limits: ServerLimits
  rollouts: Pick<Rollouts, 'trialOf'>
}

/** The scheduler of a cell, and the reported loads of the other cells of its service. */
interface HostedScheduler {
  service: string
  scheduler: Scheduler
  overflow: Overflow
  lastUsedAt: number
  loadSentAt: number
}

/** A scheduler counts as active for this long after it received a request or the load of another cell. */
const ACTIVE_PERIOD_MS = 2000
/** A scheduler that is not used for this long is removed. */
const IDLE_TIMEOUT_MS = 60_000
/** Interval at which a cell reports its load to the other cells. */
const CELL_LOAD_INTERVAL_MS = 400
const MAX_REPORTED_PRESSURE_PERCENT = 900
const DEFAULT_COLD_PER_SECOND = 5

/** Runs schedulers and answers the entries that send them requests. */
export class SchedulerHost {
  private readonly _options: SchedulerHostOptions
  private readonly _hosted = new Map<string, HostedScheduler>()
  private readonly _decisions: PlacementDecisions
  private readonly _shares: SchedulerShares
  private _now = 0

  constructor (options: SchedulerHostOptions) {
    this._options = options
    this._decisions = new PlacementDecisions(options)
    this._shares = new SchedulerShares(options)
  }

  /** Sets the listener after construction, since the host and the listener refer to each other. */
  connect (localRequests: LocalRequestListener): void {
    this._decisions.connect(localRequests)
  }

  /** Schedulers by cell, for status reports. */
  get schedulers (): Array<[string, Scheduler]> {
    return [...this._hosted].map(([cell, { scheduler }]) => [cell, scheduler])
  }

  /** Whether any request is waiting. */
  get busy (): boolean {
    for (const { scheduler } of this._hosted.values()) if (scheduler.waiting > 0) return true
    return false
  }

  /** Whether a scheduler was used recently. */
  isActive (now: number): boolean {
    for (const { lastUsedAt } of this._hosted.values()) if (now - lastUsedAt < ACTIVE_PERIOD_MS) return true
    return false
  }

  /** Processes a request of an entry, which may be this one. */
  place (from: Member, message: PlaceMessage, now: number): void {
    this._now = now
    const id = requestIdOf(from.instance, message.ask)
    const known = this._decisions.origin(id)
    if (known?.incarnation === from.incarnation) return this._decisions.resend(from, known, now)
    if (known) this._cancel(id, known, now)
    if (message.limits) this._options.limits.reported(message.limits, message.service, now)
    this._decisions.add(id, from, message, now)
    const hosted = this._getOrCreateHosted(message)
    const request = requestOf(id, from, message, now)
    const elsewhere = message.purpose === 'first' ? this._divert(hosted, now) : undefined
    if (elsewhere === undefined) hosted.scheduler.place(request, now)
    else this._refused({ request, reason: 'overload', retryAfterMs: 0, elsewhere })
  }

  withdraw (from: string, { asks }: Pick<WithdrawMessage, 'asks'>, now: number): void {
    this._now = now
    for (const ask of asks) {
      const id = requestIdOf(from, ask)
      const origin = this._decisions.origin(id)
      if (origin) this._cancel(id, origin, now)
    }
  }

  /** Removes a request from the queue, or releases the server that it was granted. */
  private _cancel (id: string, { cell, grant }: RequestOrigin, now: number): void {
    this._decisions.remove(id)
    const scheduler = this._hosted.get(cell)?.scheduler
    scheduler?.withdraw(id)
    if (grant) scheduler?.report(id, grant.server.id, grant.request.route, UNUSED_REPORT, now)
  }

  /** Processes the list of requests for which an entry still waits, and resends decisions that it may have missed. */
  receiveWaiting (from: Member, { asks }: WaitingMessage, now: number): void {
    this._now = now
    this._decisions.resendAll(from, asks, now)
  }

  /** Processes the report on an attempt. */
  report (from: string, { ask, cell, route, server, report }: Omit<ReportMessage, 'kind'>, now: number): void {
    this._now = now
    const id = requestIdOf(from, ask)
    this._decisions.remove(id)
    const hosted = this._hosted.get(cell)
    if (!hosted) return
    const record = hosted.scheduler.records.get(server)
    const previousReach = record?.reach
    if (record) this._options.limits.attemptEnded(record.entry, report, now)
    hosted.scheduler.report(id, server, route, report, now)
    this._logReachabilityChange(hosted, server, previousReach)
  }

  probed (service: string, server: string, answer: ProbeAnswer | undefined, now: number): void {
    this._now = now
    for (const hosted of this._hosted.values()) {
      const record = hosted.service === service ? hosted.scheduler.records.get(server) : undefined
      if (!record) continue
      const previousReach = record.reach
      hosted.scheduler.probed(server, answer, now)
      this._logReachabilityChange(hosted, server, previousReach)
    }
  }

  /** Updates the servers of schedulers after registrations changed, or, without `services`, after zones or policies changed. */
  serversChanged (services: Iterable<string> | undefined, now: number): void {
    this._now = now
    const { cells } = this._options
    const changed = new Set(services ?? cells.services)
    for (const service of changed) cells.invalidate(service)
    for (const [cell, { service, scheduler }] of this._hosted) {
      if (changed.has(service)) scheduler.setServers(cells.usable(service, cell), now)
    }
  }

  tick (now: number): void {
    this._now = now
    this._shares.tick(this._hosted.keys(), now)
    for (const [cell, hosted] of this._hosted) {
      hosted.scheduler.tick(now)
      if (now - hosted.loadSentAt >= CELL_LOAD_INTERVAL_MS) this._sendCellLoad(cell, hosted, now)
      if (now - hosted.lastUsedAt > IDLE_TIMEOUT_MS && hosted.scheduler.waiting === 0) this._hosted.delete(cell)
    }
    this._decisions.tick(now)
  }

  private _getOrCreateHosted ({ service, cell }: Pick<PlaceMessage, 'service' | 'cell'>): HostedScheduler {
    let hosted = this._hosted.get(cell)
    if (!hosted) {
      const { random, cells } = this._options
      const overflow = new Overflow({ random })
      hosted = { service, scheduler: this._createScheduler(service, cell), overflow, lastUsedAt: this._now, loadSentAt: -Infinity }
      this._hosted.set(cell, hosted)
      hosted.scheduler.setServers(cells.usable(service, cell), this._now)
    }
    hosted.lastUsedAt = this._now
    return hosted
  }

  private _createScheduler (service: string, cell: string): Scheduler {
    const { tolerances, declarations, cells, limits, random } = this._options
    const { ratio, slack, windowMs } = tolerances.retry
    return new Scheduler({
      service,
      // Each cell counts its own requests; the slack is divided evenly among the cells.
      retry: { ratio, slack: slack / cells.of(service).length, windowMs },
      cold: () => ({ ...tolerances.cold, perSecond: declarations.service(service)?.coldPerSecond ?? DEFAULT_COLD_PER_SECOND }),
      share: () => this._shares.of(cell, this._now),
      coldShare: () => this._shares.ofCold(cell, this._now),
      retryShare: () => this._shares.ofRetries(cell, windowMs, this._now),
      limitedRates: new LimitedRates({
        limitOf: (server) => limits.of(server), share: () => this._shares.ofLimits(cell, this._now), random
      }),
      mayProbe: (server, now) => !this._options.holds.isHeld(server, now),
      zone: this._options.roster.self.zone,
      trial: () => this._options.rollouts.trialOf(service),
      loadReadingPolicy: () => this._options.roster.isLarge ? REDUCED_READINGS : FREQUENT_READINGS,
      listener: {
        granted: (grant) => this._decisions.granted(grant, this._now),
        refused: (refusal) => this._refused(refusal),
        probe: (server) => this._options.outbox.put({ kind: 'probe', server })
      }
    })
  }

  /** The cell that a request is passed on to because of overload here; undefined if this cell keeps it. */
  private _divert ({ service, scheduler, overflow }: HostedScheduler, now: number): string | undefined {
    if (this._options.cells.of(service).length === 1) return undefined
    return overflow.divert(scheduler.pressure(now), now)
  }

  /** Reports the load of this cell to the schedulers of the service's other cells. */
  private _sendCellLoad (cell: string, hosted: HostedScheduler, now: number): void {
    hosted.loadSentAt = now
    const { cells, roles, roster, outbox } = this._options
    const { service, scheduler } = hosted
    const others = cells.of(service).filter(({ name }) => name !== cell)
    if (others.length === 0 || roles.schedulersOf(cell)[0]?.instance !== roster.self.instance) return
    const pressure = Math.round(Math.min(MAX_REPORTED_PRESSURE_PERCENT, scheduler.pressure(now) * 100))
    const message: CellLoadMessage = { kind: 'cell-load', service, cell, pressure, servers: scheduler.records.size }
    const notified = new Set<string>()
    for (const { name } of others) {
      const to = roles.schedulersOf(name)[0]
      if (!to || notified.has(to.instance)) continue
      notified.add(to.instance)
      if (to.instance === roster.self.instance) this.receiveCellLoad(message, now)
      else outbox.send(to, message)
    }
  }

  /** Processes the load that the scheduler of another cell has reported. */
  receiveCellLoad ({ service, cell, pressure, servers }: Omit<CellLoadMessage, 'kind'>, now: number): void {
    const { cells, roles, roster } = this._options
    this._now = now
    for (const { name } of cells.of(service)) {
      // Creates the scheduler of a cell without requests, so that it reports its free capacity as well.
      const isScheduledHere = roles.schedulersOf(name)[0]?.instance === roster.self.instance
      const hosted = isScheduledHere ? this._getOrCreateHosted({ service, cell: name }) : this._hosted.get(name)
      if (name !== cell) hosted?.overflow.updateLoad({ cell, pressure: pressure / 100, servers }, now)
    }
  }

  private _refused (refusal: Refusal): void {
    if (!this._decisions.origin(refusal.request.id)) return
    this._decisions.refused(refusal.request, this._withFallbackCell(refusal), this._now)
  }

  /** Adds another cell to the refusal of a first attempt for lack of capacity, so that the entry sends the request there, once. */
  private _withFallbackCell ({ request, reason, retryAfterMs, elsewhere }: Refusal): Omit<Refusal, 'request'> {
    const mayRedirect = (request.purpose === 'first' || request.purpose === 'again') && (reason === 'overload' || reason === 'no-server')
    if (!mayRedirect) return { reason, retryAfterMs }
    const fallbackCell = elsewhere ?? this._hosted.get(request.cell)?.overflow.fallbackCell(this._now)
    return { reason, retryAfterMs, elsewhere: fallbackCell ?? (reason === 'no-server' ? this._anyOtherCell(request) : undefined) }
  }

  /** Any other cell with usable servers, even if its load is unknown. */
  private _anyOtherCell ({ service, cell }: PlacementRequest): string | undefined {
    const { cells, random } = this._options
    return draw(cells.of(service).filter(({ name, usable }) => name !== cell && usable.length > 0), random)?.name
  }

  private _logReachabilityChange ({ service, scheduler }: HostedScheduler, server: string, previousReach: string | undefined): void {
    const currentReach = scheduler.records.get(server)?.reach
    if (currentReach === previousReach || currentReach === undefined) return
    if (currentReach === 'silent') this._options.outbox.log({ decision: 'server-silent', service, server })
    else if (previousReach === 'silent') this._options.outbox.log({ decision: 'server-back', service, server })
  }
}
