/** How an operator's change is accepted: a conditional write of revision N+1 on N, settled by its change id. */
import {
  rowOf, type RevisionRow, type Row, type Split, type Transaction, type TransactionResult, type ViewRow
} from '../membership/tables.js'
import { deltaBetween } from './delta.js'
import type { Document } from './document.js'
import { KEPT_CHANGES, type AcceptedDocument } from './revisions.js'
import { changeKey } from './spread.js'

/** What is in the table before a change. */
export interface ConfigurationRows {
  revision: Row
  document: Row
  view: Row
}

/** Reads all that a change rests on. */
export function readConfiguration (): Transaction {
  return {
    conditions: [],
    writes: [],
    reads: [
      { kind: 'row', table: 'configuration', key: 'revision' },
      { kind: 'row', table: 'configuration', key: 'document' },
      { kind: 'row', table: 'view', key: 'current' }
    ]
  }
}

/** The rows of `readConfiguration`'s result. */
export function configurationRows (result: TransactionResult): ConfigurationRows {
  return {
    revision: rowOf(result, 'configuration', 'revision'),
    document: rowOf(result, 'configuration', 'document'),
    view: rowOf(result, 'view', 'current')
  }
}

/** The document in force before the change, if there is one. */
export function acceptedOf (rows: ConfigurationRows): AcceptedDocument | undefined {
  return rows.document.value as AcceptedDocument | undefined
}

/** The change that was accepted last. */
export function revisionOf (rows: ConfigurationRows): RevisionRow {
  return (rows.revision.value as RevisionRow | undefined) ?? { revision: 0, changeId: '' }
}

/**
 * The transaction that puts a document into force as the next revision. It holds only while the
 * rows are as they were read. A change of holders a zone moves servers, so it makes a new view too.
 */
export function changeTransaction (rows: ConfigurationRows, next: Document, changeId: string): Transaction {
  const before = acceptedOf(rows)
  const revision = revisionOf(rows).revision + 1
  const empty: Document = { zones: [], services: [], policies: next.policies }
  const transaction: Transaction = {
    conditions: [{ table: 'configuration', key: 'revision', version: rows.revision.version }],
    writes: [
      { table: 'configuration', key: 'revision', value: { revision, changeId } },
      { table: 'configuration', key: 'document', value: { revision, document: next } },
      {
        table: 'configuration',
        key: changeKey(revision),
        value: { revision, changeId, delta: deltaBetween(before?.document ?? empty, next) }
      }
    ],
    reads: [{ kind: 'row', table: 'configuration', key: 'revision' }]
  }
  if (revision > KEPT_CHANGES) transaction.writes.push({ table: 'configuration', key: changeKey(revision - KEPT_CHANGES) })
  addSplits(transaction, rows, next)
  return transaction
}

function addSplits (transaction: Transaction, rows: ConfigurationRows, next: Document): void {
  const view = (rows.view.value as ViewRow | undefined) ?? { version: 0, splits: [] }
  const splits = splitsOf(next)
  if (JSON.stringify(splits) === JSON.stringify(view.splits)) return
  transaction.conditions.push({ table: 'view', key: 'current', version: rows.view.version })
  transaction.writes.push({ table: 'view', key: 'current', value: { version: view.version + 1, splits } })
}

function splitsOf (document: Document): Split[] {
  const split = document.services.filter((service) => service.holdersPerZone > 1)
  return split.map((service) => ({ service: service.name, holders: service.holdersPerZone }))
}
