/** Interface for encoding calls to a store and decoding its responses. Each platform has its own protocol. */
import type { RolloutStatus, StoredRow } from '@gooseberryspan/core'
import type { RowName, Transaction } from './store.js'

/** One HTTP request to the store. */
export interface StoreCall {
  method: string
  path: string
  body?: string
}

/** The meaning of an HTTP status of the store. */
export type StatusMeaning = 'done' | 'missing' | 'conflict' | 'history-lost' | 'refused' | 'unavailable'

/** Rows of one response. */
export interface RowPage {
  rows: StoredRow[]
  version: number
  /** Whether more rows follow. The next page is requested from the last key of this one. */
  more: boolean
}

/** Calls and formats of a store. `readPage` and `readVersion` throw when a response is not in the expected format. */
export interface StoreProtocol {
  /** Header of all responses with the era of the store, a whole number that rises with each restore from a copy. In lower case. */
  readonly eraHeader: string
  rows (table: string, range: { from?: string, limit?: number }): StoreCall
  changes (table: string, after: number, waitMs: number): StoreCall
  transact (transaction: Transaction): StoreCall
  putObject (name: string, text: string): StoreCall
  getObject (name: string): StoreCall
  /** The row in which operators read the status of a service's roll-out. */
  rolloutStatusRow (service: string, status: RolloutStatus): RowName & { value: string }
  meaningOf (status: number): StatusMeaning
  readPage (text: string): RowPage
  readVersion (text: string): number
}

/** Formats the name of a row for messages. */
export function formatRowName ({ table, key }: RowName): string {
  return `${table}/${key}`
}
