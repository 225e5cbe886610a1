/** Rows of the platform's store, as entries replicate them. */

/** Tables of which every entry holds a replica. */
export type TableName = 'declarations' | 'servers' | 'rollouts'

/** All tables, in the order in which they are read. */
export const TABLES: readonly TableName[] = ['declarations', 'servers', 'rollouts']
/** Tables that are read only while there is an order of a roll-out. */
export const OPTIONAL_TABLES: ReadonlySet<TableName> = new Set<TableName>(['rollouts'])

/** One row, or a record of its removal. */
export interface StoredRow {
  key: string
  /** Increases with each change of the row. */
  version: number
  /** The row's text; absent when the row was removed. */
  value?: string
}
