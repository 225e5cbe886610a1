/** The effects that the core returns for the process to carry out, and the log line that explains each decision. */
import type { GatewayConfiguration } from './configuration/gateway.js'
import type { RegisteredServer } from './discovery/registeredServer.js'
import type { AddressBook } from './members/addressBook.js'
import type { Member, Standing } from './members/member.js'
import type { PeerMessage, Ping } from './members/peerMessages.js'
import type { Purpose } from './placement/placementRequest.js'
import type { TableName } from './store/row.js'

/** Send a request to a backend server. */
export interface DispatchEffect {
  kind: 'dispatch'
  request: number
  /** Unique at this entry; the event that reports the attempt's end carries it. */
  attempt: number
  server: RegisteredServer
  /** Time left for the answer, in milliseconds. */
  leftMs: number
  /** Whether it needs a new connection: the server may be closing a reused one at the same moment. */
  newConnection: boolean
  /** Whether it is a retry or a hedge. */
  isRetryOrHedge: boolean
}

/** Cancel an attempt by closing its connection to the server. */
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

/** What is known about the execution of a request that gets no answer. */
export type FailureOutcome = 'not-run' | 'unknown'

/** Why a caller gets no answer. */
export type FailureReason =
  /** The service has no usable backend server. */
  | 'no-server'
  /** The service's servers do not have the capacity to answer in time. */
  | 'overload'
  /** The deadline has passed or leaves too little time. */
  | 'deadline'
  /** The servers refused it, and it may not be retried now. */
  | 'shed'
  /** It was sent, and no complete answer came. */
  | 'lost'
  /** Its customer has used up its quota. */
  | 'quota'
  /** This entry is stopping. */
  | 'stopping'

/** Refuse the request to the caller. */
export interface RefuseEffect {
  kind: 'refuse'
  request: number
  outcome: FailureOutcome
  reason: FailureReason
  retryAfterMs?: number
}

/** Forget a request that ended without an answer or refusal, since its caller has closed the connection. */
export interface DiscardEffect {
  kind: 'discard'
  request: number
}

/** Ask a backend server for its health and load. */
export interface ProbeEffect {
  kind: 'probe'
  server: RegisteredServer
}

/** Close the idle connections to a backend server. */
export interface DisconnectEffect {
  kind: 'disconnect'
  server: RegisteredServer
}

/** Send a message to another entry in a datagram. */
export interface SendEffect {
  kind: 'send'
  to: Member
  message: PeerMessage
}

/** Send a ping to an address at which an entry may listen. */
export interface PingAddressEffect {
  kind: 'greet'
  host: string
  port: number
  message: Ping
}

/** Ask another entry for its copy of the store's tables. */
export interface PullEffect {
  kind: 'pull'
  host: string
  port: number
}

/** Read a table of the store: the changes after a version, or all rows if none is given. */
export interface ReadTableEffect {
  kind: 'read-table'
  table: TableName
  after?: number
  /** How long the store may delay its answer while nothing changes, in milliseconds. */
  waitMs: number
}

/** Read the registered entries from the store. */
export interface FindEntriesEffect {
  kind: 'find-entries'
}

/** Register this entry as change-feed leader, and the other entries that it knows, in the store. */
export interface RegisterEntriesEffect {
  kind: 'register-entries'
  book: AddressBook
}

/** Write the record of a roll-out and its status for the operator, if the record still has the expected version. */
export interface WriteRolloutEffect {
  kind: 'write-rollout'
  service: string
  /** Version that the record's row must have; 0 if it must not exist. */
  expectedVersion: number
  value: string
  status: RolloutStatus
}

/** What the operator reads of a roll-out. */
export interface RolloutStatus {
  status: 'running' | 'completed' | 'rolled-back'
  /** Software version that takes over. */
  target: string
}

/** A newer configuration has been adopted. */
export interface ConfigurationChangedEffect {
  kind: 'configured'
  gateway: GatewayConfiguration
}

/** All requests have ended, so the process may exit. */
export interface ExitEffect {
  kind: 'left'
}

/** A log line. */
export interface LogEffect {
  kind: 'log'
  line: DecisionLine
}

/** A decision, its subject and its reason. */
export interface DecisionLine {
  decision: Decision
  /** The request id that the caller set, or the number that this entry assigned. */
  request?: string
  route?: string
  service?: string
  /** Name of the customer whose request it is. */
  customer?: string
  server?: string
  /** Another entry. */
  instance?: string
  attempt?: number
  purpose?: Purpose
  reason?: string
  /** Age of the load reading on which the scheduler based its choice, in milliseconds. */
  readingAgeMs?: number
  running?: number
  waiting?: number
  pace?: number
  expectedMs?: number
  tookMs?: number
  leftMs?: number
  retryAfterMs?: number
  /** Requests a second that a server takes from all entries. */
  perSecond?: number
  status?: number
  standing?: Standing
  zone?: string
  table?: TableName
  version?: number
  /** Era of the store that the version belongs to. */
  era?: number
  softwareVersion?: string
  revision?: number
  count?: number
}

/** The logged decisions. */
export type Decision =
  | 'arrived'
  | 'scheduler-asked'
  | 'scheduler-silent'
  | 'scheduler-outdated'
  | 'granted'
  | 'dispatched'
  | 'attempt-ended'
  | 'retried'
  | 'hedged'
  | 'answered'
  | 'refused'
  | 'caller-left'
  | 'abandoned'
  | 'grant-unfit'
  | 'configuration-adopted'
  | 'zone-out'
  | 'zone-in'
  | 'server-listed'
  | 'server-unlisted'
  | 'server-draining'
  | 'server-silent'
  | 'server-back'
  | 'server-moved'
  | 'server-leaving'
  | 'server-held'
  | 'server-limited'
  | 'server-unlimited'
  | 'row-unreadable'
  | 'member'
  | 'phase'
  | 'watching'
  | 'entries-found'
  | 'warm'
  | 'store-lost'
  | 'store-regained'
  | 'store-takeover'
  | 'store-history-lost'
  | 'store-restored'
  | 'quota-holder-silent'
  | 'quota-handed-over'
  | 'quota-counting'
  | 'rollout-ordered'
  | 'rollout-withdrawn'
  | 'rollout-phase'
  | 'rollout-decided'
  | 'effect-failed'
  | 'left'

export type Effect =
  | DispatchEffect
  | CancelEffect
  | AnswerEffect
  | RefuseEffect
  | DiscardEffect
  | ProbeEffect
  | DisconnectEffect
  | SendEffect
  | PingAddressEffect
  | PullEffect
  | ReadTableEffect
  | FindEntriesEffect
  | RegisterEntriesEffect
  | WriteRolloutEffect
  | ConfigurationChangedEffect
  | ExitEffect
  | LogEffect

/** Collects effects until the process takes them. */
export class Outbox {
  private _effects: Effect[] = []

  put (effect: Effect): void {
    this._effects.push(effect)
  }

  send (to: Member, message: PeerMessage): void {
    this._effects.push({ kind: 'send', to, message })
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
