/** What the platform keeps for all: tables of rows with versions, changed by conditional transactions, and objects. */
import type { StoredRow } from '@gooseberryspan/core'

/** Names one row. */
export interface RowName {
  table: string
  key: string
}

/** Changes that are made together or not at all. */
export interface Transaction {
  /** Versions that rows must have; 0 stands for no row. */
  conditions: Array<RowName & { version: number }>
  puts: Array<RowName & { value: string }>
  removes: RowName[]
}

/** What became of a transaction. */
export type TransactionEnd =
  | { kind: 'done', version: number }
  /** Some row did not have its version. */
  | { kind: 'conflict' }

/** Rows of a table. */
export interface Reading {
  rows: StoredRow[]
  /** The store's version as of which they were read. */
  version: number
}

/** Changes of a table. */
export type Changes =
  | { kind: 'changes', rows: StoredRow[], version: number }
  /** The store does not remember that far back. */
  | { kind: 'history-lost' }

/** The platform's store. Every call rejects with `StoreUnavailable` when there is no answer in time. */
export interface Store {
  /** All rows of a table. */
  readAll (table: string): Promise<Reading>
  /** One row, or undefined when there is none. */
  readRow (name: RowName): Promise<StoredRow | undefined>
  /** Changes after a version; held back for up to `waitMs` while there are none. */
  follow (table: string, after: number, waitMs: number): Promise<Changes>
  /** Makes changes on their conditions. Without an answer they may have been made, or may be later. */
  transact (transaction: Transaction): Promise<TransactionEnd>
  putObject (name: string, text: string): Promise<void>
  /** The object's text, or undefined when there is none. */
  getObject (name: string): Promise<string | undefined>
}
