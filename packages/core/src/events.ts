/** The events that the core receives. All of them can be serialized as JSON. */
import type { AddressBook } from './members/addressBook.js'
import type { PeerMessage, PeerState } from './members/peerMessages.js'
import type { AttemptReport } from './placement/placementRequest.js'
import type { ProbeAnswer } from './placement/serverRecord.js'
import type { RequestSpec } from './requests/request.js'
import type { TableName } from './store/row.js'
import type { TableReadResult } from './store/storeWatch.js'

/** Time to run periodic work. */
export interface TickEvent {
  kind: 'tick'
}

/** A caller's request. */
export interface RequestEvent {
  kind: 'request-arrived'
  request: RequestSpec
}

/** The caller closed its connection. */
export interface CallerLeftEvent {
  kind: 'caller-left'
  request: number
}

/** An attempt at a backend server ended. */
export interface AttemptEvent {
  kind: 'attempt-ended'
  attempt: number
  report: AttemptReport
  /** Status of the answer, when there is one. */
  status?: number
}

/** An attempt's answer exceeds the buffer limit, and part of it has been sent to the caller, so no other answer can be used. */
export interface StreamingEvent {
  kind: 'attempt-streaming'
  attempt: number
}

/** A probe of a backend server ended; it timed out if there is no answer. */
export interface ProbedEvent {
  kind: 'probed'
  server: string
  service: string
  answer?: ProbeAnswer
  /** Another server answered at this address. */
  moved?: boolean
}

/** A backend server stated something about itself in an answer. */
export interface ServerStatedEvent {
  kind: 'server-stated'
  server: string
  incarnation: string
  service: string
  /** It is leaving and takes no new requests. */
  leaving: boolean
  /** Time for which it wants nothing from this entry, in milliseconds. */
  holdMs?: number
  /** Requests a second that it takes from all entries together. */
  limitPerSecond?: number
}

/** A message from another entry arrived. */
export interface ReceivedEvent {
  kind: 'received'
  from: string
  incarnation: number
  message: PeerMessage
}

/** A pull from another entry ended; it failed if there is no state. */
export interface PulledEvent {
  kind: 'pulled'
  state?: PeerState
}

/** A read of a store table ended. */
export interface TableReadEvent {
  kind: 'table-read'
  table: TableName
  reading: TableReadResult
}

/** The store returned the registered entries. */
export interface EntriesFoundEvent {
  kind: 'entries-found'
  book: AddressBook
}

/** A write of a roll-out's record ended. It may still be applied later if the store did not answer. */
export interface RolloutWrittenEvent {
  kind: 'rollout-written'
  service: string
  /** Whether the store applied it, or refused it because the record has changed. */
  isDone: boolean
}

/** The port for callers opened or closed. It counts as open until an event says otherwise. */
export interface CallerPortEvent {
  kind: 'caller-port'
  isOpen: boolean
}

/** The process received the request to stop. */
export interface StopEvent {
  kind: 'stop'
}

export type Event =
  | TickEvent
  | RequestEvent
  | CallerLeftEvent
  | AttemptEvent
  | StreamingEvent
  | ProbedEvent
  | ServerStatedEvent
  | ReceivedEvent
  | PulledEvent
  | TableReadEvent
  | EntriesFoundEvent
  | CallerPortEvent
  | RolloutWrittenEvent
  | StopEvent
