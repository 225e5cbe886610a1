/** One entry's copy of a table: it only ever moves to newer rows. */
import type { StoredRow } from './row.js'

/** What became of rows that were offered. */
export type Merge =
  /** They were taken; the changed ones are named. */
  | { kind: 'merged', changed: StoredRow[] }
  /** Changes before them are missing. */
  | { kind: 'gap' }

/** Removed rows that are remembered for peers that are a little behind. */
const MOST_REMOVED = 2000

/** A copy of a table up to one version of the store. */
export class Replica {
  private readonly _rows = new Map<string, StoredRow>()
  private readonly _removed = new Map<string, number>()
  private _version: number | undefined
  /** Differences from versions before this one cannot be told. */
  private _oldest = 0
  private _confirmedAt = -Infinity

  /** The store's version up to which all changes are here; undefined before the first reading. */
  get version (): number | undefined {
    return this._version
  }

  /** When the copy was last known to be the newest. */
  get confirmedAt (): number {
    return this._confirmedAt
  }

  get rows (): ReadonlyMap<string, StoredRow> {
    return this._rows
  }

  /** Takes the whole table as it was at a version. */
  replace (rows: readonly StoredRow[], version: number, at: number): StoredRow[] {
    if (this._version !== undefined && version < this._version) return []
    const changed: StoredRow[] = []
    const named = new Set(rows.map((row) => row.key))
    for (const key of this._rows.keys()) {
      if (!named.has(key)) this._take({ key, version }, changed)
    }
    for (const row of rows) this._take(row, changed)
    if (this._version === undefined) this._oldest = version
    this._reach(version, at)
    return changed
  }

  /** Takes all changes after one version up to another. */
  merge (rows: readonly StoredRow[], from: number, to: number, at: number): Merge {
    if (this._version === undefined || from > this._version) return { kind: 'gap' }
    const changed: StoredRow[] = []
    for (const row of rows) {
      if (row.version > this._version) this._take(row, changed)
    }
    this._reach(to, at)
    return { kind: 'merged', changed }
  }

  /** All changes after a version, or undefined when not all are remembered. */
  since (version: number): StoredRow[] | undefined {
    if (this._version === undefined || version < this._oldest) return undefined
    const changes: StoredRow[] = []
    for (const row of this._rows.values()) {
      if (row.version > version) changes.push(row)
    }
    for (const [key, removedAt] of this._removed) {
      if (removedAt > version) changes.push({ key, version: removedAt })
    }
    return changes
  }

  private _take (row: StoredRow, changed: StoredRow[]): void {
    const known = this._rows.get(row.key)?.version ?? this._removed.get(row.key) ?? -1
    if (row.version <= known) return
    if (row.value === undefined) {
      if (!this._rows.delete(row.key)) return
      this._removed.set(row.key, row.version)
      this._forgetOldest()
    } else {
      this._rows.set(row.key, row)
      this._removed.delete(row.key)
    }
    changed.push(row)
  }

  private _forgetOldest (): void {
    if (this._removed.size <= MOST_REMOVED) return
    const [key, version] = this._removed.entries().next().value!
    this._removed.delete(key)
    this._oldest = Math.max(this._oldest, version)
  }

  private _reach (version: number, at: number): void {
    if (this._version !== undefined && version < this._version) return
    this._version = version
    this._confirmedAt = Math.max(this._confirmedAt, at)
  }
}
