/** Interface of the platform's store: tables of versioned rows, which conditional transactions change, and objects. */
import type { StoredRow } from '@gooseberryspan/core'

/** Identifies one row. */
export interface RowName {
  table: string
  key: string
}

/** Changes that the store applies atomically. */
export interface Transaction {
  /** Versions that rows must have; 0 means that the row must not exist. */
  conditions: Array<RowName & { version: number }>
  puts: Array<RowName & { value: string }>
  removes: RowName[]
}

/** The result of a transaction. */
export type TransactionResult =
  | { kind: 'done', version: number }
  /** A row did not have the version that a condition requires. */
  | { kind: 'conflict' }

/** All rows of a table. */
export interface TableSnapshot {
  rows: StoredRow[]
  /** The version of the store at which the rows were read. */
  version: number
  /** The era that the version belongs to; absent if the store did not state it. */
  era?: number
}

/** Result of reading the changes of a table. */
export type ChangesResult =
  | { kind: 'changes', rows: StoredRow[], version: number, era?: number }
  /** The store no longer has all changes since the requested version. */
  | { kind: 'history-lost', era?: number }

/** Every method rejects with `StoreUnavailable` when the store does not answer in time. */
export interface Store {
  /** Returns all rows of a table. */
  readAll (table: string): Promise<TableSnapshot>
  /** Returns one row, or undefined when it does not exist. */
  readRow (name: RowName): Promise<StoredRow | undefined>
  /** Returns the changes after a version. While there are none, the store delays its answer by up to `waitMs`. */
  waitForChanges (table: string, after: number, waitMs: number): Promise<ChangesResult>
  /** Applies changes if all conditions hold. If the store does not answer, the changes may have been applied, or may still be later. */
  transact (transaction: Transaction): Promise<TransactionResult>
  putObject (name: string, text: string): Promise<void>
  /** Returns the object's text, or undefined when the object does not exist. */
  getObject (name: string): Promise<string | undefined>
}
