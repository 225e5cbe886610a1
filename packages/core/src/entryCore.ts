/** Makes all decisions of one entry: takes events with the current time and returns effects. It has no clock, socket or timer. */
import { Declarations } from './configuration/declarations.js'
import { WeightedPicker } from './configuration/weightedPicker.js'
import { Quotas } from './customers/quotas.js'
import { Catalog, type Unfitness } from './discovery/catalog.js'
import type { RegisteredServer } from './discovery/registeredServer.js'
import { Outbox, type Effect } from './effects.js'
import type { AttemptEvent, Event, ProbedEvent, ReceivedEvent } from './events.js'
import { Invariants, type InvariantReporter } from './invariants.js'
import type { AddressBook } from './members/addressBook.js'
import { Joining, type PeerAddress } from './members/joining.js'
import type { Member, MemberUpdate, Phase } from './members/member.js'
import type { GrantedMessage, PeerMessage, PeerState, PeerStateQuery } from './members/peerMessages.js'
import { Registration } from './members/registration.js'
import { Roles } from './members/roles.js'
import { Roster } from './members/roster.js'
import { Rollouts, type RolloutSettings } from './rollouts/rollouts.js'
import { WarmUp } from './members/warmUp.js'
import { Cells } from './placement/cells.js'
import { UNUSED_REPORT } from './placement/placementRequest.js'
import { SchedulerHost, type Tolerances } from './placement/schedulerHost.js'
import { ServerHolds } from './placement/serverHolds.js'
import { ServerLimits } from './placement/serverLimits.js'
import { ServerStatements } from './placement/serverStatements.js'
import { shuffled, type Random } from './random.js'
import { CellSelector } from './requests/cellSelector.js'
import { PlannedStop } from './requests/plannedStop.js'
import { RequestHandler } from './requests/requestHandler.js'
import { SchedulerClient } from './requests/schedulerClient.js'
import { RowApplier } from './store/rowApplier.js'
import type { RowReader } from './store/rowReader.js'
import { StoreWatch } from './store/storeWatch.js'

/** The part of an entry's member record that does not change while it runs. */
export type EntryIdentity = Omit<Member, 'phase' | 'reachesStore' | 'isWarm' | 'sequence'>

export interface EntryOptions {
  identity: EntryIdentity
  /** Addresses of the entries through which new entries join. */
  seeds: PeerAddress[]
  /** Whether the whole cluster starts for the first time; false by default. */
  isFirstStart?: boolean
  /** How long the process has been running, in milliseconds; 0 by default. */
  upMs?: number
  tolerances: Tolerances
  reader: RowReader
  random: Random
  watcher: InvariantReporter
  /** How long servers have to renew registrations that expired during a store outage, in milliseconds. */
  lapseMs: number
  /** How long a stopping entry still accepts requests from callers that have cached its address, in milliseconds. */
  lingerMs: number
  /** How long after the start of a stop requests may stay open, in milliseconds; unlimited by default. */
  stopLimitMs?: number
  /** Absent where no roll-outs are ordered, so that software versions of servers do not matter. */
  rollouts?: RolloutSettings
}

/** Time between ticks while a request waits for a server. */
const WAITING_TICK_MS = 5
const MIN_TICK_MS = 2
/** Longest time between ticks while this entry starts and warms up, runs schedulers, probes unreachable servers or counts for customers. */
const MAX_ACTIVE_TICK_MS = 20
/** Longest time between ticks, and so the granularity of periodic work that has no due time of its own. */
const MAX_TICK_MS = 100

/** A gap this long between events means that this process was paused, since ticks come far more often. */
const MIN_PAUSE_MS = 500
/** Maximum number of addresses in one answer to a caller. */
const MAX_ADDRESSES = 64

/** Connects the parts of the core and passes each event to the part that handles it. */
export class EntryCore {
  readonly invariants: Invariants
  readonly declarations: Declarations
  readonly catalog: Catalog
  readonly roster: Roster
  readonly roles: Roles
  readonly replication: StoreWatch
  readonly host: SchedulerHost
  readonly requests: RequestHandler
  readonly cells: Cells
  readonly holds: ServerHolds
  readonly limits: ServerLimits
  readonly weightedPicker: WeightedPicker
  readonly plannedStop: PlannedStop
  readonly rollouts: Rollouts
  readonly quotas: Quotas
  private readonly _options: EntryOptions
  private readonly _outbox = new Outbox()
  private readonly _joining: Joining
  private readonly _rowApplier: RowApplier
  private readonly _registration: Registration
  private readonly _schedulerClient: SchedulerClient
  private readonly _statements: ServerStatements
  private readonly _warmUp = new WarmUp(MAX_ACTIVE_TICK_MS)
  private _now = 0
  private _hasExited = false
  private _callerPortIsOpen = true

  constructor (options: EntryOptions) {
    this._options = options
    const outbox = this._outbox
    const { random, identity, seeds } = options
    this.invariants = new Invariants(options.watcher)
    this.plannedStop = new PlannedStop(options)
    this.declarations = new Declarations(this.invariants)
    this.catalog = new Catalog({
      lapseMs: options.lapseMs, isDeclared: (service) => this.declarations.service(service) !== undefined
    })
    this.weightedPicker = new WeightedPicker(random)
    this.roster = new Roster({
      self: { ...identity, phase: 'starting', reachesStore: true, isWarm: false, sequence: 1 },
      isFirstStart: options.isFirstStart,
      random,
      send: (to, message) => outbox.send(to, message),
      changed: () => this.roles.invalidate(),
      standingChanged: (update) => this._memberUpdated(update),
      entriesExpected: (entryCount, now) => this._expectEntries(entryCount, now)
    })
    this.roles = new Roles(this.roster)
    const { roster, roles, declarations, catalog, invariants } = this
    const cells = new Cells({
      catalog, declarations, hasUsableVersion: (server) => this.rollouts.standingOf(server, this._now) !== 'excluded'
    })
    this.cells = cells
    this.rollouts = new Rollouts({
      settings: options.rollouts,
      catalog,
      cells,
      declarations,
      roster,
      roles,
      outbox,
      confirmedAt: () => this.replication.replicaOf('rollouts').confirmedAt,
      isRunningOn: (service, versions) => this.requests.isRunningOn(service, versions),
      serversChanged: (services, now) => this._serversChanged(services, now)
    })
    const { rollouts } = this
    this._rowApplier = new RowApplier({
      reader: options.reader,
      declarations,
      catalog,
      outbox,
      rollouts,
      serversChanged: (services, now) => this._serversChanged(services, now)
    })
    this.replication = new StoreWatch({
      roster,
      roles,
      outbox,
      random,
      isSeed: seeds.length === 0 || seeds.some(({ host, port }) => host === identity.host && port === identity.peerPort),
      followsOptionalTables: () => rollouts.areFollowed,
      rowsChanged: (changes, now) => this._rowApplier.apply(changes, now),
      storeRecovered: (at) => catalog.storeRecovered(at),
      outageRefuted: (now) => catalog.outageRefuted(now)
    })
    this._registration = new Registration({ roster, roles, outbox, random })
    this._joining = new Joining({ roster, seeds, outbox, random, isFirstStart: options.isFirstStart })
    const holds = new ServerHolds({ catalog, random })
    this.holds = holds
    const limits = new ServerLimits({ catalog: this.catalog, outbox })
    this.limits = limits
    this._statements = new ServerStatements({
      catalog,
      cells,
      holds,
      limits,
      outbox,
      roles,
      roster,
      serversChanged: (services, now) => this._serversChanged(services, now)
    })
    const { tolerances } = options
    this.host = new SchedulerHost({ cells, random, declarations, roster, roles, outbox, tolerances, holds, limits, rollouts })
    this._schedulerClient = new SchedulerClient({
      roster,
      roles,
      host: this.host,
      outbox,
      random,
      heldServers: (service, now) => holds.heldOf(service, now),
      connectedServers: (service, now) => this.requests.connectedServers(service, now),
      removedMs: (server, now) => catalog.removedMs(server, now),
      limitsOf: (service, cell, now) => limits.ofAll(cells.usable(service, cell), now),
      timedOut: (schedulerRequest, now) => this.requests.schedulerTimedOut(schedulerRequest, now)
    })
    this.quotas = new Quotas({
      declarations,
      roster,
      roles,
      outbox,
      upMs: options.upMs ?? 0,
      isOnlySeed: seeds.every(({ host, port }) => host === identity.host && port === identity.peerPort)
    })
    const cellSelector = new CellSelector({ cells, roster, random })
    this.requests = new RequestHandler({
      declarations,
      roster,
      host: this.host,
      schedulerClient: this._schedulerClient,
      outbox,
      invariants,
      cellSelector,
      holds,
      limits,
      plannedStop: this.plannedStop,
      rollouts,
      quotas: this.quotas,
      unfitness: (server) => this._unfitness(server)
    })
    this.host.connect(this.requests)
    this.quotas.connect(this.requests)
  }

  /** Handles one event and returns the resulting effects. An earlier time than the last one counts as the last one. */
  handle (event: Event, now: number): Effect[] {
    if (this._now > 0 && now - this._now > MIN_PAUSE_MS) this._processResumed(now)
    this._now = Math.max(this._now, now)
    this._handleEvent(event, this._now)
    if (this.phase === 'starting' && this._callerPortIsOpen && this._isUpToDate) this._enterPhase('ready', this._now)
    return this._outbox.take()
  }

  /** Returns the effects that were decided before `handle` threw. */
  takeEffects (): Effect[] {
    return this._outbox.take()
  }

  get phase (): Phase {
    return this.roster.self.phase
  }

  /** Time until the core needs the next tick, in milliseconds. */
  pauseMs (now: number): number {
    if (this.requests.waiting || this.host.busy) return WAITING_TICK_MS
    const isActive = !this.roster.self.isWarm || this.host.isActive(now) || this.quotas.isHolding(now)
    const maxTickMs = isActive ? MAX_ACTIVE_TICK_MS : MAX_TICK_MS
    const dueAt = Math.min(this.requests.dueAt, this.roster.dueAt, this.replication.dueAt, this._closeDueAt, now + maxTickMs)
    return Math.max(MIN_TICK_MS, dueAt - now)
  }

  /** Whether this entry still accepts requests. */
  acceptsRequests (now: number): boolean {
    return this.plannedStop.accepts(now)
  }

  /** Returns the entries that callers may use. If there are more than one answer holds, those of the given zone come first. */
  addressesFor (zone: string | undefined): Member[] {
    const ready = this.roster.alive.filter((member) => member.phase === 'ready')
    if (ready.length <= MAX_ADDRESSES) return ready
    const sameZone = ready.filter((member) => member.zone === zone)
    const otherZones = ready.filter((member) => member.zone !== zone)
    return [...shuffled(sameZone, this._options.random), ...shuffled(otherZones, this._options.random)].slice(0, MAX_ADDRESSES)
  }

  /** Returns the rows of the store's tables that another entry does not have yet. */
  stateFor (query: PeerStateQuery, now: number): PeerState {
    return this.replication.stateFor(query, now)
  }

  /** The query for the rows that this entry does not have yet. */
  get stateQuery (): PeerStateQuery {
    return this.replication.query
  }

  /** Whether this entry knows what the store holds, so that it can work for the others even if callers cannot reach it. */
  private get _isUpToDate (): boolean {
    return this.replication.hasAllTables && this.declarations.gateway !== undefined
  }

  /** Whether a request that still waits for a connection to a server may be sent there. */
  mayUse (server: RegisteredServer): boolean {
    const mayUseZone = this.declarations.zoneIsIn(server.zone)
    return mayUseZone && this._unfitness(server) === undefined && !this.holds.isHeld(server, this._now)
  }

  private _unfitness (server: RegisteredServer): Unfitness | undefined {
    return this.catalog.unfitness(server, this.replication.replicaOf('servers').position)
  }

  private _handleEvent (event: Event, now: number): void {
    switch (event.kind) {
      case 'tick': return this._tick(now)
      case 'request-arrived': return this.requests.requestArrived(event.request, now)
      case 'caller-left': return this.requests.callerLeft(event.request, now)
      case 'attempt-ended': return this._attemptEnded(event, now)
      case 'attempt-streaming': return this.requests.streamingStarted(event.attempt, now)
      case 'probed': return this._probed(event, now)
      case 'server-stated': return this._statements.stated(event, now)
      case 'received': return this._received(event, now)
      case 'pulled': return event.state && this.replication.pulled(event.state, now)
      case 'table-read': return this.replication.tableRead(event.table, event.reading, now)
      case 'entries-found': return this._entriesFound(event.book, now)
      case 'caller-port': return this._callerPortChanged(event.isOpen, now)
      case 'rollout-written': return this.rollouts.written(event.service, event.isDone, now)
      case 'stop': return this._stop(now)
    }
  }

  private _tick (now: number): void {
    this.roster.tick(now)
    this._joining.tick(now)
    this.replication.tick(now)
    this._rowApplier.tick(now)
    this._expire(now)
    this.requests.tick(now)
    this.quotas.tick(now)
    this._schedulerClient.tick(now)
    this.host.tick(now)
    this._statements.tick(now)
    const mayLead = this.phase !== 'leaving' && this._isUpToDate
    this._registration.tick(mayLead, now)
    this.rollouts.tick(mayLead && this.roles.leaderRank === 0, now)
    if (this.phase === 'ready' && !this.roster.self.isWarm && this._warmUp.ran(now)) this._announceWarm(now)
    this._exitIfIdle(now)
  }

  private _enterPhase (phase: Phase, now: number): void {
    this.roster.announce({ phase }, now)
    this._outbox.log({ decision: 'phase', reason: phase, revision: this.declarations.revision, count: this.catalog.size })
  }

  private _announceWarm (now: number): void {
    this.roster.announce({ isWarm: true }, now)
    this._outbox.log({ decision: 'warm' })
  }

  private _expire (now: number): void {
    const changedServices = this.catalog.expire(now)
    if (changedServices.size > 0) this._serversChanged(changedServices, now)
  }

  private _serversChanged (services: Iterable<string> | undefined, now: number): void {
    if (services === undefined) this.rollouts.versions.invalidate()
    else for (const service of services) this.rollouts.versions.invalidate(service)
    this.host.serversChanged(services, now)
  }

  /** Handles the end of a pause of this process, which may have missed changes. */
  private _processResumed (now: number): void {
    this.requests.processResumed(now)
    this.replication.processResumed(now)
    this.rollouts.versions.processResumed(now)
  }

  private _attemptEnded ({ attempt, report, status }: AttemptEvent, now: number): void {
    this.requests.attemptEnded(attempt, report, status, now)
  }

  private _probed ({ server, service, answer, moved }: ProbedEvent, now: number): void {
    if (moved) this._outbox.log({ decision: 'server-moved', server, service })
    this.host.probed(service, server, moved ? undefined : answer, now)
  }

  private _received ({ from, incarnation, message }: ReceivedEvent, now: number): void {
    const member = this.roster.received(from, incarnation, message, now)
    if (member) this._deliver(member, message, now)
  }

  private _deliver (from: Member, message: PeerMessage, now: number): void {
    switch (message.kind) {
      case 'watch-beat': return this.replication.heartbeatReceived(from, message, now)
      case 'rows': return this.replication.received(from, message, now)
      case 'place': return this.host.place(from, message, now)
      case 'withdraw': return this.host.withdraw(from.instance, message, now)
      case 'waiting': return this.host.receiveWaiting(from, message, now)
      case 'report': return this.host.report(from.instance, message, now)
      case 'cell-load': return this.host.receiveCellLoad(message, now)
      case 'granted': return this._granted(from, message, now)
      case 'refused':
        if (this._schedulerClient.settled(from.instance, message.ask, now)) this.requests.refused(message.ask, message, now)
        return
      case 'queued': return this._schedulerClient.queued(from.instance, message.asks, now)
      case 'unknown': return this._schedulerClient.unknown(from.instance, message.asks, now)
      case 'server-leaving': return this._statements.reported(from.instance, message, now)
      case 'quota-ask':
      case 'quota-answer':
      case 'quota-refund':
      case 'quota-collect':
      case 'quota-lend':
      case 'quota-return':
      case 'quota-claim':
      case 'quota-handover':
        return this.quotas.received(from, message, now)
      case 'rollout-report': return this.rollouts.reported(from, message, now)
      case 'rollout-verdict': return this.rollouts.judged(message, now)
    }
  }

  private _granted (from: Member, message: GrantedMessage, now: number): void {
    const { ask, server } = message
    if (this._schedulerClient.settled(from.instance, ask, now)) return this.requests.granted(ask, message, now)
    if (this.requests.usesGrant(from.instance, ask)) return
    this._outbox.send(from, { kind: 'report', ask, cell: this.cells.cellOf(server), route: '', server: server.id, report: UNUSED_REPORT })
  }

  private _memberUpdated ({ member, standing }: MemberUpdate): void {
    this._outbox.log({ decision: 'member', instance: member.instance, standing, reason: member.phase })
  }

  /** Handles the entries that the store names: those that ran before this one started, or those that a leader has registered. */
  private _entriesFound (book: AddressBook, now: number): void {
    const { isLeader } = this._registration
    this.roster.fleet.report({ count: book.fleetCount ?? book.entryCount, ageMs: 0 }, now)
    if (isLeader) this._registration.check(book, now)
    else if (book.entryCount > 0) this._expectEntries(book.entryCount, now)
    if (!isLeader || !this._registration.namesSelf(book)) this._joining.entriesFound(book.addresses)
  }

  /** While this entry starts, prepares for the case that all entries start at the same time. */
  private _expectEntries (entryCount: number, now: number): void {
    if (this.phase !== 'starting') return
    this._outbox.log({ decision: 'entries-found', count: entryCount })
    this.roster.expected.expect(entryCount, now)
    this.replication.entriesExpected(entryCount, now)
  }

  private _callerPortChanged (isOpen: boolean, now: number): void {
    this._callerPortIsOpen = isOpen
    if (!isOpen && this.phase === 'ready') this._enterPhase('starting', now)
  }

  private _stop (now: number): void {
    if (!this.plannedStop.begin(now)) return
    this._enterPhase('leaving', now)
    this.requests.stopBegan(now)
  }

  /** Time at which the end of a stop is due, while there is something to end. */
  private get _closeDueAt (): number {
    return this._hasExited && this.requests.open === 0 ? Infinity : this.plannedStop.closesAt
  }

  private _exitIfIdle (now: number): void {
    const { startedAt, closesAt } = this.plannedStop
    if (startedAt === undefined) return
    if (now >= closesAt) this.requests.closeAll(now)
    else if (this.acceptsRequests(now) || this.requests.open > 0 || this.host.busy) return
    if (this._hasExited) return
    this._hasExited = true
    this._outbox.log({ decision: 'left', tookMs: Math.round(now - startedAt) })
    this._outbox.put({ kind: 'left' })
  }
}
