/** Accepts an operator's document as a whole, or says why not. */
import { validateDocument, type Document, type StoredRow } from '@gooseberryspan/core'
import { StoreUnavailable } from './errors.js'
import type { Store, TransactionEnd } from './store.js'

/** A document with its revision, as the store keeps it. */
export interface AcceptedDocument {
  revision: number
  document: Document
  /** The last changes, the newest first, so that an operator recognises its own after a lost answer. */
  changes: AcceptedChange[]
}

/** One accepted change. */
export interface AcceptedChange {
  revision: number
  changeId: string
}

/** What became of a change. */
export type ChangeOutcome =
  | { kind: 'accepted', revision: number }
  | { kind: 'conflict', revision: number }
  | { kind: 'unsettled', reason: string }

/** Table and key of the row that keeps the document in force. */
export const GATEWAY_ROW = { table: 'declarations', key: 'gateway' } as const

const SETTLING_READS = 5
const FIRST_PAUSE_MS = 100
const KEPT_CHANGES = 64

/** Reads and changes the configuration in the store. */
export class ConfigurationStore {
  private readonly _store: Store
  private readonly _pause: (ms: number) => Promise<void>

  constructor (store: Store, pause: (ms: number) => Promise<void> = pauseFor) {
    this._store = store
    this._pause = pause
  }

  /** The document in force, or undefined before the first. */
  async read (): Promise<AcceptedDocument | undefined> {
    return acceptedOf(await this._store.readRow(GATEWAY_ROW))
  }

  /**
   * Puts a document into force as the successor of `expected`. A racing change is a conflict that names
   * the revision that won. A write without an answer is settled by looking for the change id.
   */
  async change (document: Document, expected: number, changeId: string): Promise<ChangeOutcome> {
    const row = await this._store.readRow(GATEWAY_ROW)
    const before = acceptedOf(row)
    const own = ownChange(before, changeId)
    if (own) return { kind: 'accepted', revision: own.revision }
    const revision = before?.revision ?? 0
    if (revision !== expected) return { kind: 'conflict', revision }
    const next = { revision: revision + 1, document, changes: [{ revision: revision + 1, changeId }, ...before?.changes ?? []] }
    const end = await this._write(next, row?.version ?? 0)
    return end?.kind === 'done' ? { kind: 'accepted', revision: next.revision } : this._settle(next.revision, changeId)
  }

  /** What became of a write; undefined when there is no answer. */
  private async _write (next: AcceptedDocument, version: number): Promise<TransactionEnd | undefined> {
    const value = JSON.stringify({ ...next, changes: next.changes.slice(0, KEPT_CHANGES) })
    try {
      return await this._store.transact({ conditions: [{ ...GATEWAY_ROW, version }], puts: [{ ...GATEWAY_ROW, value }], removes: [] })
    } catch (error) {
      if (!(error instanceof StoreUnavailable)) throw error
      return undefined
    }
  }

  /** Reads until it is known whose change followed. */
  private async _settle (revision: number, changeId: string): Promise<ChangeOutcome> {
    for (let read = 0; read < SETTLING_READS; read++) {
      if (read > 0) await this._pause(FIRST_PAUSE_MS * 2 ** read)
      const found = await this._readIfPossible()
      const own = ownChange(found, changeId)
      if (own) return { kind: 'accepted', revision: own.revision }
      if (found && found.revision >= revision) return { kind: 'conflict', revision: found.revision }
    }
    return { kind: 'unsettled', reason: `the store did not say whether change ${changeId} took effect` }
  }

  private async _readIfPossible (): Promise<AcceptedDocument | undefined> {
    try {
      return await this.read()
    } catch (error) {
      if (!(error instanceof StoreUnavailable)) throw error
      return undefined
    }
  }
}

/** The document that a row keeps. */
export function acceptedOf (row: StoredRow | undefined): AcceptedDocument | undefined {
  if (row?.value === undefined) return undefined
  const { revision, document, changes } = JSON.parse(row.value) as AcceptedDocument
  return { revision, document: validateDocument(document), changes }
}

function ownChange (accepted: AcceptedDocument | undefined, changeId: string): AcceptedChange | undefined {
  return accepted?.changes.find((change) => change.changeId === changeId)
}

function pauseFor (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
