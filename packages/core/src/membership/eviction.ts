/** An operator's word that an instance is lost for good: its row goes without waiting for its lease. */
import { rowOf, type Member, type Transaction, type TransactionResult, type ViewRow } from './tables.js'

/** Reads what an eviction rests on. */
export function readMember (instance: string): Transaction {
  return {
    conditions: [],
    writes: [],
    reads: [
      { kind: 'row', table: 'members', key: instance },
      { kind: 'row', table: 'view', key: 'current' }
    ]
  }
}

/** The eviction as a next view, or undefined when there is no such member. */
export function evictionTransaction (read: TransactionResult, instance: string): Transaction | undefined {
  const member = rowOf(read, 'members', instance)
  const view = rowOf(read, 'view', 'current')
  if ((member.value as Member | undefined) === undefined) return undefined
  const { version, splits } = view.value as ViewRow
  return {
    conditions: [
      { table: 'view', key: 'current', version: view.version },
      { table: 'members', key: instance, version: member.version }
    ],
    writes: [
      { table: 'members', key: instance },
      { table: 'leases', key: instance },
      { table: 'view', key: 'current', value: { version: version + 1, splits } }
    ],
    reads: []
  }
}
