/** How calls to a store are written and its answers are read. Each platform has a protocol of its own. */
import type { StoredRow } from '@gooseberryspan/core'
import type { RowName, Transaction } from './store.js'

/** One HTTP request to the store. */
export interface StoreCall {
  method: string
  path: string
  body?: string
}

/** What an HTTP status of the store means. */
export type StatusMeaning = 'done' | 'missing' | 'conflict' | 'history-lost' | 'refused' | 'unavailable'

/** One answer with rows. */
export interface RowPage {
  rows: StoredRow[]
  version: number
  /** Whether rows follow; they are asked for from the last key on. */
  more: boolean
}

/** A store's calls and formats. Reading throws when an answer has another shape. */
export interface StoreProtocol {
  rows (table: string, range: { from?: string, limit?: number }): StoreCall
  changes (table: string, after: number, waitMs: number): StoreCall
  transact (transaction: Transaction): StoreCall
  putObject (name: string, text: string): StoreCall
  getObject (name: string): StoreCall
  meaningOf (status: number): StatusMeaning
  readPage (text: string): RowPage
  readVersion (text: string): number
}

/** Names one row, for messages. */
export function nameOf ({ table, key }: RowName): string {
  return `${table}/${key}`
}
