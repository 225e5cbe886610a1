/** What the platform offers: a transactional table service, an object store and a lagging instance list. */
import type { ListChange, Transaction, TransactionResult } from '@gooseberryspan/core'

/** Rows with versions, changed by conditional transactions. */
export interface TableService {
  /**
   * Runs the transactions one after the other, each by itself. Rejects with `PlatformUnavailable`
   * when there is no answer: each may or may not have taken effect.
   */
  transact (transactions: Transaction[]): Promise<TransactionResult[]>
}

/** Objects by name. */
export interface ObjectStore {
  put (key: string, text: string): Promise<void>
  /** The object's text, or undefined when there is none. */
  get (key: string): Promise<string | undefined>
}

/** One reading of the instance list. */
export interface ListReading {
  /** Pass it to the next reading to get only what changed. */
  version: number
  change: ListChange
}

/** Live and leaving backend servers, some seconds old. */
export interface InstanceList {
  /** What changed since a version; 0 asks for the whole list. */
  read (since: number): Promise<ListReading>
}

/** All of the platform together. */
export interface Platform {
  tables: TableService
  objects: ObjectStore
  instances: InstanceList
}
