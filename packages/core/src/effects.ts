/** What the core asks its surroundings to do, and the log line that explains each decision. */
import type { AcceptedDocument } from './configuration/revisions.js'
import type { PeerMessage } from './membership/messages.js'
import type { ClaimRow, Member, Transaction } from './membership/tables.js'
import type { ServerPlace } from './limits/backendServer.js'
import type { Reason } from './routing/request.js'

/** Send a request to a backend server. */
export interface DispatchEffect {
  kind: 'dispatch'
  request: number
  /** Unique at this entry; names the attempt in its end. */
  attempt: number
  server: ServerPlace
  /** Time left for the answer, in milliseconds. */
  leftMs: number
  /** Whether this attempt is the first of its request. */
  first: boolean
}

/** Send a request on to another entry. */
export interface ForwardEffect {
  kind: 'forward'
  request: number
  attempt: number
  to: Member
  leftMs: number
}

/** Give up an attempt and tell the far side. */
export interface CancelEffect {
  kind: 'cancel'
  attempt: number
}

/** Pass the answer of an attempt to the caller. */
export interface AnswerEffect {
  kind: 'answer'
  request: number
  attempt: number
}

/** Tell the caller that there is no answer. */
export interface RefuseEffect {
  kind: 'refuse'
  request: number
  outcome: 'not-run' | 'unknown'
  reason: Reason
  /** How the earlier request with the same idempotency key stands. */
  earlier?: ClaimRow['outcome']
  retryAfterMs?: number
}

/** Claim an idempotency key before its request runs. */
export interface ClaimEffect {
  kind: 'claim'
  request: number
  service: string
  key: string
}

/** Note how a claimed request ended. */
export interface SettleClaimEffect {
  kind: 'settle-claim'
  request: number
  service: string
  key: string
  outcome: ClaimRow['outcome']
}

/** Run transactions, each by itself, in the table service. */
export interface TransactEffect {
  kind: 'transact'
  id: number
  transactions: Transaction[]
}

/** Send a message to another entry. */
export interface SendEffect {
  kind: 'send'
  to: Member
  message: PeerMessage
}

/** Ask a backend server for its health and load. */
export interface ProbeEffect {
  kind: 'probe'
  server: ServerPlace
}

/** Close the connections to a backend server. */
export interface DisconnectEffect {
  kind: 'disconnect'
  server: ServerPlace
}

/** A new document is in force. */
export interface ConfiguredEffect {
  kind: 'configured'
  accepted: AcceptedDocument
}

/** Nothing is held or owed any more: the process may end. */
export interface LeftEffect {
  kind: 'left'
}

/** A log line; `decision` names what was decided. */
export interface LogEffect {
  kind: 'log'
  line: DecisionLine
}

/** What was decided, about what, and why. */
export interface DecisionLine {
  decision: Decision
  request?: number
  service?: string
  server?: string
  instance?: string
  shard?: string
  reason?: string
  /** Room, queue length, or another figure the decision rests on. */
  figure?: number
  view?: number
  revision?: number
}

/** Every decision that is logged. */
export type Decision =
  | 'dispatched'
  | 'queued'
  | 'forwarded'
  | 'refused'
  | 'retried'
  | 'hedged'
  | 'answered'
  | 'cancelled'
  | 'shard-taken'
  | 'shard-released'
  | 'view-adopted'
  | 'configuration-adopted'
  | 'joined'
  | 'confirmed'
  | 'evicted-peer'
  | 'lease-lost'
  | 'lease-lapsed'
  | 'stopping'
  | 'left'
  | 'server-added'
  | 'server-removed'
  | 'server-state'

/** Everything the core may ask for. */
export type Effect =
  | DispatchEffect
  | ForwardEffect
  | CancelEffect
  | AnswerEffect
  | RefuseEffect
  | ClaimEffect
  | SettleClaimEffect
  | TransactEffect
  | SendEffect
  | ProbeEffect
  | DisconnectEffect
  | ConfiguredEffect
  | LeftEffect
  | LogEffect

/** Collects effects until the surroundings take them. */
export class Outbox {
  private _effects: Effect[] = []

  put (effect: Effect): void {
    this._effects.push(effect)
  }

  log (line: DecisionLine): void {
    this._effects.push({ kind: 'log', line })
  }

  take (): Effect[] {
    const effects = this._effects
    this._effects = []
    return effects
  }
}
