/** Accepts an operator's document as a whole, or says why not. */
import {
  acceptedOf, changeTransaction, configurationRows, readConfiguration, revisionOf,
  type AcceptedDocument, type Document, type Transaction, type TransactionResult
} from '@gooseberryspan/core'
import { PlatformUnavailable } from './errors.js'
import type { TableService } from './services.js'

/** What became of a change. */
export type ChangeOutcome =
  | { kind: 'accepted', revision: number }
  | { kind: 'conflict', revision: number }
  | { kind: 'unsettled', reason: string }

const SETTLING_READS = 5
const MOST_TRIES = 10

/** Reads and changes the configuration in the table service. */
export class ConfigurationStore {
  private readonly _tables: TableService
  private readonly _pause: (ms: number) => Promise<void>

  constructor (tables: TableService, pause: (ms: number) => Promise<void> = pauseFor) {
    this._tables = tables
    this._pause = pause
  }

  /** The document in force, or undefined before the first. */
  async read (): Promise<AcceptedDocument | undefined> {
    return acceptedOf(configurationRows(await this._one()))
  }

  /**
   * Puts a document into force as the successor of `expected`. A racing change is a conflict that names
   * the revision that won. A write without an answer is settled by reading back the change id.
   */
  async change (document: Document, expected: number, changeId: string): Promise<ChangeOutcome> {
    for (let tries = 0; tries < MOST_TRIES; tries++) {
      const rows = configurationRows(await this._one())
      const before = revisionOf(rows)
      if (before.changeId === changeId) return { kind: 'accepted', revision: before.revision }
      if (before.revision !== expected) return { kind: 'conflict', revision: before.revision }
      const committed = await this._write(changeTransaction(rows, document, changeId))
      if (committed === undefined) return this._settle(expected + 1, changeId)
      if (committed) return { kind: 'accepted', revision: expected + 1 }
    }
    return { kind: 'unsettled', reason: 'entries join and leave too often; nothing was changed' }
  }

  /** Whether the transaction was committed; undefined when there is no answer. Refused may mean only that the view moved. */
  private async _write (transaction: Transaction): Promise<boolean | undefined> {
    try {
      return (await this._tables.transact([transaction]))[0]?.committed ?? false
    } catch (error) {
      if (!(error instanceof PlatformUnavailable)) throw error
      return undefined
    }
  }

  /** Reads until it is known whose change followed; the row of that revision tells. */
  private async _settle (revision: number, changeId: string): Promise<ChangeOutcome> {
    for (let read = 0; read < SETTLING_READS; read++) {
      if (read > 0) await this._pause(100 * 2 ** read)
      const found = await this._changeAt(revision)
      if (found.changeId === changeId) return { kind: 'accepted', revision }
      if (found.current >= revision) return { kind: 'conflict', revision: found.current }
    }
    return { kind: 'unsettled', reason: `the table service did not say whether change ${changeId} took effect` }
  }

  private async _changeAt (revision: number): Promise<{ changeId?: string, current: number }> {
    try {
      const results = await this._tables.transact([{
        conditions: [],
        writes: [],
        reads: [
          { kind: 'row', table: 'configuration', key: `change-${revision}` },
          { kind: 'row', table: 'configuration', key: 'revision' }
        ]
      }])
      const [change, current] = results[0]!.rows
      return {
        changeId: (change?.value as { changeId?: string } | undefined)?.changeId,
        current: (current?.value as { revision?: number } | undefined)?.revision ?? 0
      }
    } catch (error) {
      if (!(error instanceof PlatformUnavailable)) throw error
      return { current: 0 }
    }
  }

  private async _one (): Promise<TransactionResult> {
    return (await this._tables.transact([readConfiguration()]))[0]!
  }
}

function pauseFor (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
