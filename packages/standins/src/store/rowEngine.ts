/** In-memory tables: one version counter for all rows, transactions that run one at a time, and a change history that can be dropped. */
import type { StoredRow } from '@gooseberryspan/core'
import type { RowName, Transaction } from '@gooseberryspan/store'

/** A change of one row. */
export interface RowChange extends RowName {
  version: number
}

/** A copy of all rows, from which the store can be restored. */
export interface StoreCopy {
  tables: Map<string, Map<string, StoredRow>>
  history: RowChange[]
  version: number
}

/** The result of a request for the changes of a table. */
export type RowChanges = { rows: StoredRow[], version: number } | 'history-lost'

/** The data and transactions of the simulated store, without simulated faults. */
export class RowEngine {
  private _tables = new Map<string, Map<string, StoredRow>>()
  private readonly _listeners = new Set<() => void>()
  private _history: RowChange[] = []
  private _version = 0
  private _historyStart = 0
  private _era = 1

  /** Number of the store's history; rises by one with each restore. */
  get era (): number {
    return this._era
  }

  get version (): number {
    return this._version
  }

  /** Applies all changes of a transaction if all of its conditions hold, otherwise none. */
  run ({ conditions, puts, removes }: Transaction): 'done' | 'conflict' {
    const holds = conditions.every(({ table, key, version }) => (this._table(table).get(key)?.version ?? 0) === version)
    if (!holds) return 'conflict'
    this._version += 1
    for (const { table, key, value } of puts) this._set({ table, key }, value)
    for (const name of removes) this._set(name, undefined)
    for (const notify of [...this._listeners]) notify()
    return 'done'
  }

  /** Writes one row unconditionally. */
  put (table: string, key: string, value: string): void {
    this.run({ conditions: [], puts: [{ table, key, value }], removes: [] })
  }

  remove (table: string, key: string): void {
    this.run({ conditions: [], puts: [], removes: [{ table, key }] })
  }

  /** Returns rows in the order of their keys, starting at a key. */
  rows (table: string, { from, limit }: { from?: string, limit?: number } = {}): { rows: StoredRow[], more: boolean } {
    const rows = [...this._table(table).values()].filter((row) => from === undefined || row.key >= from)
    rows.sort((a, b) => a.key < b.key ? -1 : 1)
    return { rows: rows.slice(0, limit), more: limit !== undefined && rows.length > limit }
  }

  /** Returns the rows of a table that changed after a version. */
  changes (table: string, after: number): RowChanges {
    if (after < this._historyStart || after > this._version) return 'history-lost'
    const changedVersions = new Map<string, number>()
    for (const change of this._history) {
      if (change.table === table && change.version > after) changedVersions.set(change.key, change.version)
    }
    const rows = [...changedVersions].map(([key, version]) => this._table(table).get(key) ?? { key, version })
    return { rows, version: this._version }
  }

  /** Resolves at the next change of any table, or after a time-out. */
  waitForChange (waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const onChange = (): void => {
        clearTimeout(timer)
        this._listeners.delete(onChange)
        resolve()
      }
      const timer = setTimeout(onChange, waitMs)
      this._listeners.add(onChange)
    })
  }

  /** Drops the change history up to the current version. */
  dropHistory (): void {
    this._historyStart = this._version
    this._history = []
  }

  /** Copies all rows as they are now. */
  copy (): StoreCopy {
    return { tables: structuredClone(this._tables), history: [...this._history], version: this._version }
  }

  /** Goes back to a copy. Later changes are lost, and their versions are given out again. */
  restore (copy: StoreCopy): void {
    const { tables, history, version } = structuredClone(copy)
    this._tables = tables
    this._history = history
    this._version = version
    this._historyStart = Math.min(this._historyStart, version)
    this._era += 1
    for (const notify of [...this._listeners]) notify()
  }

  private _set ({ table, key }: RowName, value: string | undefined): void {
    const rows = this._table(table)
    if (value === undefined) {
      if (!rows.delete(key)) return
    } else {
      rows.set(key, { key, version: this._version, value })
    }
    this._history.push({ table, key, version: this._version })
  }

  private _table (name: string): Map<string, StoredRow> {
    let table = this._tables.get(name)
    if (!table) {
      table = new Map()
      this._tables.set(name, table)
    }
    return table
  }
}
