/** Request handler of the port for callers. */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { expiryOf, type FailureOutcome, type RequestSpec } from '@gooseberryspan/core'
import { BadRequest } from '../errors.js'
import { singleHeader } from '../headers.js'
import type { EntryNode } from '../runtime/entryNode.js'
import { readBody } from './body.js'
import { Exchange } from './exchange.js'
import type { Hold, HoldBudget, HoldRefusal } from './holdBudget.js'
import { resolveRequest } from './resolve.js'

/** Options of a `CallerListener`. */
export interface CallerListenerOptions {
  node: EntryNode
  /** Bodies up to this size are buffered, in bytes; larger ones are streamed. */
  holdBytes: number
  budget: HoldBudget
  /** Whether the connection of a request is to be closed after the response to it, if this entry is stopping. */
  closeAfter: (request: IncomingMessage) => boolean
}

/** Reason of a refusal by a stopping entry, as for those of the core. */
const STOPPING = 'not-run: stopping'
const STOPPING_RETRY_AFTER_S = '0.1'
const NO_CONFIGURATION_RETRY_AFTER_S = '0.25'

/** Validates callers' requests and passes them to the node. */
export class CallerListener {
  private readonly _options: CallerListenerOptions
  private readonly _openRequests = new WeakMap<Socket, Set<number>>()
  /** Refuse the requests whose bodies have not been read yet. */
  private readonly _unread = new Set<() => void>()
  private readonly _holds = new WeakMap<Socket, Set<Hold>>()

  constructor (options: CallerListenerOptions) {
    this._options = options
  }

  readonly listener: RequestListener = (request, response) => {
    const { node } = this._options
    response.on('error', () => {})
    const reject = (error: unknown): void => rejectBadRequest(response, error, node, () => this._isClosing(request))
    const refuse = (): void => {
      node.report({ decision: 'refused', request: singleHeader(request.headers, node.dialect.headers.requestId), reason: STOPPING })
      reject(new BadRequest(503, 'entry', 'this entry is stopping'))
    }
    if (!node.acceptsRequests) return refuse()
    const hold = this._openHold(request, response)
    if (typeof hold === 'string') return this._refuseOpening(hold, request, response)
    const startedAt = node.now
    let spec: RequestSpec
    try {
      spec = resolveRequest(request, node.resolveContext())
    } catch (error) {
      return reject(error)
    }
    if (!node.core.plannedStop.leavesTimeFor(expiryOf(spec, startedAt))) return refuse()
    this._unread.add(refuse)
    const mostBytes = node.core.declarations.limits!.bodyBytes
    const { hasCustomers } = node.core.declarations
    const { holdBytes } = this._options
    const timeoutMs = expiryOf(spec, startedAt) - startedAt
    const limits = { holdBytes, mostBytes, timeoutMs, take: (bytes: number) => hold.take(bytes) }
    readBody(request, limits).finally(() => this._unread.delete(refuse)).then((body) => {
      spec.replayable = body.rest === undefined
      spec.bodyBytes = body.length
      spec.deadlineMs -= node.now - startedAt
      if (request.socket.destroyed || response.headersSent) return
      const isClosing = (): boolean => this._isClosing(request)
      const exchange = new Exchange({ request, response, spec, body, hold, dialect: node.dialect, hasCustomers, isClosing })
      this._trackRequest(request, response, spec.id)
      hold.retain()
      node.acceptRequest(exchange)
    }).catch(reject)
  }

  /** Refuses the requests whose bodies have not been read yet. */
  refuseUnread (): void {
    for (const refuse of [...this._unread]) refuse()
    this._unread.clear()
  }

  private _isClosing (request: IncomingMessage): boolean {
    return this._options.node.closing && this._options.closeAfter(request)
  }

  /** Of a connection with too many open requests, nothing more is read: the caller sends elsewhere what follows. */
  private _refuseOpening (refusal: HoldRefusal, request: IncomingMessage, response: ServerResponse): void {
    const { node, closeAfter } = this._options
    const isClosing = (): boolean => refusal === 'requests-of-connection' ? closeAfter(request) : this._isClosing(request)
    rejectBadRequest(response, new BadRequest(503, 'entry', 'too many requests are open'), node, isClosing)
  }

  /** Holds memory for a request until its answer has been taken or its connection has closed, and the core has ended it. */
  private _openHold ({ socket }: IncomingMessage, response: ServerResponse): Hold | HoldRefusal {
    const hold = this._options.budget.open(socket)
    if (typeof hold === 'string') return hold
    let holds = this._holds.get(socket)
    if (!holds) {
      holds = new Set()
      this._holds.set(socket, holds)
      const openHolds = holds
      // Node does not close a response that waits for an earlier one on its connection.
      socket.once('close', () => {
        for (const each of openHolds) each.release()
        openHolds.clear()
      })
    }
    const openHolds = holds
    openHolds.add(hold)
    response.once('close', () => {
      if (openHolds.delete(hold)) hold.release()
    })
    return hold
  }

  /** When a caller closes its connection, reports each request that is still open on it as abandoned. */
  private _trackRequest (request: IncomingMessage, response: ServerResponse, id: number): void {
    const { socket } = request
    let open = this._openRequests.get(socket)
    if (!open) {
      open = new Set()
      this._openRequests.set(socket, open)
      const openRequests = open
      socket.once('close', () => {
        for (const each of openRequests) this._options.node.callerDisconnected(each)
      })
    }
    open.add(id)
    response.once('finish', () => open.delete(id))
  }
}

/** Rejects a request. An invalid one has not been sent to a backend server; after an internal error, that is unknown. */
function rejectBadRequest (response: ServerResponse, error: unknown, node: EntryNode, isClosing: () => boolean): void {
  if (response.headersSent || response.destroyed) return
  const bad = error instanceof BadRequest ? error : new BadRequest(500, 'request', 'internal error')
  if (!(error instanceof BadRequest)) node.log.error({ err: error }, 'request failed with an internal error')
  else if (bad.status !== 503) node.log.info({ decision: 'bad-request', field: bad.field, status: bad.status, reason: bad.message })
  const { outcome, reason, retryAfter } = node.dialect.headers
  const stated: FailureOutcome = error instanceof BadRequest ? 'not-run' : 'unknown'
  const text = JSON.stringify({ outcome: stated, field: bad.field, error: bad.message })
  const headers: Record<string, string | number> = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }
  if (outcome !== undefined) headers[outcome] = stated
  if (reason !== undefined) headers[reason] = 'bad-request'
  if (bad.status === 503) headers[retryAfter] = node.closing ? STOPPING_RETRY_AFTER_S : NO_CONFIGURATION_RETRY_AFTER_S
  if (bad.status === 408 || bad.status === 413 || isClosing()) headers.connection = 'close'
  response.writeHead(bad.status, headers)
  response.end(text)
}
