/** Delivers the decisions of this entry's schedulers to the entries that sent the requests. */
import type { Outbox } from '../effects.js'
import type { Member } from '../members/member.js'
import type { Roster } from '../members/roster.js'
import type { Grant, PlacementRequest, Refusal } from './placementRequest.js'

/** Receives the decisions on this entry's own requests. */
export interface LocalRequestListener {
  granted (ask: number, grant: Omit<Grant, 'request'>, now: number): void
  refused (ask: number, refusal: Omit<Refusal, 'request'>, now: number): void
}

/** The entry that a request came from, and the state of the request. */
export interface RequestOrigin {
  from: string
  /** Identifies the process of the entry: a restarted process numbers its requests from the beginning. */
  incarnation: number
  ask: number
  cell: string
  at: number
  acknowledged: boolean
  grant?: Grant
}

/** What the decisions are delivered with. */
export interface PlacementDecisionsOptions {
  roster: Roster
  outbox: Outbox
}

/** A request that is still waiting is acknowledged after this time. */
const ACKNOWLEDGE_DELAY_MS = 8

/** Remembers which entry sent each request, so that a decision can be sent again when its message was lost. */
export class PlacementDecisions {
  private readonly _options: PlacementDecisionsOptions
  private readonly _origins = new Map<string, RequestOrigin>()
  private _localRequests!: LocalRequestListener

  constructor (options: PlacementDecisionsOptions) {
    this._options = options
  }

  /** Sets the listener after construction, since the host of the schedulers and the listener refer to each other. */
  connect (localRequests: LocalRequestListener): void {
    this._localRequests = localRequests
  }

  /** The origin of a request that has not ended. */
  origin (id: string): RequestOrigin | undefined {
    return this._origins.get(id)
  }

  /** Starts to track a request. */
  add (id: string, { instance: from, incarnation }: Member, { ask, cell }: Pick<RequestOrigin, 'ask' | 'cell'>, now: number): void {
    this._origins.set(id, { from, incarnation, ask, cell, at: now, acknowledged: false })
  }

  remove (id: string): void {
    this._origins.delete(id)
  }

  /** Sends a grant to the entry that the request came from. */
  granted (grant: Grant, now: number): void {
    const origin = this._origins.get(grant.request.id)
    if (!origin) return
    origin.grant = grant
    const { server, request, expectedMs, basis } = grant
    this._options.outbox.log({
      decision: 'granted',
      request: request.label,
      service: request.service,
      server: server.id,
      instance: origin.from,
      purpose: request.purpose,
      expectedMs: Math.round(expectedMs),
      readingAgeMs: basis?.ageMs,
      running: basis?.running,
      waiting: basis?.waiting,
      pace: basis?.pace,
      tookMs: Math.round(now - origin.at)
    })
    this._sendGrant(origin, now)
  }

  /** Sends a refusal to the entry that the request came from, and forgets the request. */
  refused (request: PlacementRequest, refusal: Omit<Refusal, 'request'>, now: number): void {
    const origin = this._origins.get(request.id)
    if (!origin) return
    this._origins.delete(request.id)
    const { outbox, roster } = this._options
    if (origin.from === roster.self.instance) return this._localRequests.refused(origin.ask, refusal, now)
    const { reason, retryAfterMs, elsewhere } = refusal
    const to = roster.get(origin.from)
    outbox.log(
      { decision: 'refused', request: request.label, service: request.service, instance: origin.from, purpose: request.purpose, reason }
    )
    if (to) outbox.send(to, { kind: 'refused', ask: origin.ask, reason, retryAfterMs: Math.round(retryAfterMs), elsewhere })
  }

  /** Sends the decision on a request again, or that the request still waits. */
  resend (from: Member, origin: RequestOrigin, now: number): void {
    if (origin.grant) return this._sendGrant(origin, now)
    this._options.outbox.send(from, { kind: 'queued', asks: [origin.ask] })
  }

  /** Resends the decisions on the requests for which an entry still waits, and reports those that are unknown here. */
  resendAll (from: Member, asks: readonly number[], now: number): void {
    const unknown: number[] = []
    for (const ask of asks) {
      const origin = this._origins.get(requestIdOf(from.instance, ask))
      if (origin) this.resend(from, origin, now)
      else unknown.push(ask)
    }
    if (unknown.length > 0) this._options.outbox.send(from, { kind: 'unknown', asks: unknown })
  }

  /** Acknowledges waiting requests to their entries, and removes granted requests whose deadline has passed. */
  tick (now: number): void {
    const waiting = new Map<string, number[]>()
    for (const [id, origin] of this._origins) {
      const expired = origin.grant && now > origin.grant.request.deadlineAt
      if (expired) this._origins.delete(id)
      if (expired || origin.grant || origin.acknowledged || now - origin.at < ACKNOWLEDGE_DELAY_MS) continue
      origin.acknowledged = true
      const asks = waiting.get(origin.from)
      if (asks) asks.push(origin.ask)
      else waiting.set(origin.from, [origin.ask])
    }
    for (const [from, asks] of waiting) {
      const to = from === this._options.roster.self.instance ? undefined : this._options.roster.get(from)
      if (to) this._options.outbox.send(to, { kind: 'queued', asks })
    }
  }

  private _sendGrant ({ from, ask, grant }: RequestOrigin, now: number): void {
    const { outbox, roster } = this._options
    const { server, expectedMs, basis } = grant!
    if (from === roster.self.instance) return this._localRequests.granted(ask, { server, expectedMs, basis }, now)
    const to = roster.get(from)
    if (to) outbox.send(to, { kind: 'granted', ask, server, expectedMs: Math.round(expectedMs), basis })
  }
}

/** Identifies a request of an entry among the requests of all entries. */
export function requestIdOf (instance: string, ask: number): string {
  return `${instance}/${ask}`
}
