/**
 * The operators' HTTP interface. A configuration change sends a complete document; the answer has its revision or all faults found in it.
 */
import { timingSafeEqual } from 'node:crypto'
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import { parseDocument, ConfigurationError, type Document, type ConfigurationFault } from '@gooseberryspan/core'
import { parseRolloutRequest, type ConfigurationStore, type RolloutOrders } from '@gooseberryspan/store'
import { readBody } from '../caller/body.js'
import { BadRequest } from '../errors.js'
import { sendJson } from '../runtime/json.js'

/** Options of the operators' interface. */
export interface OperatorOptions {
  token: string
  store: ConfigurationStore
  rollouts: RolloutOrders
  /** Whether this deployment orders roll-outs. */
  hasRollouts: boolean
  status: () => unknown
  /** Generates a change id for requests that have none. */
  newId: () => string
}

const MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
const MAX_ORDER_BYTES = 4096
const WITHDRAWAL = 'DELETE /v1/rollouts/'

/** Creates the request handler of the operators' port. */
export function operatorListener (options: OperatorOptions): RequestListener {
  return (request, response) => {
    if (!isAuthorized(request, options.token)) return sendJson(response, 401, { error: 'a bearer token is needed' })
    handleRequest(request, response, options).catch((error: unknown) => {
      if (response.headersSent) return
      if (error instanceof ConfigurationError) return sendJson(response, 422, { outcome: 'refused', faults: error.faults })
      if (error instanceof BadRequest) return sendJson(response, error.status, refusalBody(error.field, error.message))
      sendJson(response, 503, { outcome: 'unavailable', error: error instanceof Error ? error.message : String(error) })
    })
  }
}

async function handleRequest (request: IncomingMessage, response: ServerResponse, options: OperatorOptions): Promise<void> {
  const route = `${request.method} ${(request.url ?? '/').split('?')[0]}`
  switch (route) {
    case 'GET /v1/status': return sendJson(response, 200, options.status())
    case 'GET /v1/configuration': return sendJson(response, 200, await options.store.read() ?? { revision: 0 })
    case 'POST /v1/configuration/validate':
      await readDocument(request)
      return sendJson(response, 200, { outcome: 'valid' })
    case 'POST /v1/rollouts': return orderRollout(request, response, options)
    case 'POST /v1/configuration': return changeConfiguration(request, response, options)
    default:
      if (route.startsWith(WITHDRAWAL)) return withdrawRollout(route.slice(WITHDRAWAL.length), response, options)
      return sendJson(response, 404, { error: `no ${route}` })
  }
}

async function orderRollout (request: IncomingMessage, response: ServerResponse, options: OperatorOptions): Promise<void> {
  if (!options.hasRollouts) return sendJson(response, 422, refusalOf('the settings state no exposureShare'))
  const body = await readBody(request, { holdBytes: MAX_ORDER_BYTES, mostBytes: MAX_ORDER_BYTES })
  const order = parseRolloutRequest(body.buffered.toString('utf8'))
  if (!order) return sendJson(response, 422, refusalOf('name the service, the version and the seconds that it may take'))
  await options.rollouts.place(order)
  sendJson(response, 200, { outcome: 'accepted' })
}

async function withdrawRollout (service: string, response: ServerResponse, options: OperatorOptions): Promise<void> {
  await options.rollouts.withdraw(decodeURIComponent(service))
  sendJson(response, 200, { outcome: 'accepted' })
}

function refusalOf (error: string): { outcome: 'refused', error: string } {
  return { outcome: 'refused', error }
}

async function changeConfiguration (request: IncomingMessage, response: ServerResponse, options: OperatorOptions): Promise<void> {
  const expected = expectedRevision(request)
  const changeId = request.headers['change-id']
  const document = await readDocument(request)
  const outcome = await options.store.change(document, expected, typeof changeId === 'string' ? changeId : options.newId())
  switch (outcome.kind) {
    case 'accepted': return sendJson(response, 200, { outcome: 'accepted', revision: outcome.revision })
    case 'conflict':
      return sendJson(response, 409, {
        ...refusalBody('', `revision ${outcome.revision} is in force, not ${expected}`), revision: outcome.revision
      })
    case 'unsettled': return sendJson(response, 504, { outcome: 'unsettled', error: outcome.reason })
  }
}

function refusalBody (path: string, reason: string): { outcome: 'refused', faults: ConfigurationFault[] } {
  return { outcome: 'refused', faults: [{ path, reason }] }
}

async function readDocument (request: IncomingMessage): Promise<Document> {
  const body = await readBody(request, { holdBytes: MAX_DOCUMENT_BYTES, mostBytes: MAX_DOCUMENT_BYTES })
  return parseDocument(body.buffered.toString('utf8'))
}

function expectedRevision (request: IncomingMessage): number {
  const text = request.headers['if-match']
  if (text === undefined || !/^"?\d{1,15}"?$/.test(text)) {
    throw new BadRequest(428, 'if-match', 'name the revision that the change follows on, for example if-match: 7')
  }
  return Number(text.replaceAll('"', ''))
}

function isAuthorized (request: IncomingMessage, token: string): boolean {
  const given = Buffer.from(request.headers.authorization ?? '')
  const expected = Buffer.from(`Bearer ${token}`)
  return given.length === expected.length && timingSafeEqual(given, expected)
}
