/** Keeps the replicas of the store's tables current: one or two entries read changes from the store and broadcast them to all others. */
import type { Outbox } from '../effects.js'
import type { Member } from '../members/member.js'
import type { PeerState, PeerStateQuery, RowsMessage, ReplicaStatus, ReplicaState, LeaderHeartbeat } from '../members/peerMessages.js'
import type { Roles } from '../members/roles.js'
import type { Roster } from '../members/roster.js'
import type { Random } from '../random.js'
import { ChangePublisher } from './changePublisher.js'
import { isLater, type Position } from '../position.js'
import { Replica } from './replica.js'
import { ReplicaPull } from './replicaPull.js'
import { OPTIONAL_TABLES, TABLES, type StoredRow, type TableName } from './row.js'
import { StoreAccess } from './storeAccess.js'
import { StoreOutage, type OutageReport } from './storeOutage.js'

/** The result of reading a table from the store. */
export type TableReadResult =
  | { kind: 'whole', rows: StoredRow[], version: number, era?: number }
  | { kind: 'changes', rows: StoredRow[], from: number, version: number, era?: number }
  /** The store no longer has all the requested changes. */
  | { kind: 'history-lost', era?: number }
  /** `isRefusal`: a new connection failed or got no answer, or the store refused the call. */
  | { kind: 'unavailable', reason: string, isRefusal?: boolean }

export interface StoreWatchOptions {
  roster: Roster
  roles: Roles
  outbox: Outbox
  random: Random
  /** Whether other entries join the cluster through this entry. Such an entry reads the store without waiting for replicas from others. */
  isSeed: boolean
  /** Whether the optional tables are followed at present. */
  followsOptionalTables: () => boolean
  /** Called with the changed rows of a table. */
  rowsChanged: (changes: ChangedRows, now: number) => void
  /** Called when the store is known to have come back from an outage at a time. */
  storeRecovered: (at: number) => void
  /** Called when the store turns out to have been reachable during what was taken for an outage. */
  outageRefuted: (now: number) => void
}

/** Changed rows of a table. */
export interface ChangedRows {
  table: TableName
  rows: readonly StoredRow[]
  /** Era of the store that the rows come from. */
  era: number
  /** Whether the store was restored from a copy, so that rows which are missing there may be written again. */
  isRestored: boolean
}

/** Replica of one table and the state of its reads from the store. */
interface TableReader {
  replica: Replica
  reading: boolean
  startedAt: number
  waitMs: number
  /** How long the last answer without changes took, less the requested wait. */
  latencyMs: number
  nextReadAt: number
  failures: number
  needsFullRead: boolean
  /** A later era that one answer of the store has stated. Its rows are used once a second answer confirms it. */
  statedEra?: number
}

/** A store that is merely slow answers sooner; one that was away answers calls that were sent to it meanwhile. */
const LATE_ANSWER_MS = 300
/** Pause after an answer with changes, so that changes which follow shortly are read together. */
const CHANGE_BATCH_PAUSE_MS = 60
/** Consecutive failures after which this entry reports the store as unreachable. */
const FAILURES_BEFORE_UNREACHABLE = 2
/**
 * Number of entries, on average, that read the store at once after a start of all entries. The others wait for the replicas of these,
 * which takes longer but limits the calls to the store in a cluster of hundreds.
 */
const MAX_INITIAL_READERS = 24
/** An entry reports a read after this time, so that one heartbeat covers both tables and follows the changes that it refers to. */
const REPORT_DELAY_MS = { leader: 20, other: 80 }
/** Time within which the registered entries answer if they are running: several round trips between zones. */
const READY_ENTRY_WAIT_MS = 15

/** Reads the store, or receives changes from the entries that read it. */
export class StoreWatch {
  private readonly _options: StoreWatchOptions
  private readonly _access: StoreAccess
  private readonly _publisher: ChangePublisher
  private readonly _pull: ReplicaPull
  private readonly _outage: StoreOutage
  private readonly _readers = new Map<TableName, TableReader>()
  private _startedAt: number | undefined
  private _nextHeartbeatAt = 0
  /** When the next heartbeat is due because of a read of this entry. */
  private _reportDueAt = Infinity
  /** Time from which this entry, without replicas, reads the store as long as no ready entry is known; drawn once. */
  private _initialReadAt: number | undefined
  private _wasComplete = false

  constructor (options: StoreWatchOptions) {
    this._options = options
    const { roster, roles, outbox, random } = options
    this._access = new StoreAccess({ roster, roles })
    this._publisher = new ChangePublisher({ roster, outbox, random })
    this._pull = new ReplicaPull({ roster, outbox, random })
    this._outage = new StoreOutage({
      roles, outageAgeMs: () => this._access.timing.outageAgeMs, recovered: options.storeRecovered, refuted: options.outageRefuted
    })
    for (const table of TABLES) {
      this._readers.set(table, {
        replica: new Replica(), reading: false, startedAt: 0, waitMs: 0, latencyMs: 0, nextReadAt: 0, failures: 0, needsFullRead: true
      })
    }
  }

  /** Whether there is a replica of every table. */
  get hasAllTables (): boolean {
    for (const [table, { replica }] of this._readers) {
      // An entry that is serving already goes on while it reads the first rows of an optional table.
      if (OPTIONAL_TABLES.has(table) && (this._wasComplete || !this._options.followsOptionalTables())) continue
      if (replica.version === undefined) return false
    }
    return true
  }

  replicaOf (table: TableName): Replica {
    return this._readers.get(table)!.replica
  }

  /** Time since the least recently confirmed replica was known to match the store. */
  maxAgeMs (now: number): number {
    let age = 0
    for (const [table, { replica }] of this._readers) {
      if (this._isFollowed(table)) age = Math.max(age, now - replica.confirmedAt)
    }
    return age
  }

  /** Time at which the next message to other entries is due. */
  get dueAt (): number {
    return Math.min(this.hasAllTables ? this._reportDueAt : Infinity, this._publisher.dueAt)
  }

  tick (now: number): void {
    this._startedAt ??= now
    for (const [table, reader] of this._readers) {
      const isIdle = !reader.reading && now >= reader.nextReadAt
      if (isIdle && this._isFollowed(table) && this._isReadDue(table, reader, now)) this._read(table, reader, now)
    }
    if (this.hasAllTables) this._wasComplete = true
    this._publisher.tick(now)
    if (!this.hasAllTables) this._pull.pullFromAny(now)
    else if (now >= this._reportDueAt || (now >= this._nextHeartbeatAt && this._isLeader)) this._sendHeartbeat(now)
  }

  /** Handles the end of a pause of this process. */
  processResumed (now: number): void {
    this._outage.processResumed(now)
  }

  /** Handles the number of entries that were running before this one started. */
  entriesExpected (entryCount: number, now: number): void {
    this._initialReadAt ??= this._options.random.next() * entryCount < MAX_INITIAL_READERS ? now + READY_ENTRY_WAIT_MS : Infinity
  }

  /** Handles the result of reading a table from the store. */
  tableRead (table: TableName, result: TableReadResult, now: number): void {
    const reader = this._readers.get(table)!
    reader.reading = false
    if (result.kind === 'unavailable') {
      if (result.isRefusal) this._outage.refused(reader.startedAt)
      return this._readFailed(table, reader, result.reason, now)
    }
    const { era = reader.replica.era } = result
    if (reader.replica.version !== undefined && era < reader.replica.era) return this._readFailed(table, reader, 'older era', now)
    // Connections that were open before are closed after a time-out, so this answer came late on a new one.
    if (reader.failures > 0 && now - reader.startedAt > reader.waitMs + LATE_ANSWER_MS) this._outage.refused(reader.startedAt)
    this._outage.answered(now)
    this._readSucceeded(table, reader, now)
    this._access.readSucceeded()
    if (this._isFirstOfEra(reader, result.kind, era)) return this._eraStated(table, era, now)
    if (result.kind === 'history-lost') {
      this._options.outbox.log({ decision: 'store-history-lost', table, version: reader.replica.version })
      reader.needsFullRead = true
      return
    }
    reader.statedEra = undefined
    const before = reader.replica.position
    const changed = result.kind === 'whole'
      ? this._replaceRows(table, reader, result.rows, { era, version: result.version }, now)
      : this._mergeRows(table, result.rows, result.from, { era, version: result.version }, now, now)
    reader.needsFullRead = reader.replica.version === undefined
    if (changed.length > 0) {
      reader.nextReadAt = now + CHANGE_BATCH_PAUSE_MS
      const changes = { table, from: before?.version ?? 0, to: reader.replica.version!, era, rows: changed, ...this._outage.report(now) }
      // Other entries cannot merge changes across eras. The next heartbeat makes them pull the rows of a new one.
      if (before?.era === era) this._publisher.publish(changes, this._access.isStandby, now)
    } else {
      reader.latencyMs = Math.max(0, now - reader.startedAt - reader.waitMs)
    }
    this._reportDueAt = Math.min(this._reportDueAt, now + (this._isLeader ? REPORT_DELAY_MS.leader : REPORT_DELAY_MS.other))
  }

  /** Handles a heartbeat, in which another entry reports the versions and ages of its replicas. */
  heartbeatReceived (from: Member, heartbeat: LeaderHeartbeat, now: number): void {
    this._publisher.relay(heartbeat)
    this._outageReported(heartbeat.tables, heartbeat, now)
    let behind = false
    const isCurrent = heartbeat.tables.every(({ table, era = 0, ageMs }) => {
      return ageMs < this._access.timing.takeoverAgeMs && era >= this.replicaOf(table).era
    })
    if (isCurrent && heartbeat.reader !== undefined) this._access.confirmedBy(heartbeat.reader)
    for (const { table, version, changedAt = version, era = 0, ageMs } of heartbeat.tables) {
      const { replica } = this._readers.get(table)!
      if (!replica.position || isLater({ era, version: changedAt }, replica.position)) behind = true
      else if (era === replica.era && replica.version! <= version) {
        this._mergeRows(table, [], changedAt, { era, version }, now - ageMs, now)
      }
    }
    if (behind) this._pull.pull(from, now)
  }

  /** Handles changed rows that another entry broadcast. */
  received (from: Member, message: RowsMessage, now: number): void {
    this._publisher.relay(message)
    const { table, rows, to, era = 0, ageMs } = message
    this._outageReported([message], message, now)
    const { replica } = this._readers.get(table)!
    if (!replica.position || isLater({ era, version: message.from }, replica.position)) return this._pull.pull(from, now)
    this._mergeRows(table, rows, message.from, { era, version: to }, now - ageMs, now)
  }

  /** Handles the replicas, or the changes to them, that another entry returned on request. */
  pulled (state: PeerState, now: number): void {
    this._pull.succeeded()
    this._outageReported(state.tables, state, now)
    for (const { table, from, version, era = 0, ageMs, rows } of state.tables) {
      const reader = this._readers.get(table)!
      if (from !== undefined) this._mergeRows(table, rows, from, { era, version }, now - ageMs, now)
      else this._replaceRows(table, reader, rows, { era, version }, now - ageMs, now)
      if (reader.replica.version !== undefined) reader.needsFullRead = false
    }
  }

  /** Returns the changes that the querying entry lacks, or complete tables where the changes are not known. */
  stateFor (query: PeerStateQuery, now: number): PeerState {
    const states: ReplicaState[] = []
    for (const [table, { replica }] of this._readers) {
      if (replica.version === undefined) continue
      const from = query.versions[table]
      const changes = from === undefined ? undefined : replica.changesSince({ era: query.eras?.[table], version: from })
      states.push({
        table,
        from: changes && from,
        version: replica.version,
        era: replica.era,
        ageMs: now - replica.confirmedAt,
        rows: changes ?? [...replica.rows.values()]
      })
    }
    return { tables: states, ...this._outage.report(now) }
  }

  /** The positions of this entry's replicas. */
  get query (): PeerStateQuery {
    const query: Required<PeerStateQuery> = { versions: {}, eras: {} }
    for (const [table, { replica }] of this._readers) {
      query.versions[table] = replica.version
      query.eras[table] = replica.era
    }
    return query
  }

  /** The latest era of the store that this entry has read or received. */
  get era (): number {
    let era = 0
    for (const { replica } of this._readers.values()) era = Math.max(era, replica.era)
    return era
  }

  private _isFollowed (table: TableName): boolean {
    return !OPTIONAL_TABLES.has(table) || this._options.followsOptionalTables()
  }

  private _isReadDue (table: TableName, reader: TableReader, now: number): boolean {
    if (this._waitsForFirstTable(table, reader)) return false
    if (reader.replica.version !== undefined) {
      return this._access.mayRead(now - reader.replica.confirmedAt, this.replicaOf('declarations').version)
    }
    if (OPTIONAL_TABLES.has(table)) return this._access.isFollower
    if (this._options.isSeed || this._access.mayReadInitially(now - this._startedAt!)) return true
    return this._initialReadAt !== undefined && now >= this._initialReadAt && this._pull.sources.length === 0
  }

  /** In a large cluster, only the first table is read to find out whether an unreachable store answers again, which saves calls. */
  private _waitsForFirstTable (table: TableName, reader: TableReader): boolean {
    if (!this._access.timing.retriesOneTable) return false
    const [first] = TABLES
    return table !== first && reader.failures > 0 && this._readers.get(first!)!.failures > 0
  }

  private _read (table: TableName, reader: TableReader, now: number): void {
    const after = reader.needsFullRead ? undefined : reader.replica.version
    reader.reading = true
    reader.startedAt = now
    const { version } = reader.replica
    if (version !== undefined && this._access.readBegan()) this._options.outbox.log({ decision: 'store-takeover', table, version })
    reader.waitMs = after === undefined ? 0 : this._access.waitMs(reader.latencyMs)
    this._options.outbox.put({ kind: 'read-table', table, after, waitMs: reader.waitMs })
  }

  private _readFailed (table: TableName, reader: TableReader, reason: string, now: number): void {
    reader.failures += 1
    this._access.readFailed()
    if (reader.failures === FAILURES_BEFORE_UNREACHABLE) this._options.outbox.log({ decision: 'store-lost', table, reason })
    reader.nextReadAt = now + this._access.pauseMs(reader.failures)
    if (reader.failures >= FAILURES_BEFORE_UNREACHABLE) this._options.roster.announce({ reachesStore: false }, now)
  }

  private _readSucceeded (table: TableName, reader: TableReader, now: number): void {
    if (reader.failures >= FAILURES_BEFORE_UNREACHABLE) this._options.outbox.log({ decision: 'store-regained', table })
    if (reader.failures > 0) {
      for (const other of this._readers.values()) other.nextReadAt = now
    }
    reader.failures = 0
    reader.nextReadAt = now
    this._options.roster.announce({ reachesStore: true }, now)
  }

  /** Whether an answer of the store states a later era for the first time, or does not hold all rows of it. */
  private _isFirstOfEra ({ replica, statedEra }: TableReader, kind: TableReadResult['kind'], era: number): boolean {
    return replica.version !== undefined && era > replica.era && (kind !== 'whole' || statedEra !== era)
  }

  /** Reads all tables again after an answer has stated a later era. */
  private _eraStated (table: TableName, era: number, now: number): void {
    this._options.outbox.log({ decision: 'store-restored', table, era, version: this.replicaOf(table).version })
    for (const reader of this._readers.values()) {
      if (reader.replica.version === undefined || reader.replica.era >= era) continue
      reader.statedEra = era
      reader.needsFullRead = true
      reader.nextReadAt = now
    }
  }

  private _replaceRows (table: TableName, reader: TableReader, rows: StoredRow[], to: Position, at: number, now = at): StoredRow[] {
    const { replica } = reader
    const isRestored = replica.version !== undefined && to.era! > replica.era
    const changed = replica.replace(rows, to, at)
    if (changed.length > 0) this._options.rowsChanged({ table, rows: changed, era: replica.era, isRestored }, now)
    return changed
  }

  private _mergeRows (table: TableName, rows: StoredRow[], from: number, to: Position, at: number, now: number): StoredRow[] {
    const { replica } = this._readers.get(table)!
    const merge = replica.merge(rows, from, to.version, at, to.era)
    if (merge.kind !== 'merged') return []
    if (merge.changed.length > 0) this._options.rowsChanged({ table, rows: merge.changed, era: replica.era, isRestored: false }, now)
    return merge.changed
  }

  /** Processes what another entry reports beside rows or positions. Those of an older era say nothing about the present store. */
  private _outageReported (tables: ReadonlyArray<Pick<ReplicaStatus, 'ageMs' | 'era'>>, report: OutageReport, now: number): void {
    const ages = tables.filter(({ era = 0 }) => era >= this.era).map(({ ageMs }) => ageMs)
    if (ages.length > 0) this._outage.reported(report, now - Math.min(...ages), now)
  }

  private get _isLeader (): boolean {
    return this._options.roles.leaderRank === 0
  }

  private _sendHeartbeat (now: number): void {
    const reader = now >= this._reportDueAt ? this._options.roster.self.instance : undefined
    this._reportDueAt = Infinity
    this._nextHeartbeatAt = now + this._access.timing.heartbeatPeriodMs
    const tables: ReplicaStatus[] = []
    for (const [table, { replica }] of this._readers) {
      const { version, changedAt, era, confirmedAt } = replica
      if (version !== undefined) tables.push({ table, version, changedAt, era, ageMs: Math.round(now - confirmedAt) })
    }
    this._publisher.sendHeartbeat(tables, reader, this._outage.report(now))
  }
}
