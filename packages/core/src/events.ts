/** Everything that can happen to an entry, as the core is told of it. All events can be written as JSON. */
import type { AcceptedDocument } from './configuration/revisions.js'
import type { AttemptEnd, LoadReport } from './limits/backendServer.js'
import type { PeerMessage } from './membership/messages.js'
import type { ClaimRow, TransactionResult } from './membership/tables.js'
import type { ClaimResult } from './retries/claims.js'
import type { ListChange } from './routing/directory.js'
import type { RequestSpec } from './routing/request.js'
import type { ForwardEnd } from './routing/router.js'

/** Time has passed. */
export interface TickEvent {
  kind: 'tick'
}

/** A caller's request, or one that another entry sent on. */
export interface RequestEvent {
  kind: 'request-arrived'
  request: RequestSpec
}

/** The caller closed its connection. */
export interface CancelledEvent {
  kind: 'request-cancelled'
  request: number
}

/** An attempt at a backend server ended. */
export interface AttemptEvent {
  kind: 'attempt-ended'
  attempt: number
  end: AttemptEnd
}

/** An attempt's answer is too large to hold and begins to reach the caller: no other answer can. */
export interface StreamingEvent {
  kind: 'attempt-streaming'
  attempt: number
}

/** A request that was sent on to a peer came back. */
export interface ForwardEvent {
  kind: 'forward-ended'
  attempt: number
  end: ForwardEnd
}

/** A claim for an idempotency key was answered. */
export interface ClaimEvent {
  kind: 'claim-answered'
  request: number
  result: ClaimResult
  /** How the earlier request with the key stands, when there is one. */
  earlier?: ClaimRow['outcome']
}

/** Transactions were answered; without results they may or may not have taken effect. */
export interface TransactedEvent {
  kind: 'transacted'
  id: number
  results?: TransactionResult[]
}

/** A peer's message arrived. */
export interface ReceivedEvent {
  kind: 'received'
  from: string
  incarnation: string
  message: PeerMessage
}

/** The platform's instance list was read. */
export interface ListedEvent {
  kind: 'listed'
  change: ListChange
}

/** A probe of a backend server ended. */
export interface ProbedEvent {
  kind: 'probed'
  server: string
  healthy: boolean
  report?: LoadReport
}

/** A peer's address refused the connection: no process listens there. */
export interface PeerGoneEvent {
  kind: 'peer-gone'
  instance: string
  incarnation: string
}

/** An operator's change was accepted through this entry. */
export interface AcceptedEvent {
  kind: 'accepted'
  accepted: AcceptedDocument
}

/** The process was asked to end. */
export interface StopEvent {
  kind: 'stop'
}

/** Every event. */
export type Event =
  | TickEvent
  | RequestEvent
  | CancelledEvent
  | AttemptEvent
  | StreamingEvent
  | ForwardEvent
  | ClaimEvent
  | TransactedEvent
  | ReceivedEvent
  | ListedEvent
  | ProbedEvent
  | PeerGoneEvent
  | AcceptedEvent
  | StopEvent
