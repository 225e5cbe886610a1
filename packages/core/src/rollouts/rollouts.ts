/** Moves services to new software versions: applies orders and records, limits and watches trials, and reports to the deciding entry. */
import type { Declarations } from '../configuration/declarations.js'
import type { Catalog } from '../discovery/catalog.js'
import type { RegisteredServer } from '../discovery/registeredServer.js'
import type { Outbox } from '../effects.js'
import type { Member } from '../members/member.js'
import type { RolloutReportMessage, RolloutVerdictMessage } from '../members/peerMessages.js'
import type { Roles } from '../members/roles.js'
import type { Roster } from '../members/roster.js'
import type { Cells } from '../placement/cells.js'
import type { StoredRow } from '../store/row.js'
import { RolloutDecider } from './rolloutDecider.js'
import { decodeRecord, type RolloutOrder, type RolloutPhase, type StoredRecord } from './rolloutOrder.js'
import { ServiceVersions, type VersionStanding } from './serviceVersions.js'
import { VersionTrial, type ExposureLimit } from './versionTrial.js'

/** What a deployment that orders roll-outs settles. */
export interface RolloutSettings {
  /** Bounds of what a version gets until it has passed. */
  limit: ExposureLimit
  /** The time of day, in milliseconds since 1970. */
  timeOfDay: () => number
}

export interface RolloutsOptions {
  /** Absent if this deployment orders no roll-outs; versions of servers do not matter then. */
  settings?: RolloutSettings
  catalog: Catalog
  cells: Cells
  declarations: Declarations
  roster: Roster
  roles: Roles
  outbox: Outbox
  /** Time at which this entry's copy of the roll-out records was last known to match the store. */
  confirmedAt: () => number
  /** Whether an attempt of this entry is running on a server of the service with one of these versions. */
  isRunningOn: (service: string, versions: readonly string[]) => boolean
  serversChanged: (services: Iterable<string>, now: number) => void
}

/** The state of a roll-out for operators. */
export interface RolloutProgress {
  service: string
  /** Software version that takes over. */
  target: string
  /** Versions that were in service when it began. */
  former: string[]
  phase: RolloutPhase
  /** Requests of this entry's schedulers that reached servers of the service since it began, while it runs. */
  requests: number
  /** Of these, requests that were given to the target. */
  targetRequests: number
}

const REPORT_INTERVAL_MS = 500
/** Without an answer of the deciding entry for this long, a trial gives nothing to the target: nobody adds up its bad answers. */
const VERDICT_LIFETIME_MS = 3000
/** An entry that learns of a roll-out later than this may have taken over from one that has used its part of the slack. */
const MAX_NOTICE_MS = 3000

interface Trial {
  trial: VersionTrial
  /** When the deciding entry last let the trial go on. */
  allowedAt: number
}

/** The roll-outs of all services, as far as this entry takes part in them. */
export class Rollouts {
  readonly versions: ServiceVersions
  private readonly _options: RolloutsOptions
  private readonly _decider: RolloutDecider
  private readonly _trials = new Map<string, Trial>()
  private readonly _servicesByRow = new Map<string, string>()
  private _reportDueAt = 0
  private _wasConfirmed = true

  constructor (options: RolloutsOptions) {
    this._options = options
    this.versions = new ServiceVersions(options)
    this._decider = new RolloutDecider({ ...options, versions: this.versions, timeOfDay: () => options.settings?.timeOfDay() ?? 0 })
  }

  /** Whether the records of roll-outs have to be read. */
  get areFollowed (): boolean {
    return this._options.settings !== undefined && this.versions.areFollowed
  }

  /** What a server may get because of its version. */
  standingOf (server: RegisteredServer, now: number): VersionStanding {
    return this._options.settings === undefined ? 'in-service' : this.versions.standingOf(server, now)
  }

  /** The trial of a service, while one runs. */
  trialOf (service: string): VersionTrial | undefined {
    return this._trials.get(service)?.trial
  }

  /** The roll-outs that this entry knows. */
  progress (): RolloutProgress[] {
    const rollouts: RolloutProgress[] = []
    for (const service of this.versions.services) {
      const record = this.versions.record(service)
      if (!record) continue
      const { target, former, phase } = record
      const trial = this.trialOf(service)
      rollouts.push({ service, target, former, phase, requests: trial?.arrived ?? 0, targetRequests: trial?.given ?? 0 })
    }
    return rollouts
  }

  /** Applies the row of an order. */
  ordered (key: string, order: RolloutOrder, version: number, now: number): void {
    if (!this._options.settings) return
    this._servicesByRow.set(key, order.service)
    this.versions.placed({ ...order, version })
    const { service, target: softwareVersion } = order
    this._options.outbox.log({ decision: 'rollout-ordered', service, softwareVersion, leftMs: order.durationMs, version })
    this._options.serversChanged([service], now)
  }

  /** Applies the removal of a row, if it held an order. */
  withdrawn (key: string, version: number, now: number): void {
    const service = this._servicesByRow.get(key)
    if (service === undefined) return
    this._servicesByRow.delete(key)
    this.versions.withdrawn(service)
    this._options.outbox.log({ decision: 'rollout-withdrawn', service, version })
    this._options.serversChanged([service], now)
  }

  /** Applies changed records. */
  recorded (rows: readonly StoredRow[], now: number): void {
    for (const row of rows) {
      if (row.value === undefined) {
        this.versions.forget(row.key)
        continue
      }
      const record = decodeRecord(row)
      if (!record) {
        this._options.outbox.log({ decision: 'row-unreadable', table: 'rollouts', reason: row.key, version: row.version })
        continue
      }
      this.versions.recorded(record)
      this._options.outbox.log({
        decision: 'rollout-phase', service: record.service, softwareVersion: record.target, reason: record.phase, version: record.order
      })
      this._updateTrial(record)
      this._options.serversChanged([record.service], now)
    }
  }

  /** Processes the report of another entry, and answers whether the trial may go on. */
  reported (from: Member, message: RolloutReportMessage, now: number): void {
    const { service, order } = message
    const goesOn = this._decider.reported(from, message, now)
    this._options.outbox.send(from, { kind: 'rollout-verdict', service, order, goesOn })
  }

  /** Processes the answer of the deciding entry. */
  judged ({ service, order, goesOn }: RolloutVerdictMessage, now: number): void {
    const trial = this._trials.get(service)
    if (trial?.trial.order === order) trial.allowedAt = goesOn ? now : -Infinity
  }

  /** Processes the end of a write of this entry. */
  written (service: string, isDone: boolean, now: number): void {
    this._decider.written(service, isDone, now)
  }

  /** Runs periodic work; `decides` tells whether this entry is the change-feed leader with current copies of all tables. */
  tick (decides: boolean, now: number): void {
    if (!this.areFollowed) return
    this._decider.tick(decides, now)
    const isConfirmed = this.versions.isConfirmed(now)
    if (isConfirmed !== this._wasConfirmed) this._options.serversChanged(this.versions.services, now)
    this._wasConfirmed = isConfirmed
    if (now < this._reportDueAt) return
    this._reportDueAt = now + REPORT_INTERVAL_MS
    for (const service of this.versions.services) {
      const record = this.versions.running(service)
      if (record) this._report(record, now)
    }
  }

  private _report (record: StoredRecord, now: number): void {
    const { roles, roster, outbox, isRunningOn } = this._options
    const { service, order, phase, former } = record
    const trial = this._trials.get(service)?.trial
    const takesPart = phase === 'switching' || (trial !== undefined && (!trial.counts.isEmpty || this._scheduledFraction(service) > 0))
    const [decider] = roles.watchers
    if (!takesPart || !decider) return
    const settled = phase === 'switching' && !isRunningOn(service, former)
    const message: RolloutReportMessage = { kind: 'rollout-report', service, order, routes: trial?.counts.routes() ?? [], settled }
    if (decider.instance !== roster.self.instance) return outbox.send(decider, message)
    const goesOn = this._decider.reported(roster.self, message, now)
    this.judged({ kind: 'rollout-verdict', service, order, goesOn }, now)
  }

  /** Keeps the counts of a trial while its version takes over: it may still turn bad. */
  private _updateTrial (record: StoredRecord): void {
    const { service, order, target, phase } = record
    if (phase === 'completed' || phase === 'rolled-back') {
      this._trials.delete(service)
      return
    }
    if (this._trials.get(service)?.trial.order === order) return
    const { limit, timeOfDay } = this._options.settings!
    const isNew = timeOfDay() - record.startedAt < MAX_NOTICE_MS
    const state: Trial = {
      allowedAt: -Infinity,
      trial: new VersionTrial({
        order,
        limit,
        slackShare: isNew ? this._scheduledFraction(service) : 0,
        isTarget: (server) => server.softwareVersion === target,
        isLimited: () => this.versions.record(service)?.phase === 'trial',
        isOpen: (now) => now - state.allowedAt < VERDICT_LIFETIME_MS
      })
    }
    this._trials.set(service, state)
  }

  /** Fraction of the cells of a service that this entry schedules for all entries. */
  private _scheduledFraction (service: string): number {
    const { cells, roles, roster } = this._options
    const all = cells.of(service)
    let own = 0
    for (const { name } of all) if (roles.schedulersOf(name)[0]?.instance === roster.self.instance) own += 1
    return own / all.length
  }
}
