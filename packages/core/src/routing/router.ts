/** The life of each request at this entry: queued, dispatched, sent on, answered or refused. */
import type { Revisions } from '../configuration/revisions.js'
import type { Outbox, RefuseEffect } from '../effects.js'
import type { ClaimEvent } from '../events.js'
import type { Invariants } from '../invariants.js'
import type { AttemptEnd, BackendServer } from '../limits/backendServer.js'
import type { Claims } from '../retries/claims.js'
import type { PeerChoice } from './peerChoice.js'
import { newRequest, type Reason, type Request, type RequestSpec } from './request.js'
import type { ServiceHolder } from './serviceHolder.js'

/** What a peer's answer to a request that was sent on says. */
export interface ForwardEnd {
  outcome: 'answered' | 'not-run' | 'unknown' | 'refused' | 'lost' | 'expired' | 'cancelled'
  /** Whether the peer had to let it wait, or had no room at all. */
  busy: boolean
  reason?: Reason
}

/** What the router asks of the entry's holdings. */
export interface Holdings {
  holderOf (service: string): ServiceHolder | undefined
  /** Whether servers of the service are on their way here. */
  isComing (service: string): boolean
  /** Told when an attempt at a server has ended. */
  attemptEnded (server: BackendServer): void
  /** Whether this entry may dispatch at this moment. */
  mayDispatch (now: number): boolean
}

/** What the router is built from. */
export interface RouterOptions {
  revisions: Revisions
  holdings: Holdings
  claims: Claims
  outbox: Outbox
  invariants: Invariants
  peers: PeerChoice
}

/** One attempt that has not ended. */
interface Attempt {
  id: number
  request: Request
  startedAt: number
  /** The server, or nothing when it was sent on to the peer. */
  server?: BackendServer
  holder?: ServiceHolder
  peer?: string
}

const MOST_HOPS = 2
const MOST_FORWARDS = 2
/** A wait shorter than the way to another holder is no reason to send a request on. */
const HOP_MS = 2
const RETRY_AFTER_MS = 1000

/** Routes requests and notes what becomes of each. */
export class Router {
  private readonly _requests = new Map<number, Request>()
  private readonly _attempts = new Map<number, Attempt>()
  private readonly _peers: PeerChoice
  private readonly _options: RouterOptions
  private _lastAttempt = 0

  constructor (options: RouterOptions) {
    this._options = options
    this._peers = options.peers
  }

  /** Requests that have no outcome yet. */
  get open (): number {
    return this._requests.size
  }

  /** When an attempt's answer is due. */
  deadlineOf (attempt: number): number {
    return this._attempts.get(attempt)?.request.deadlineAt ?? 0
  }

  arrive (spec: RequestSpec, now: number): void {
    const request = newRequest(spec)
    this._requests.set(request.id, request)
    const refusal = this._refusalAtOnce(request, now)
    if (refusal) return this._refuse(request, refusal)
    if (request.idempotencyKey !== undefined && !request.idempotent) return this._options.claims.ask(request)
    this._place(request, now)
  }

  /** The idempotency key is this request's, or another's, or nobody can tell. */
  claimed ({ request: id, result, earlier }: ClaimEvent, now: number): void {
    const request = this._requests.get(id)
    const granted = this._options.claims.take(id, result, request !== undefined)
    if (!request) return
    if (!granted) return this._refuse(request, result === 'duplicate' ? 'duplicate' : 'claims-unavailable', earlier)
    request.ambiguous = false
    if (now >= request.deadlineAt) return this._refuse(request, 'expired')
    this._place(request, now)
  }

  /** An attempt at a backend server ended. */
  attemptEnded (id: number, end: AttemptEnd, now: number): void {
    const attempt = this._attempts.get(id)
    if (!attempt?.server || !attempt.holder) return
    this._close(attempt)
    this._endAt(attempt.server, attempt.holder, id, end, now)
    const { request } = attempt
    if (this._requests.has(request.id)) this._settle(request, attempt, end, now)
    this.drain(request.service, now)
  }

  /** An attempt's answer has begun to reach the caller: the request's other attempts are of no use any more. */
  streaming (id: number, now: number): void {
    const request = this._attempts.get(id)?.request
    if (!request) return
    request.hedged = true
    for (const open of request.open.filter((other) => other !== id)) this._cancel(open, now)
  }

  /** A request that was sent on came back. */
  forwardEnded (id: number, end: ForwardEnd, now: number): void {
    const attempt = this._attempts.get(id)
    if (!attempt?.peer) return
    this._close(attempt)
    const { request } = attempt
    this._peers.noted(attempt.peer, end, now)
    if (!this._requests.has(request.id)) return
    if (end.outcome === 'answered') return this._answered(request, attempt, now)
    if (end.outcome === 'not-run' || end.outcome === 'refused') return this._bounced(request, end.reason ?? 'refused', now)
    request.ambiguous = true
    this._retryOrEnd(request, end.reason ?? (end.outcome === 'expired' ? 'expired' : 'lost'), now)
  }

  /** The caller has gone. A request that must not run twice is let run to its end, so that its outcome is known. */
  cancelled (id: number, now: number): void {
    const request = this._requests.get(id)
    if (!request) return
    if (request.state === 'dispatched' && !request.idempotent) return
    this._options.outbox.log({ decision: 'cancelled', request: id, service: request.service })
    for (const open of [...request.open]) this._cancel(open, now)
    this._refuse(request, 'cancelled')
  }

  /** Gives free slots to those who wait. */
  drain (service: string, now: number): void {
    const holder = this._options.holdings.holderOf(service)
    if (!holder) return
    for (let next = holder.queue.peek(); next; next = holder.queue.peek()) {
      if (now >= next.deadlineAt) {
        holder.queue.shift()
        this._refuse(next, 'expired')
        continue
      }
      if (!this._options.holdings.mayDispatch(now)) return
      const server = holder.pick(next, now)
      if (!server) return
      holder.queue.shift()
      this._dispatch(next, holder, server, now)
    }
  }

  /** Places all that waits for a service anew: its servers have moved. */
  replace (holder: ServiceHolder, now: number): void {
    const waiting = [...holder.queue]
    for (const request of waiting) holder.queue.remove(request)
    for (const request of waiting) this._place(request, now)
  }

  /** Ends what is overdue and asks a second server where a first is late. */
  tick (now: number): void {
    for (const attempt of [...this._attempts.values()]) {
      if (now >= attempt.request.deadlineAt) this._expire(attempt, now)
      else this._maybeHedge(attempt, now)
    }
    for (const request of this._options.claims.waiting) {
      if (now >= request.deadlineAt && this._requests.has(request.id)) this._refuse(request, 'expired')
    }
  }

  /** Ends waiting requests whose time is over, wherever they are in the queue. */
  expireQueued (holder: ServiceHolder, now: number): void {
    for (const request of [...holder.queue]) {
      if (now < request.deadlineAt) continue
      holder.queue.remove(request)
      this._refuse(request, 'expired')
    }
  }

  private _refusalAtOnce (request: Request, now: number): Reason | undefined {
    const { revisions } = this._options
    if (!revisions.service(request.service)) return 'no-configuration'
    if (request.depth > (revisions.document?.policies.maxDepth ?? 0)) return 'too-deep'
    if (now >= request.deadlineAt) return 'deadline'
    return undefined
  }

  /** Dispatches here if there is room, else sends on, else queues, else refuses. */
  private _place (request: Request, now: number): void {
    const holder = this._options.holdings.holderOf(request.service)
    const able = holder !== undefined && holder.servers.size > 0 && this._options.holdings.mayDispatch(now)
    if (!able) return this._placeElsewhere(request, holder, now)
    if (holder.queue.length === 0) {
      const server = holder.pick(request, now)
      if (server) return this._dispatch(request, holder, server, now)
    }
    if (holder.waitMs(request, now) > HOP_MS && request.hops === 0 && this._sendOn(request, now)) return
    if (holder.admits(request, now)) return this._queue(request, holder, now)
    this._refuse(request, 'full')
  }

  private _placeElsewhere (request: Request, holder: ServiceHolder | undefined, now: number): void {
    if (request.hops < MOST_HOPS && this._sendOn(request, now)) return
    const coming = holder !== undefined && this._options.holdings.isComing(request.service)
    if (coming && holder.queue.length < holder.service.queueLength) return this._queue(request, holder, now)
    this._refuse(request, 'no-holder')
  }

  private _queue (request: Request, holder: ServiceHolder, now: number): void {
    request.state = 'queued'
    holder.queue.push(request)
    this._options.outbox.log({
      decision: 'queued', request: request.id, service: request.service, figure: holder.queue.length
    })
    this.drain(request.service, now)
  }

  private _sendOn (request: Request, now: number): boolean {
    if (request.sentTo.length >= MOST_FORWARDS) return false
    const member = this._peers.choose(request, now)
    if (!member) return false
    const attempt = this._open(request, now)
    attempt.peer = member.instance
    request.sentTo.push(member.instance)
    this._options.outbox.log({
      decision: 'forwarded', request: request.id, service: request.service, instance: member.instance
    })
    this._options.outbox.put({
      kind: 'forward', request: request.id, attempt: attempt.id, to: member, leftMs: request.deadlineAt - now
    })
    return true
  }

  private _dispatch (request: Request, holder: ServiceHolder, server: BackendServer, now: number): void {
    const { invariants, holdings, outbox } = this._options
    invariants.check('lease-held', holdings.mayDispatch(now), () => `request ${request.id} without a valid lease`)
    invariants.check('zone-out', this._options.revisions.zoneIsIn(server.place.zone), () => `${server.place.zone} is out`)
    invariants.check('at-most-once', request.idempotent || (!request.ambiguous && request.open.length === 0),
      () => `request ${request.id} may have run already`)
    const attempt = this._open(request, now)
    attempt.server = server
    attempt.holder = holder
    if (request.dispatches === 0) holder.budget.earn(holder.service.retryRatio)
    request.dispatches += 1
    request.tried.push(server.place.id)
    server.begin(attempt.id, now)
    outbox.log({
      decision: 'dispatched', request: request.id, service: request.service, server: server.place.id, figure: server.inFlight
    })
    outbox.put({
      kind: 'dispatch',
      request: request.id,
      attempt: attempt.id,
      server: server.place,
      leftMs: request.deadlineAt - now,
      first: request.dispatches === 1
    })
  }

  private _open (request: Request, now: number): Attempt {
    this._lastAttempt += 1
    const attempt: Attempt = { id: this._lastAttempt, request, startedAt: now }
    this._attempts.set(attempt.id, attempt)
    request.open.push(attempt.id)
    request.state = 'dispatched'
    return attempt
  }

  private _close (attempt: Attempt): void {
    this._attempts.delete(attempt.id)
    const { open } = attempt.request
    open.splice(open.indexOf(attempt.id), 1)
  }

  private _settle (request: Request, attempt: Attempt, end: AttemptEnd, now: number): void {
    switch (end.outcome) {
      case 'answered': return this._answered(request, attempt, now)
      case 'shed':
      case 'refused': return this._retryOrEnd(request, end.outcome, now)
      case 'lost':
      case 'expired':
      case 'cancelled':
        request.ambiguous = true
        return this._retryOrEnd(request, end.outcome === 'cancelled' ? 'lost' : end.outcome, now)
    }
  }

  private _answered (request: Request, attempt: Attempt, now: number): void {
    this._finish(request, 'answered')
    for (const open of [...request.open]) this._cancel(open, now)
    this._options.outbox.log({ decision: 'answered', request: request.id, service: request.service, server: attempt.server?.place.id })
    this._options.outbox.put({ kind: 'answer', request: request.id, attempt: attempt.id })
  }

  /** Another try if the request bears it and the budget allows it; else the truth about what is known. */
  private _retryOrEnd (request: Request, reason: Reason, now: number): void {
    if (request.open.length > 0) return
    const holder = this._options.holdings.holderOf(request.service)
    if (holder && this._mayRetry(request, now) && holder.budget.spend()) {
      this._options.outbox.log({ decision: 'retried', request: request.id, service: request.service, reason })
      request.state = 'queued'
      return this._place(request, now)
    }
    this._refuse(request, reason)
  }

  private _mayRetry (request: Request, now: number): boolean {
    if (now >= request.deadlineAt || !request.replayable) return false
    if (!request.ambiguous) return true
    return request.idempotent && !request.retrySpent
  }

  /** A peer did not admit the request: it may be tried here, or at one other. */
  private _bounced (request: Request, reason: Reason, now: number): void {
    if (request.open.length > 0) return
    if (reason === 'expired' || now >= request.deadlineAt || !request.replayable) return this._refuse(request, reason)
    request.state = 'queued'
    const holder = this._options.holdings.holderOf(request.service)
    if (holder && holder.servers.size > 0 && this._options.holdings.mayDispatch(now) && holder.admits(request, now)) {
      return this._queue(request, holder, now)
    }
    if (this._sendOn(request, now)) return
    this._refuse(request, reason)
  }

  private _expire (attempt: Attempt, now: number): void {
    this._cancel(attempt.id, now)
    const { request } = attempt
    if (!this._requests.has(request.id) || request.open.length > 0) return
    request.ambiguous = true
    this._refuse(request, 'expired')
  }

  private _cancel (id: number, now: number): void {
    const attempt = this._attempts.get(id)
    if (!attempt) return
    this._close(attempt)
    this._options.outbox.put({ kind: 'cancel', attempt: id })
    attempt.request.ambiguous = true
    if (!attempt.server || !attempt.holder) return
    const late = now >= attempt.request.deadlineAt
    const end: AttemptEnd = { outcome: late ? 'expired' : 'cancelled', latencyMs: now - attempt.startedAt }
    this._endAt(attempt.server, attempt.holder, id, end, now)
  }

  /** Tells the holder, and the log if the server now stands otherwise. */
  private _endAt (server: BackendServer, holder: ServiceHolder, attempt: number, end: AttemptEnd, now: number): void {
    const before = server.state
    holder.ended(server, attempt, end, now)
    this._options.holdings.attemptEnded(server)
    if (server.state === before) return
    const { id, service } = server.place
    this._options.outbox.log({ decision: 'server-state', server: id, service, reason: server.state, figure: server.limit })
  }

  private _maybeHedge (attempt: Attempt, now: number): void {
    const { request, holder } = attempt
    if (!holder || request.hedgeAfterMs === undefined || request.hedged) return
    if (!request.idempotent || !request.replayable || now - attempt.startedAt < request.hedgeAfterMs) return
    if (holder.queue.length > 0 || !this._options.holdings.mayDispatch(now)) return
    const server = holder.pick(request, now)
    if (!server || request.tried.includes(server.place.id) || !holder.budget.spend()) return
    request.hedged = true
    this._options.outbox.log({ decision: 'hedged', request: request.id, service: request.service, server: server.place.id })
    this._dispatch(request, holder, server, now)
  }

  private _refuse (request: Request, reason: Reason, earlier?: RefuseEffect['earlier']): void {
    const outcome: RefuseEffect['outcome'] = request.ambiguous || request.open.length > 0 ? 'unknown' : 'not-run'
    this._finish(request, outcome)
    this._options.outbox.log({ decision: 'refused', request: request.id, service: request.service, reason })
    const effect = { kind: 'refuse' as const, request: request.id, outcome, reason, earlier }
    const temporary = reason === 'claims-unavailable' || (outcome === 'not-run' && (reason === 'full' || reason === 'no-holder'))
    this._options.outbox.put(temporary ? { ...effect, retryAfterMs: RETRY_AFTER_MS } : effect)
  }

  private _finish (request: Request, state: 'answered' | 'not-run' | 'unknown'): void {
    this._options.invariants.check('one-answer', this._requests.delete(request.id), () => `request ${request.id} ended twice`)
    this._options.invariants.check('not-run-truth', state !== 'not-run' || (!request.ambiguous && request.open.length === 0),
      () => `request ${request.id} may have run`)
    request.state = state
    this._options.claims.settle(request)
  }
}
