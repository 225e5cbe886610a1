/** Requests to a scheduler for a backend server, its decisions and the reports on attempts. */
import type { RegisteredServer } from '../discovery/registeredServer.js'
import type { Member } from '../members/member.js'
import type { PlaceMessage } from '../members/peerMessages.js'
import type { LoadReport } from './loadReading.js'

/** Why a server is requested. */
export type Purpose =
  /** First attempt of a request. */
  | 'first'
  /** First attempt, passed on by an overloaded cell. */
  | 'diverted'
  /** Nothing has been sent yet: the server was unreachable, or the grant could not be used. */
  | 'again'
  /** The server of an earlier attempt did not answer, or refused the request. */
  | 'retry'
  /** A second server, while the first one has not answered yet. */
  | 'hedge'

/** What a scheduler needs to know about a request. */
export interface PlacementRequest {
  /** Unique over all entries and attempts. */
  id: string
  /** The caller's identifier for the request, for logs. */
  label: string
  service: string
  /** Cell of the service that the request was sent to. */
  cell: string
  /** Requests of the same route take a similar time. */
  route: string
  purpose: Purpose
  /** 0 is served first. */
  priority: number
  /** When the answer should arrive to meet the target latency, by the scheduler's clock. */
  targetAt: number
  /** When the caller stops waiting for an answer. */
  deadlineAt: number
  /** How long the caller was willing to wait when its request arrived, in milliseconds. */
  waitMs: number
  /** The declared target latency of the route, in milliseconds. The first estimate of its work is derived from it. */
  targetMs: number
  /** Ids of servers that it must not be sent to. */
  avoid: string[]
  /** Servers to which the entry has an open connection that the request may use. */
  connected?: readonly string[]
  /** The customer whose request it is. */
  customer?: string
  /** Availability zone of the entry that will send it. */
  zone: string
  /** Size of its body as far as it is known. */
  bodyBytes: number
}

/** The decision to send a request to a server. */
export interface Grant {
  request: PlacementRequest
  server: RegisteredServer
  /** Expected response time, in milliseconds. */
  expectedMs: number
  /** The load reading that the choice was based on; absent if there was none. */
  basis?: GrantBasis
}

/** The load reading that a grant was based on. */
export interface GrantBasis {
  ageMs: number
  running: number
  waiting: number
  pace: number
}

/** Why a request was refused. */
export type RefusalReason = 'no-server' | 'overload' | 'deadline' | 'budget'

/** The decision to refuse a request, and when the caller may retry. */
export interface Refusal {
  request: PlacementRequest
  reason: RefusalReason
  retryAfterMs: number
  /** Another cell of the service with free capacity; the entry sends the request there instead of failing it. */
  elsewhere?: string
}

/** How an attempt ended. */
export type AttemptOutcome =
  /** A complete answer with a status below 500. */
  | 'answered'
  /** A complete answer that reports a failure of the server. */
  | 'failed'
  /** A complete answer that reports a failure of a service that the server called, where the call was already retried. */
  | 'failed-below'
  /** The server reported that it did not run the request. */
  | 'shed'
  /** Another server has this address now; the request did not run. */
  | 'moved'
  /** The connection failed; nothing was sent. */
  | 'unreachable'
  /** The request was sent, and no complete answer arrived. */
  | 'lost'
  /** The entry cancelled the attempt. */
  | 'cancelled'
  /** The request was granted and then not sent. */
  | 'unused'

/** Reports how an attempt ended. */
export interface AttemptReport {
  outcome: AttemptOutcome
  tookMs: number
  load?: LoadReport
  /** Requests a second that the server takes from all entries together, if its answer stated that. */
  limitPerSecond?: number
  /** Size of the answer's body, if it was complete and buffered. */
  answerBytes?: number
}

/** The report for a grant that was not used. */
export const UNUSED_REPORT: AttemptReport = { outcome: 'unused', tookMs: 0 }

/** Converts a message's remaining times to times of this process's clock. */
export function requestOf (id: string, from: Member, message: PlaceMessage, now: number): PlacementRequest {
  const { label, service, cell, route, purpose, priority, targetMs, targetLeftMs, leftMs, waitMs, avoid } = message
  const { bodyBytes = 0, customer, connected } = message
  return {
    id,
    label,
    service,
    cell,
    route,
    purpose,
    priority,
    targetMs,
    waitMs,
    avoid,
    connected,
    customer,
    zone: from.zone,
    bodyBytes,
    targetAt: now + targetLeftMs,
    deadlineAt: now + leftMs
  }
}
