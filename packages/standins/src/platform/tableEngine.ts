/** The table service's behaviour, in memory: rows with versions, transactions one at a time. */
import type { Read, Row, RowValue, Transaction, TransactionResult } from '@gooseberryspan/core'

interface Stored {
  version: number
  value?: RowValue
}

/** Rows of all tables. Deleted rows stay as marks, so that readers of changes learn of them. */
export class TableEngine {
  private readonly _tables = new Map<string, Map<string, Stored>>()
  private _sequence = 0

  /** Runs one transaction. */
  run (transaction: Transaction): TransactionResult {
    const committed = transaction.conditions.every(({ table, key, version }) => this._version(table, key) === version)
    if (committed) {
      for (const { table, key, value } of transaction.writes) {
        this._sequence += 1
        this._table(table).set(key, { version: this._sequence, value: copy(value) })
      }
    }
    return { committed, sequence: this._sequence, rows: transaction.reads.flatMap((read) => this._read(read)) }
  }

  /** All rows of a table that have a value. */
  rows (table: string): Row[] {
    const rows: Row[] = []
    for (const [key, { version, value }] of this._table(table)) {
      if (value !== undefined) rows.push({ table: table as Row['table'], key, version, value })
    }
    return rows
  }

  private _read (read: Read): Row[] {
    const { table } = read
    if (read.kind === 'row') {
      const stored = this._table(table).get(read.key)
      return [{ table, key: read.key, version: this._version(table, read.key), value: copy(stored?.value) }]
    }
    const rows: Row[] = []
    for (const [key, { version, value }] of this._table(table)) {
      if (version > read.since) rows.push({ table, key, version: value === undefined ? 0 : version, value: copy(value) })
    }
    return rows
  }

  private _version (table: string, key: string): number {
    const stored = this._table(table).get(key)
    return stored?.value === undefined ? 0 : stored.version
  }

  private _table (name: string): Map<string, Stored> {
    let table = this._tables.get(name)
    if (!table) {
      table = new Map()
      this._tables.set(name, table)
    }
    return table
  }
}

function copy<T> (value: T): T {
  return value === undefined ? value : structuredClone(value)
}
