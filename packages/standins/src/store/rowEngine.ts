/** Rows of all tables in memory: versions from one counter, transactions one at a time, and a history that can be dropped. */
import type { StoredRow } from '@gooseberryspan/core'
import type { RowName, Transaction } from '@gooseberryspan/store'

interface Change extends RowName {
  version: number
}

/** What a change of a row is asked for. */
export type ChangesReading = { rows: StoredRow[], version: number } | 'history-lost'

/** A store's behaviour without its faults. */
export class RowEngine {
  private readonly _tables = new Map<string, Map<string, StoredRow>>()
  private readonly _waiting = new Set<() => void>()
  private _history: Change[] = []
  private _version = 0
  private _forgotten = 0

  get version (): number {
    return this._version
  }

  /** Makes all changes or none. */
  run ({ conditions, puts, removes }: Transaction): 'done' | 'conflict' {
    const holds = conditions.every(({ table, key, version }) => (this._table(table).get(key)?.version ?? 0) === version)
    if (!holds) return 'conflict'
    this._version += 1
    for (const { table, key, value } of puts) this._set({ table, key }, value)
    for (const name of removes) this._set(name, undefined)
    for (const wake of [...this._waiting]) wake()
    return 'done'
  }

  /** Writes one row without a condition. */
  put (table: string, key: string, value: string): void {
    this.run({ conditions: [], puts: [{ table, key, value }], removes: [] })
  }

  remove (table: string, key: string): void {
    this.run({ conditions: [], puts: [], removes: [{ table, key }] })
  }

  /** Rows in the order of their keys, from one key on. */
  rows (table: string, { from, limit }: { from?: string, limit?: number } = {}): { rows: StoredRow[], more: boolean } {
    const rows = [...this._table(table).values()].filter((row) => from === undefined || row.key >= from)
    rows.sort((a, b) => a.key < b.key ? -1 : 1)
    return { rows: rows.slice(0, limit), more: limit !== undefined && rows.length > limit }
  }

  /** Changes of a table after a version. */
  changes (table: string, after: number): ChangesReading {
    if (after < this._forgotten) return 'history-lost'
    const changed = new Map<string, number>()
    for (const change of this._history) {
      if (change.table === table && change.version > after) changed.set(change.key, change.version)
    }
    const rows = [...changed].map(([key, version]) => this._table(table).get(key) ?? { key, version })
    return { rows, version: this._version }
  }

  /** Settles at the next change, or after a time. */
  changed (waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer)
        this._waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, waitMs)
      this._waiting.add(wake)
    })
  }

  /** Forgets all history up to now. */
  dropHistory (): void {
    this._forgotten = this._version
    this._history = []
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
