/** An entry's copy of a store table. An older version of a row never replaces a newer one. */
import { isLater, type Position } from '../position.js'
import type { StoredRow } from './row.js'

/** The result of merging changes into a replica. */
export type MergeResult =
  /** The changes were merged; `changed` lists the rows that differ from before. */
  | { kind: 'merged', changed: StoredRow[] }
  /** Nothing was merged: the replica lacks changes that precede these. */
  | { kind: 'gap' }
  /** Nothing was merged: the changes are of an older era than the replica. */
  | { kind: 'outdated' }

/** Maximum number of removed rows that a replica remembers, so that it can report removals to peers with a slightly older version. */
const MAX_REMOVED_ROWS = 2000

/** Holds all rows of a table as of one version of the store. */
export class Replica {
  private readonly _rows = new Map<string, StoredRow>()
  private readonly _removedVersions = new Map<string, number>()
  private _era = 0
  private _version: number | undefined
  /** The oldest version from which a complete list of changes can be given. */
  private _oldestDiffVersion = 0
  private _changedAt = 0
  private _confirmedAt = -Infinity

  /** The version of the store up to which the replica has all changes; undefined before the first read. */
  get version (): number | undefined {
    return this._version
  }

  /** The era of the store that the rows come from. */
  get era (): number {
    return this._era
  }

  /** The position of the store up to which the replica has all changes; undefined before the first read. */
  get position (): Position | undefined {
    return this._version === undefined ? undefined : { era: this._era, version: this._version }
  }

  /** The version of the last change, or a later version from which on there was none. */
  get changedAt (): number {
    return this._changedAt
  }

  /** The time at which the replica was last known to match the store. */
  get confirmedAt (): number {
    return this._confirmedAt
  }

  get rows (): ReadonlyMap<string, StoredRow> {
    return this._rows
  }

  /** Replaces the content by the complete table as of a position. Returns the changed rows; in a new era, these are all rows. */
  replace (rows: readonly StoredRow[], { era = 0, version }: Position, at: number): StoredRow[] {
    const isFirst = this._version === undefined
    if (!isFirst && isLater(this.position!, { era, version })) return []
    const previousKeys = [...this._rows.keys()]
    if (isFirst || era > this._era) this._startEra(era)
    const changed: StoredRow[] = []
    const presentKeys = new Set(rows.map((row) => row.key))
    for (const key of previousKeys) {
      if (!presentKeys.has(key)) this._applyRow({ key, version }, changed)
    }
    for (const row of rows) this._applyRow(row, changed)
    if (changed.length > 0) this._changedAt = version
    if (this._version === undefined) this._oldestDiffVersion = this._changedAt = version
    this._advanceTo(version, at)
    return changed
  }

  /** Merges all changes after version `from`, up to and including version `to`, of an era. */
  merge (rows: readonly StoredRow[], from: number, to: number, at: number, era = 0): MergeResult {
    if (this._version === undefined || era > this._era) return { kind: 'gap' }
    if (era < this._era) return { kind: 'outdated' }
    if (from > this._version) return { kind: 'gap' }
    const changed: StoredRow[] = []
    for (const row of rows) {
      if (row.version <= this._version) continue
      this._changedAt = Math.max(this._changedAt, row.version)
      this._applyRow(row, changed)
    }
    this._advanceTo(to, at)
    return { kind: 'merged', changed }
  }

  /** Returns all changes after a position, or undefined when it is of another era or removals since then may have been evicted. */
  changesSince ({ era = 0, version }: Position): StoredRow[] | undefined {
    if (this._version === undefined || era !== this._era || version < this._oldestDiffVersion) return undefined
    const changes: StoredRow[] = []
    for (const row of this._rows.values()) {
      if (row.version > version) changes.push(row)
    }
    for (const [key, removedAt] of this._removedVersions) {
      if (removedAt > version) changes.push({ key, version: removedAt })
    }
    return changes
  }

  /** Versions of the previous era say nothing about rows of this one. */
  private _startEra (era: number): void {
    this._era = era
    this._version = undefined
    this._removedVersions.clear()
    for (const [key, row] of this._rows) this._rows.set(key, { ...row, version: -1 })
  }

  private _applyRow (row: StoredRow, changed: StoredRow[]): void {
    const known = this._rows.get(row.key)?.version ?? this._removedVersions.get(row.key) ?? -1
    if (row.version <= known) return
    if (row.value === undefined) {
      if (!this._rows.delete(row.key)) return
      this._removedVersions.set(row.key, row.version)
      this._evictOldestRemoval()
    } else {
      this._rows.set(row.key, row)
      this._removedVersions.delete(row.key)
    }
    changed.push(row)
  }

  private _evictOldestRemoval (): void {
    if (this._removedVersions.size <= MAX_REMOVED_ROWS) return
    const [key, version] = this._removedVersions.entries().next().value!
    this._removedVersions.delete(key)
    this._oldestDiffVersion = Math.max(this._oldestDiffVersion, version)
  }

  private _advanceTo (version: number, at: number): void {
    if (this._version !== undefined && version < this._version) return
    this._version = version
    this._confirmedAt = Math.max(this._confirmedAt, at)
  }
}
