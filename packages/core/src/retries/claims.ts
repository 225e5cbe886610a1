/** Idempotency keys: one request a key, whichever entry it comes to. */
import type { Outbox } from '../effects.js'
import type { ClaimRow } from '../membership/tables.js'
import type { Request } from '../routing/request.js'

/** What came of asking for a key. */
export type ClaimResult = 'claimed' | 'duplicate' | 'unavailable'

/** Asks for claims and settles them when their requests end. */
export class Claims {
  private readonly _asked = new Map<number, Request>()
  private readonly _held = new Set<number>()
  private readonly _outbox: Outbox

  constructor (outbox: Outbox) {
    this._outbox = outbox
  }

  /** Requests whose claim is not answered yet. */
  get waiting (): IterableIterator<Request> {
    return this._asked.values()
  }

  /** Asks the table service for the key, before the request may run. */
  ask (request: Request): void {
    this._asked.set(request.id, request)
    this._outbox.put({ kind: 'claim', request: request.id, service: request.service, key: request.idempotencyKey! })
  }

  /** Notes the answer; returns whether the request may go on. */
  take (id: number, result: ClaimResult, open: boolean): boolean {
    const request = this._asked.get(id)
    if (!request) return false
    this._asked.delete(id)
    if (result === 'duplicate') return false
    if (result === 'unavailable') return open && request.claims === 'local'
    this._held.add(id)
    if (!open) this._settle(request, 'not-run')
    return open
  }

  /** The request has ended: a key of one that did not run is free again. */
  settle (request: Request): void {
    if (!this._held.has(request.id)) return
    this._settle(request, request.state === 'answered' || request.state === 'not-run' ? request.state : 'unknown')
  }

  private _settle (request: Request, outcome: ClaimRow['outcome']): void {
    this._held.delete(request.id)
    this._outbox.put({ kind: 'settle-claim', request: request.id, service: request.service, key: request.idempotencyKey!, outcome })
  }
}
