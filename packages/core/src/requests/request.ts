/** The state that an entry keeps for a caller's request. */
import type { Customer, Route } from '../configuration/gateway.js'
import type { CountedRequest } from '../customers/quotas.js'
import type { RegisteredServer } from '../discovery/registeredServer.js'
import type { Purpose } from '../placement/placementRequest.js'

/** An arriving request as the caller listener passes it to the core. */
export interface RequestSpec {
  /** Unique at this entry. */
  id: number
  /** The request id that the caller set. */
  label: string
  route: Route
  /** The service that the weighted picker assigned it to. */
  service: string
  /** The customer that holds the request's key; absent if requests carry no keys, and on open routes. */
  customer?: Customer
  /** How long the caller waits for the answer, in milliseconds. */
  deadlineMs: number
  /** Whether its body is buffered, so that it can be sent again. */
  replayable: boolean
  /** Size of its body, if it is known. */
  bodyBytes?: number
  /** Whether a service further up the call chain has already retried it. */
  retrySpent: boolean
  /** Number of calls above this one in the call chain. */
  depth: number
}

/** A request to a scheduler for a backend server. Messages between entries carry its id as `ask`. */
export interface SchedulerRequest {
  id: number
  purpose: Purpose
  /** Cell from which the scheduler chooses the server. */
  cell: string
  /** Entry that runs the scheduler. */
  scheduler: string
  sentAt: number
  /** How often it was sent again because no answer came. */
  resendCount: number
  /** Whether the scheduler reported that the request is in its request queue. */
  queued: boolean
}

/** A request that was sent to a backend server. */
export interface Attempt {
  id: number
  ask: SchedulerRequest
  server: RegisteredServer
  sentAt: number
  expectedMs: number
}

/** A request that this entry has accepted and not yet ended. */
export interface OpenRequest {
  spec: RequestSpec
  arrivedAt: number
  /** Time at which the route's latency target is missed. */
  targetAt: number
  /** Time at which the caller's deadline or the route's timeout ends the request. */
  expiresAt: number
  asks: Map<number, SchedulerRequest>
  attempts: Map<number, Attempt>
  /** Servers that it was sent to, in order. */
  sentTo: string[]
  /** Servers that it must not be sent to. */
  avoid: string[]
  /** Cell whose scheduler it is sent to; changes when it is moved. */
  cell: string
  /** Whether it was moved to another cell. */
  moved: boolean
  /** Scheduler requests sent so far, counted over all purposes. */
  schedulerRequestCount: number
  /** Whether the server may have run an attempt that has ended. */
  mayHaveRun: boolean
  /** An attempt with an error answer, which is passed on if no other attempt succeeds. */
  fallbackAttempt?: number
  /** Time at which a hedge is due if the first server has not answered. */
  hedgeAt: number
  /** Whether part of an answer has been sent to the caller. */
  streaming: boolean
  /** Present if it counts for the quota of its customer. */
  counted?: CountedRequest
  callerLeft: boolean
}

/** The entry answers this long before the caller's deadline, so that the answer arrives in time. */
const RESPONSE_TRANSIT_MS = 4

/** Time at which the caller's deadline or the route's timeout ends a request that arrives now. */
export function expiryOf ({ route, deadlineMs }: RequestSpec, now: number): number {
  return now + Math.min(deadlineMs - RESPONSE_TRANSIT_MS, route.timeoutMs)
}

export function newRequest (spec: RequestSpec, cell: string, now: number): OpenRequest {
  const { route } = spec
  return {
    spec,
    arrivedAt: now,
    targetAt: now + route.targetMs,
    expiresAt: expiryOf(spec, now),
    asks: new Map(),
    attempts: new Map(),
    sentTo: [],
    avoid: [],
    cell,
    moved: false,
    schedulerRequestCount: 0,
    mayHaveRun: false,
    hedgeAt: Infinity,
    streaming: false,
    callerLeft: false
  }
}

/** Whether an attempt of one of the requests is running on a server of the service with one of these software versions. */
export function isRunningOn (requests: Iterable<OpenRequest>, service: string, versions: readonly string[]): boolean {
  for (const { attempts } of requests) {
    for (const { server } of attempts.values()) {
      if (server.service === service && versions.includes(server.softwareVersion ?? '')) return true
    }
  }
  return false
}
