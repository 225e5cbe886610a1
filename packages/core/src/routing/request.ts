/** A caller's request as the core sees it. */

/** Where a request stands. Only `queued` and `not-run` may be told to a caller as "not run". */
export type RequestState = 'queued' | 'dispatched' | 'answered' | 'not-run' | 'unknown'

/** Why a request was refused or ended without an answer. */
export type Reason =
  | 'no-holder'
  | 'full'
  | 'deadline'
  | 'expired'
  | 'shed'
  | 'refused'
  | 'lost'
  | 'duplicate'
  | 'claims-unavailable'
  | 'too-deep'
  | 'no-configuration'
  | 'cancelled'
  | 'zone-out'

/** What the edge resolved of an arriving request. */
export interface RequestSpec {
  /** Unique at this entry. */
  id: number
  service: string
  kind: string
  idempotent: boolean
  /** Whether the body is held, so that it can be sent again. */
  replayable: boolean
  weight: number
  /** Monotonic time by which the answer is due, in milliseconds. */
  deadlineAt: number
  /** Calls above this one in the chain. */
  depth: number
  /** Whether a level above has already retried. */
  retrySpent: boolean
  /** Who asks; requests of one caller share their part of a queue. */
  caller: string
  /** The caller's key for a request that must not run twice. */
  idempotencyKey?: string
  /** Entries it came through before this one. */
  hops: number
  /** Time after which a second server may be asked as well, in milliseconds. */
  hedgeAfterMs?: number
  claims: 'refuse' | 'local'
}

/** A request on its way through one entry. */
export interface Request extends RequestSpec {
  state: RequestState
  /** Dispatches of this request so far. */
  dispatches: number
  /** Servers that this request was tried at. */
  tried: string[]
  /** Attempts not ended. */
  open: number[]
  /** Entries it was sent on to from here. */
  sentTo: string[]
  /**
   * Whether it, or an earlier request with its key, may have run: until its key is claimed, and
   * once an attempt ended without showing if it ran.
   */
  ambiguous: boolean
  hedged: boolean
  /** Order in the queue; lower goes first. */
  rank: number
}

/** A request as it arrives. Every field is written out, which is far cheaper than a spread on the hot path. */
export function newRequest (spec: RequestSpec): Request {
  return {
    id: spec.id,
    service: spec.service,
    kind: spec.kind,
    idempotent: spec.idempotent,
    replayable: spec.replayable,
    weight: spec.weight,
    deadlineAt: spec.deadlineAt,
    depth: spec.depth,
    retrySpent: spec.retrySpent,
    caller: spec.caller,
    idempotencyKey: spec.idempotencyKey,
    hops: spec.hops,
    hedgeAfterMs: spec.hedgeAfterMs,
    claims: spec.claims,
    state: 'queued',
    dispatches: 0,
    tried: [],
    open: [],
    sentTo: [],
    ambiguous: !spec.idempotent && spec.idempotencyKey !== undefined,
    hedged: false,
    rank: 0
  }
}
