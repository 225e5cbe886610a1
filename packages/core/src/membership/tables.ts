/** Rows kept in the platform's table service and the transactions over them. */
import type { AcceptedChange, AcceptedDocument } from '../configuration/revisions.js'

/** How far an entry has come in its membership. */
export type MemberState = 'joining' | 'confirmed' | 'stopping'

/** One entry process as the others see it; row `members/<instance>`. */
export interface Member {
  instance: string
  /** Drawn anew at each start of the process. */
  incarnation: string
  zone: string
  region: string
  host: string
  /** Port for callers. */
  port: number
  /** Port for other entries. */
  peerPort: number
  state: MemberState
  /** View that first named this incarnation. */
  joinedView: number
}

/** Row `leases/<instance>`: rewritten at each renewal, so that its version moves. */
export interface LeaseRow {
  incarnation: string
  /** Newest view that the entry has applied. */
  view: number
}

/** Number of holders a service's servers of one zone are split over. */
export interface Split {
  service: string
  holders: number
}

/** Row `view/current`. */
export interface ViewRow {
  version: number
  /** Services with more than one holder a zone. */
  splits: Split[]
}

/** Row `shards/<service>/<zone>/<index>`: the one incarnation that may dispatch. */
export interface ShardRow {
  instance: string
  incarnation: string
}

/** Row `configuration/revision`. */
export interface RevisionRow {
  revision: number
  changeId: string
}

/** What a row may hold. */
export type RowValue = Member | LeaseRow | ViewRow | ShardRow | RevisionRow | AcceptedChange | AcceptedDocument | ClaimRow

/** Row `claims/<service>/<key>`: a non-idempotent request that was let through. */
export interface ClaimRow {
  /** Unique to the attempt to claim, to recognise it after a lost answer. */
  claimId: string
  instance: string
  outcome: 'claimed' | 'answered' | 'not-run' | 'unknown'
  /** Wall clock of the claiming entry, in milliseconds since 1970, for the sweep. */
  at: number
}

/** Names of the tables. */
export type Table = 'members' | 'leases' | 'view' | 'shards' | 'configuration' | 'claims'

/** Reads one row. */
export interface RowRead {
  kind: 'row'
  table: Table
  key: string
}

/** Reads the rows of a table that changed after a sequence number, deleted ones included. */
export interface ChangedRead {
  kind: 'changed'
  table: Table
  since: number
}

/** One part of a transaction's reads. */
export type Read = RowRead | ChangedRead

/** Holds when the row has this version; 0 means that there is no such row. */
export interface Condition {
  table: Table
  key: string
  version: number
}

/** Puts a value, or deletes the row when the value is absent. */
export interface Write {
  table: Table
  key: string
  value?: RowValue
}

/** Conditions, writes and reads that happen at one point in time; reads see the writes. */
export interface Transaction {
  conditions: Condition[]
  writes: Write[]
  reads: Read[]
}

/** A row as read. Version 0 and no value: there is no such row, or it was deleted. */
export interface Row {
  table: Table
  key: string
  version: number
  value?: RowValue
}

/** What came of one transaction. Reads are answered whether it was committed or not. */
export interface TransactionResult {
  committed: boolean
  /** The table service's sequence number at that point; each write has its own. */
  sequence: number
  rows: Row[]
}

/** The row of a result, or an empty one of version 0. */
export function rowOf (result: TransactionResult, table: Table, key: string): Row {
  return result.rows.find((row) => row.table === table && row.key === key) ?? { table, key, version: 0 }
}
