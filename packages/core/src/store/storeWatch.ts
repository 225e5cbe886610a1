/** Keeps the copies of the store's tables current: one entry watches the store and tells all others. */
import type { Outbox } from '../effects.js'
import type { Member } from '../members/member.js'
import type { PeerState, PeerStateQuery, RowsMessage, TableState, TableStanding, WatchBeat } from '../members/peerMessages.js'
import type { Roles } from '../members/roles.js'
import type { Roster } from '../members/roster.js'
import { fanOut } from './fanOut.js'
import { Replica } from './replica.js'
import { TABLES, type StoredRow, type TableName } from './row.js'

/** What a reading of a table brought. */
export type TableReading =
  | { kind: 'whole', rows: StoredRow[], version: number }
  | { kind: 'changes', rows: StoredRow[], from: number, version: number }
  /** The store does not remember the changes that were asked for. */
  | { kind: 'history-lost' }
  | { kind: 'unavailable', reason: string }

/** What the watch is built from. */
export interface StoreWatchOptions {
  roster: Roster
  roles: Roles
  outbox: Outbox
  /** Whether this entry is one that others join through: it does not wait for them. */
  isSeed: boolean
  /** Rows of a table have changed. */
  changed: (table: TableName, rows: StoredRow[], now: number) => void
  /** The store was out of reach for a while and no longer is. */
  returned: (now: number) => void
}

interface Reader {
  replica: Replica
  reading: boolean
  nextAt: number
  failures: number
  wantsWhole: boolean
}

/** How long the store holds back an answer while nothing changes, in milliseconds. */
const WAIT_MS = 700
/** Pause after an answer with changes, so that those that come together are read together. */
const GATHER_MS = 60
/** How often the watcher tells how current its copies are. */
const BEAT_MS = 250
/** Age of its copies after which an entry stops relying on the watcher, and what each later rank adds. */
const TAKEOVER_MS = 1000
const TAKEOVER_STEP_MS = 60
const MOST_STEPS = 8
/** How long an entry that starts waits for the state of others before it reads the store by itself. */
const JOIN_MS = 900
const FIRST_PAUSE_MS = 80
const LONGEST_PAUSE_MS = 800
/** Entries that look whether the store is back, and how often the others do. */
const LOOKERS = 3
const SELDOM_MS = 2500
const FAILURES_TO_TELL = 2
/** Copies that were older than this had lost touch with the store. */
const LOST_TOUCH_MS = 2000
const PULL_PAUSE_MS = 150

/** Reads the store or listens to the entry that does. */
export class StoreWatch {
  private readonly _options: StoreWatchOptions
  private readonly _readers = new Map<TableName, Reader>()
  private _startedAt: number | undefined
  private _nextBeatAt = 0
  private _nextPullAt = 0

  constructor (options: StoreWatchOptions) {
    this._options = options
    for (const table of TABLES) {
      this._readers.set(table, { replica: new Replica(), reading: false, nextAt: 0, failures: 0, wantsWhole: true })
    }
  }

  /** Whether every table was read. */
  get complete (): boolean {
    for (const { replica } of this._readers.values()) if (replica.version === undefined) return false
    return true
  }

  replicaOf (table: TableName): Replica {
    return this._readers.get(table)!.replica
  }

  /** Age of the oldest copy, in milliseconds. */
  age (now: number): number {
    let age = 0
    for (const { replica } of this._readers.values()) age = Math.max(age, now - replica.confirmedAt)
    return age
  }

  tick (now: number): void {
    this._startedAt ??= now
    for (const [table, reader] of this._readers) {
      if (!reader.reading && now >= reader.nextAt && this._isDue(reader, now)) this._read(table, reader)
    }
    if (now >= this._nextBeatAt && this._options.roles.watcherRank === 0 && this.complete) this._beat(now)
  }

  /** A reading of the store ended. */
  wasRead (table: TableName, reading: TableReading, now: number): void {
    const reader = this._readers.get(table)!
    reader.reading = false
    if (reading.kind === 'unavailable') return this._failed(table, reader, reading.reason, now)
    this._reached(table, reader, now)
    if (reading.kind === 'history-lost') {
      this._options.outbox.log({ decision: 'store-history-lost', table, version: reader.replica.version })
      reader.wantsWhole = true
      return
    }
    const before = reader.replica.version
    const changed = reading.kind === 'whole'
      ? this._replace(table, reader, reading.rows, reading.version, now)
      : this._confirm(table, reading.rows, reading.from, reading.version, now, now)
    reader.wantsWhole = reader.replica.version === undefined
    if (changed.length > 0) {
      reader.nextAt = now + GATHER_MS
      this._tellRows(table, reader.replica, before, changed)
    }
    if (this._options.roles.watcherRank !== 0) this._beat(now)
  }

  /** The watcher told how current its copies are. */
  beaten (from: Member, beat: WatchBeat, now: number): void {
    this._relay(beat)
    let behind = false
    for (const { table, version, ageMs } of beat.tables) {
      const { replica } = this._readers.get(table)!
      if (replica.version === version) this._confirm(table, [], version, version, now - ageMs, now)
      else if (replica.version === undefined || version > replica.version) behind = true
    }
    if (behind) this._pull(from, now)
  }

  /** Changed rows came from another entry. */
  received (from: Member, message: RowsMessage, now: number): void {
    this._relay(message)
    const { table, rows, to, ageMs } = message
    const { replica } = this._readers.get(table)!
    if (replica.version === undefined || message.from > replica.version) return this._pull(from, now)
    this._confirm(table, rows, message.from, to, now - ageMs, now)
  }

  /** Another entry's state came. */
  pulled (state: PeerState, now: number): void {
    for (const { table, from, version, ageMs, rows } of state.tables) {
      const reader = this._readers.get(table)!
      if (from !== undefined) this._confirm(table, rows, from, version, now - ageMs, now)
      else this._replace(table, reader, rows, version, now - ageMs, now)
      if (reader.replica.version !== undefined) reader.wantsWhole = false
    }
  }

  /** What another entry lacks. */
  stateFor (query: PeerStateQuery, now: number): TableState[] {
    const states: TableState[] = []
    for (const [table, { replica }] of this._readers) {
      if (replica.version === undefined) continue
      const from = query.versions[table]
      const changes = from === undefined ? undefined : replica.since(from)
      states.push({
        table,
        from: changes && from,
        version: replica.version,
        ageMs: now - replica.confirmedAt,
        rows: changes ?? [...replica.rows.values()]
      })
    }
    return states
  }

  /** The versions that this entry has. */
  get versions (): PeerStateQuery['versions'] {
    const versions: PeerStateQuery['versions'] = {}
    for (const [table, { replica }] of this._readers) versions[table] = replica.version
    return versions
  }

  private _isDue (reader: Reader, now: number): boolean {
    const { roles, isSeed } = this._options
    const rank = Math.max(0, roles.watcherRank)
    const stepsMs = Math.min(rank, MOST_STEPS) * TAKEOVER_STEP_MS
    if (reader.replica.version === undefined) return isSeed || now - this._startedAt! > JOIN_MS + stepsMs
    return rank === 0 || now - reader.replica.confirmedAt > TAKEOVER_MS + stepsMs
  }

  private _read (table: TableName, reader: Reader): void {
    reader.reading = true
    const after = reader.wantsWhole ? undefined : reader.replica.version
    const waitMs = this._options.roles.watcherRank === 0 ? WAIT_MS : 0
    this._options.outbox.put({ kind: 'read-table', table, after, waitMs })
  }

  private _failed (table: TableName, reader: Reader, reason: string, now: number): void {
    reader.failures += 1
    if (reader.failures === FAILURES_TO_TELL) this._options.outbox.log({ decision: 'store-lost', table, reason })
    const rank = this._options.roles.watcherRank
    const pauseMs = rank < LOOKERS ? Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.min(10, reader.failures)) : SELDOM_MS
    reader.nextAt = now + pauseMs
    if (reader.failures >= FAILURES_TO_TELL) this._options.roster.say({ reachesStore: false })
  }

  private _reached (table: TableName, reader: Reader, now: number): void {
    if (reader.failures >= FAILURES_TO_TELL) this._options.outbox.log({ decision: 'store-regained', table })
    reader.failures = 0
    reader.nextAt = now
    this._options.roster.say({ reachesStore: true })
  }

  private _replace (table: TableName, reader: Reader, rows: StoredRow[], version: number, at: number, now = at): StoredRow[] {
    this._noteReturn(reader.replica, at, now)
    const changed = reader.replica.replace(rows, version, at)
    if (changed.length > 0) this._options.changed(table, changed, now)
    return changed
  }

  private _confirm (table: TableName, rows: StoredRow[], from: number, to: number, at: number, now: number): StoredRow[] {
    const { replica } = this._readers.get(table)!
    this._noteReturn(replica, at, now)
    const merge = replica.merge(rows, from, to, at)
    if (merge.kind === 'gap') return []
    if (merge.changed.length > 0) this._options.changed(table, merge.changed, now)
    return merge.changed
  }

  private _noteReturn (replica: Replica, at: number, now: number): void {
    if (replica.version !== undefined && at - replica.confirmedAt > LOST_TOUCH_MS) this._options.returned(now)
  }

  private _beat (now: number): void {
    this._nextBeatAt = now + BEAT_MS
    const tables: TableStanding[] = []
    for (const [table, { replica }] of this._readers) {
      if (replica.version !== undefined) tables.push({ table, version: replica.version, ageMs: Math.round(now - replica.confirmedAt) })
    }
    for (const { to, relay } of fanOut(this._options.roster.others)) {
      this._options.outbox.send(to, { kind: 'watch-beat', tables, relay })
    }
  }

  private _tellRows (table: TableName, replica: Replica, before: number | undefined, rows: StoredRow[]): void {
    if (before === undefined) return
    for (const { to, relay } of fanOut(this._options.roster.others)) {
      this._options.outbox.send(to, { kind: 'rows', table, from: before, to: replica.version!, ageMs: 0, rows, relay })
    }
  }

  private _relay (message: WatchBeat | RowsMessage): void {
    for (const instance of message.relay) {
      const member = this._options.roster.get(instance)
      if (member) this._options.outbox.send(member, { ...message, relay: [] })
    }
  }

  private _pull (from: Member, now: number): void {
    if (now < this._nextPullAt) return
    this._nextPullAt = now + PULL_PAUSE_MS
    this._options.outbox.put({ kind: 'pull', host: from.host, port: from.peerPort })
  }
}
