/** Replaces the configuration document in the store, and reports the outcome to the operator. */
import { validateDocument, type Document, type StoredRow } from '@gooseberryspan/core'
import { StoreUnavailable } from './errors.js'
import type { Store, TransactionResult } from './store.js'

/** A configuration document with its revision, as it is stored. */
export interface AcceptedDocument {
  revision: number
  document: Document
  /** The latest changes, newest first, in which an operator finds its own change when it did not receive the answer. */
  changes: AcceptedChange[]
}

/** One accepted change. */
export interface AcceptedChange {
  revision: number
  changeId: string
}

/** The outcome of a change. */
export type ChangeOutcome =
  | { kind: 'accepted', revision: number }
  | { kind: 'conflict', revision: number }
  | { kind: 'unsettled', reason: string }

/** Table and key of the row that holds the current document. */
export const GATEWAY_ROW = { table: 'declarations', key: 'gateway' } as const

const MAX_CONFIRMATION_READS = 5
const BASE_PAUSE_MS = 100
const MAX_KEPT_CHANGES = 64

/** Reads and changes the configuration in the store. */
export class ConfigurationStore {
  private readonly _store: Store
  private readonly _pause: (ms: number) => Promise<void>

  constructor (store: Store, pause: (ms: number) => Promise<void> = pauseFor) {
    this._store = store
    this._pause = pause
  }

  /** Returns the current document, or undefined when none has been accepted yet. */
  async read (): Promise<AcceptedDocument | undefined> {
    return parseAcceptedDocument(await this._store.readRow(GATEWAY_ROW))
  }

  /**
   * Replaces the current document, which must have the revision `expected`. If another change was made first, returns a conflict
   * with the revision of that change. If the write fails or gets no answer, looks for the change id in the store.
   */
  async change (document: Document, expected: number, changeId: string): Promise<ChangeOutcome> {
    const row = await this._store.readRow(GATEWAY_ROW)
    const before = parseAcceptedDocument(row)
    const own = findChange(before, changeId)
    if (own) return { kind: 'accepted', revision: own.revision }
    const revision = before?.revision ?? 0
    if (revision !== expected) return { kind: 'conflict', revision }
    const next = { revision: revision + 1, document, changes: [{ revision: revision + 1, changeId }, ...before?.changes ?? []] }
    const result = await this._write(next, row?.version ?? 0)
    return result?.kind === 'done' ? { kind: 'accepted', revision: next.revision } : this._confirmOutcome(next.revision, changeId)
  }

  /** Writes the document. Returns undefined when the store does not answer. */
  private async _write (next: AcceptedDocument, version: number): Promise<TransactionResult | undefined> {
    const value = JSON.stringify({ ...next, changes: next.changes.slice(0, MAX_KEPT_CHANGES) })
    try {
      return await this._store.transact({ conditions: [{ ...GATEWAY_ROW, version }], puts: [{ ...GATEWAY_ROW, value }], removes: [] })
    } catch (error) {
      if (!(error instanceof StoreUnavailable)) throw error
      return undefined
    }
  }

  /** Reads the document until it shows whether this change or another one took effect. */
  private async _confirmOutcome (revision: number, changeId: string): Promise<ChangeOutcome> {
    for (let read = 0; read < MAX_CONFIRMATION_READS; read++) {
      if (read > 0) await this._pause(BASE_PAUSE_MS * 2 ** read)
      const found = await this._tryRead()
      const own = findChange(found, changeId)
      if (own) return { kind: 'accepted', revision: own.revision }
      if (found && found.revision >= revision) return { kind: 'conflict', revision: found.revision }
    }
    return { kind: 'unsettled', reason: `the store did not say whether change ${changeId} took effect` }
  }

  private async _tryRead (): Promise<AcceptedDocument | undefined> {
    try {
      return await this.read()
    } catch (error) {
      if (!(error instanceof StoreUnavailable)) throw error
      return undefined
    }
  }
}

/** Parses and validates the document of a row. Returns undefined when there is no row. */
export function parseAcceptedDocument (row: StoredRow | undefined): AcceptedDocument | undefined {
  if (row?.value === undefined) return undefined
  const { revision, document, changes } = JSON.parse(row.value) as AcceptedDocument
  return { revision, document: validateDocument(document), changes }
}

function findChange (accepted: AcceptedDocument | undefined, changeId: string): AcceptedChange | undefined {
  return accepted?.changes.find((change) => change.changeId === changeId)
}

function pauseFor (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
