/** Rows of the platform's store as entries keep and pass them on. */

/** Tables that every entry keeps a copy of. */
export type TableName = 'declarations' | 'servers'

/** Both tables, in the order in which they are read. */
export const TABLES: readonly TableName[] = ['declarations', 'servers']

/** One row, or the fact that it was removed. */
export interface StoredRow {
  key: string
  /** Rises with each change of the row. */
  version: number
  /** The row's text; absent when the row was removed. */
  value?: string
}
