/** Messages between entries, one per datagram. Datagrams may be lost, delayed, duplicated or reordered. */
import type { RegisteredServer } from '../discovery/registeredServer.js'
import type { AttemptReport, GrantBasis, Purpose, RefusalReason } from '../placement/placementRequest.js'
import type { StatedLimit } from '../placement/serverLimits.js'
import type { RouteCounts } from '../rollouts/answerCounts.js'
import type { StoredRow, TableName } from '../store/row.js'
import type { FleetCount } from './fleetSize.js'
import type { MemberUpdate } from './member.js'

/** Checks whether a member is reachable. */
export interface Ping {
  kind: 'ping'
  sequence: number
  /** Checksum of the sender's member list. */
  digest: number
  news: MemberUpdate[]
  /** Instance that the receiver pings on behalf of the sender. */
  target?: string
  /** Number of entries that the sender, which has just started, expects to start as well. */
  entryCount?: number
}

/** Confirms that a member is reachable. */
export interface PingAnswer {
  kind: 'ping-answer'
  sequence: number
  digest: number
  news: MemberUpdate[]
  /** Checksum of each group; present if the two member lists differ. */
  groups?: number[]
  /** The instance that answered; present if another instance pinged it on behalf of the receiver. */
  target?: string
  /** Number of entries that may be running, if the sender knows it. */
  fleet?: FleetCount
}

/** Membership updates that are sent at once instead of with the next ping. */
export interface Gossip {
  kind: 'gossip'
  news: MemberUpdate[]
}

/** Lists the members of some groups with the states that the sender knows. */
export interface Compare {
  kind: 'compare'
  groups: number[]
  /** Member keys; `states` has the state of each member at the same index. */
  keys: number[]
  states: number[]
}

/** Requests the updates about members that the sender lacks, by member key. */
export interface Want {
  kind: 'want'
  keys: number[]
}

/** Version and age of the sender's replica of a table. */
export interface ReplicaStatus {
  table: TableName
  version: number
  /** Version of the last change of the table; a replica of this version or a later one lacks none. Absent in older versions' messages. */
  changedAt?: number
  /** Era of the store that the versions belong to; absent in older versions' messages. */
  era?: number
  /** Time since the replica was last confirmed to be current, in milliseconds. */
  ageMs: number
}

/** Range of members to which the receiver forwards a message: members positioned between the two bounds. */
export interface RelayRange {
  from: string
  to: string
}

/** Heartbeat of an entry that reads the store, usually the change-feed leader: reports the version and age of its replicas. */
export interface LeaderHeartbeat {
  kind: 'watch-beat'
  tables: ReplicaStatus[]
  /** Instance that has just read the store, which may not be the sender of this copy; absent if no read is the reason for the message. */
  reader?: string
  /** Time since the store came back from an outage, in milliseconds, if that was a short time ago. */
  recoveredMs?: number
  /** Time for which the store has been read without a long interruption, in milliseconds; absent in older versions' messages. */
  steadyMs?: number
  /** Members to which the receiver forwards this message. */
  relay?: RelayRange
}

/** Changed rows of a table. */
export interface RowsMessage {
  kind: 'rows'
  table: TableName
  from: number
  to: number
  /** Era of the store that the versions belong to; absent in older versions' messages. */
  era?: number
  ageMs: number
  rows: StoredRow[]
  relay?: RelayRange
  /** Time since the store came back from an outage, in milliseconds, if that was a short time ago. */
  recoveredMs?: number
}

/** Asks the scheduler of a service for a server. Times are remaining times, in milliseconds. */
export interface PlaceMessage {
  kind: 'place'
  ask: number
  /** The caller's name for the request, for logs. */
  label: string
  service: string
  /** Cell of the service from which a server is requested. */
  cell: string
  route: string
  purpose: Purpose
  priority: number
  targetMs: number
  targetLeftMs: number
  leftMs: number
  /** Time that the caller was willing to wait when its request arrived. */
  waitMs: number
  avoid: string[]
  /** Size of the body, if it is known. */
  bodyBytes?: number
  /** Limits that servers of the cell have stated, as the sender knows them. */
  limits?: StatedLimit[]
  /** Servers to which the sender has an open connection that the request may use; absent if there is none. */
  connected?: string[]
  /** Name of the customer whose request it is, if requests carry keys. */
  customer?: string
}

/** Grants a server to a request. */
export interface GrantedMessage {
  kind: 'granted'
  ask: number
  server: RegisteredServer
  expectedMs: number
  basis?: GrantBasis
}

/** Reports that requests wait for a server in the request queue. */
export interface QueuedMessage {
  kind: 'queued'
  asks: number[]
}

/** Refuses a server to a request. */
export interface RefusedMessage {
  kind: 'refused'
  ask: number
  reason: RefusalReason
  retryAfterMs: number
  /** Another cell to which the request should be sent instead. */
  elsewhere?: string
}

/** Reports the load of a cell to the schedulers of the other cells of its service. */
export interface CellLoadMessage {
  kind: 'cell-load'
  service: string
  cell: string
  /** Incoming load relative to the capacity of the servers of the cell, in hundredths. */
  pressure: number
  servers: number
}

/** Reports the outcome of an attempt that a grant allowed. */
export interface ReportMessage {
  kind: 'report'
  ask: number
  cell: string
  route: string
  server: string
  report: AttemptReport
}

/** Withdraws requests for which no caller waits any more. */
export interface WithdrawMessage {
  kind: 'withdraw'
  asks: number[]
}

/** Confirms that the sender still waits for these requests. */
export interface WaitingMessage {
  kind: 'waiting'
  asks: number[]
}

/** Reports that the sender of this message does not know these requests. */
export interface UnknownMessage {
  kind: 'unknown'
  asks: number[]
}

/** Reports that a server stated in an answer that it is leaving. */
export interface ServerLeavingMessage {
  kind: 'server-leaving'
  server: string
  incarnation: string
}

/** Reports to the deciding entry what this entry has seen of a roll-out. */
export interface RolloutReportMessage {
  kind: 'rollout-report'
  service: string
  /** Version of the store row with the order. */
  order: number
  /** Answers that this entry's schedulers have counted since the roll-out began. */
  routes: RouteCounts[]
  /** Whether the sender uses former servers no more and none of its requests is running there. */
  settled: boolean
}

/** Answers such a report. */
export interface RolloutVerdictMessage {
  kind: 'rollout-verdict'
  service: string
  order: number
  /** Whether the target may get further requests. */
  goesOn: boolean
}

/** Asks a holder of parts of a customer's quota for one request. */
export interface QuotaAskMessage {
  kind: 'quota-ask'
  /** Number of the sender's question. */
  ask: number
  customer: string
  /** How often the question has been passed on; absent if the sender asks for itself. */
  hops?: number
}

/** Answers such a question. */
export interface QuotaAnswerMessage {
  kind: 'quota-answer'
  ask: number
  /** Present if the quota is used up: when the caller may return. */
  retryAfterMs?: number
  /** The entry that has counted the request, if it is not the sender. */
  holder?: string
}

/** Returns a request that was within the quota and has not run to the entry that has counted it. */
export interface QuotaRefundMessage {
  kind: 'quota-refund'
  customer: string
  /** Time since it was counted; absent in older versions' messages. */
  ageMs?: number
}

/** Asks an entry to lend its part of the quotas of a group of customers to the sender. */
export interface QuotaCollectMessage {
  kind: 'quota-collect'
  group: number
  leaseMs: number
  /** End of the loan on the sender's clock; the answer repeats it. */
  expiresAt: number
  /** Whether the reserve is needed, because the holder of the parts does not answer. */
  reserve: boolean
}

/** Answers with the part, the reserve, both or neither. */
export interface QuotaLendMessage {
  kind: 'quota-lend'
  group: number
  /** End of the loan, as the receiver has asked. */
  expiresAt: number
  /** Number of equal parts of each quota. */
  parts: number
  /** Whether the part is lent. */
  isLent?: boolean
  /** Whether the sender lends its reserve. */
  reserve?: boolean
  /** Another entry that has the part. */
  holder?: string
  /** Time until the part can be lent. */
  heldMs?: number
}

/** Gives a part back before the end of the loan. */
export interface QuotaReturnMessage {
  kind: 'quota-return'
  group: number
  /** The sender uses no loan of this part any more that ends until this time on its clock. */
  expiresAt: number
}

/** Asks a holder to hand over to the sender, which is the first candidate. */
export interface QuotaClaimMessage {
  kind: 'quota-claim'
  group: number
  /** Time on the sender's clock, which the answer repeats. */
  claimedAt: number
}

/** Passes on what is left of the parts that the sender has just given back. */
export interface QuotaHandoverMessage {
  kind: 'quota-handover'
  group: number
  incarnation: number
  claimedAt: number
  /** The fraction of the quotas that the sender has counted. */
  fraction: number
  /** What the customers may still request, by index. */
  customers: string[]
  tokens: number[]
}

/** Any message between entries. */
export type PeerMessage =
  | Ping
  | PingAnswer
  | Gossip
  | Compare
  | Want
  | LeaderHeartbeat
  | RowsMessage
  | PlaceMessage
  | GrantedMessage
  | QueuedMessage
  | RefusedMessage
  | ReportMessage
  | WithdrawMessage
  | WaitingMessage
  | UnknownMessage
  | CellLoadMessage
  | ServerLeavingMessage
  | RolloutReportMessage
  | RolloutVerdictMessage
  | QuotaAskMessage
  | QuotaAnswerMessage
  | QuotaRefundMessage
  | QuotaCollectMessage
  | QuotaLendMessage
  | QuotaReturnMessage
  | QuotaClaimMessage
  | QuotaHandoverMessage

/** A member's replicas of the store tables, for a member that joins or has stale replicas. */
export interface PeerState {
  tables: ReplicaState[]
  /** Time since the store came back from an outage, in milliseconds, if that was a short time ago. */
  recoveredMs?: number
  /** Time for which the store has been read without a long interruption, in milliseconds; absent in older versions' messages. */
  steadyMs?: number
}

/** One replica: the changes after the requester's version, or all rows. */
export interface ReplicaState {
  table: TableName
  /** Version after which the changes start; absent if `rows` has all rows of the table. */
  from?: number
  version: number
  /** Era of the store that the versions belong to; absent in older versions' messages. */
  era?: number
  ageMs: number
  rows: StoredRow[]
}

/** Replica versions that the requesting member already has. */
export interface PeerStateQuery {
  versions: Partial<Record<TableName, number>>
  /** Eras of the store that the versions belong to; absent in older versions' messages. */
  eras?: Partial<Record<TableName, number>>
}
