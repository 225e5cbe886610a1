/** The port for callers: addresses, status, and requests to services. */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import type { RequestSpec } from '@gooseberryspan/core'
import { BadRequest } from '../errors.js'
import type { EntryNode } from '../runtime/entryNode.js'
import { readBody } from '../runtime/body.js'
import { Exchange } from '../runtime/exchange.js'
import { resolveForwarded, resolveRequest, type ResolveContext } from './resolve.js'

/** What the callers' port is built from. */
export interface CallerOptions {
  node: EntryNode
  holdBytes: number
}

/** Answers callers and takes requests that peers sent on. */
export class CallerListener {
  private readonly _options: CallerOptions

  constructor (options: CallerOptions) {
    this._options = options
  }

  /** For the callers' port. */
  readonly listener: RequestListener = (request, response) => {
    const url = request.url ?? '/'
    const { node } = this._options
    if (url.startsWith('/v1/addresses')) return this._addresses(request, response)
    if (url === '/v1/status') return json(response, 200, node.status())
    if (url === '/healthz') return json(response, 200, { healthy: true })
    if (url === '/readyz') return json(response, node.ready ? 200 : 503, { ready: node.ready })
    this._take(request, response, resolveRequest)
  }

  /** For requests that peers sent on. */
  readonly forwarded: RequestListener = (request, response) => {
    this._take(request, response, resolveForwarded)
  }

  private _addresses (request: IncomingMessage, response: ServerResponse): void {
    const { node } = this._options
    if (request.method !== 'GET') return refuseBad(response, new BadRequest(405, 'method', 'addresses are asked for by GET'), node)
    const service = new URL(request.url ?? '/', 'http://entry').searchParams.get('service')
    if (service === null) return refuseBad(response, new BadRequest(400, 'service', 'name a service: ?service=NAME'), node)
    if (!node.core.revisions.service(service)) return refuseBad(response, new BadRequest(404, 'service', `no service '${service}'`), node)
    const addresses = node.core.addressesOf(service)
    if (!addresses) return json(response, 503, { error: 'this entry has lost touch; ask another' })
    const keepMs = node.core.revisions.document?.policies.addressKeepMs ?? 0
    json(response, 200, { service, addresses, keepMs, revision: node.core.revisions.revision })
  }

  private _take (
    request: IncomingMessage, response: ServerResponse, resolve: (message: IncomingMessage, context: ResolveContext) => RequestSpec
  ): void {
    const { node } = this._options
    let spec: RequestSpec
    try {
      spec = resolve(request, node.resolveContext())
    } catch (error) {
      return refuseBad(response, error, node)
    }
    const mostBytes = node.core.revisions.document?.policies.maxBodyBytes ?? 0
    readBody(request, { holdBytes: this._options.holdBytes, mostBytes }).then((body) => {
      spec.replayable = body.rest === undefined
      const exchange = new Exchange({ request, response, spec, body, names: node.names, isClosing: () => node.stopping })
      response.on('close', () => {
        if (!response.writableFinished) node.callerLeft(spec.id)
      })
      node.arrive(exchange)
    }).catch((error: unknown) => refuseBad(response, error, node))
  }
}

/** Sends a JSON answer. */
export function json (response: ServerResponse, status: number, value: unknown): void {
  const text = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

/** A request that was not understood has not run. */
function refuseBad (response: ServerResponse, error: unknown, node: EntryNode): void {
  if (response.headersSent || response.destroyed) return
  const bad = error instanceof BadRequest ? error : new BadRequest(500, 'request', 'internal error')
  if (!(error instanceof BadRequest)) node.log.error({ err: error }, 'request failed inside')
  const text = JSON.stringify({ outcome: 'not-run', field: bad.field, error: bad.message })
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    [node.names.outcome]: 'not-run',
    [node.names.reason]: 'bad-request'
  }
  if (bad.status === 413) headers.connection = 'close'
  response.writeHead(bad.status, headers)
  response.end(text)
}
