/** The operators' HTTP interface: one whole document goes in, its revision or every reason against it comes out. */
import { timingSafeEqual } from 'node:crypto'
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import { parseDocument, RefusedDocument, type Document, type Fault } from '@gooseberryspan/core'
import type { ConfigurationStore } from '@gooseberryspan/store'
import { readBody } from '../caller/body.js'
import { BadRequest } from '../errors.js'
import { json } from '../runtime/json.js'

/** What the interface is built from. */
export interface OperatorOptions {
  token: string
  store: ConfigurationStore
  status: () => unknown
  newId: () => string
}

const MOST_DOCUMENT_BYTES = 8 * 1024 * 1024

/** The listener of the operators' port. */
export function operatorListener (options: OperatorOptions): RequestListener {
  return (request, response) => {
    if (!isAllowed(request, options.token)) return json(response, 401, { error: 'a bearer token is needed' })
    answer(request, response, options).catch((error: unknown) => {
      if (response.headersSent) return
      if (error instanceof RefusedDocument) return json(response, 422, { outcome: 'refused', faults: error.faults })
      if (error instanceof BadRequest) return json(response, error.status, refusal(error.field, error.message))
      json(response, 503, { outcome: 'unavailable', error: error instanceof Error ? error.message : String(error) })
    })
  }
}

async function answer (request: IncomingMessage, response: ServerResponse, options: OperatorOptions): Promise<void> {
  const route = `${request.method} ${(request.url ?? '/').split('?')[0]}`
  switch (route) {
    case 'GET /v1/status': return json(response, 200, options.status())
    case 'GET /v1/configuration': return json(response, 200, await options.store.read() ?? { revision: 0 })
    case 'POST /v1/configuration/validate':
      await readDocument(request)
      return json(response, 200, { outcome: 'valid' })
    case 'POST /v1/configuration': return change(request, response, options)
    default: return json(response, 404, { error: `no ${route}` })
  }
}

async function change (request: IncomingMessage, response: ServerResponse, options: OperatorOptions): Promise<void> {
  const expected = expectedRevision(request)
  const changeId = request.headers['change-id']
  const document = await readDocument(request)
  const outcome = await options.store.change(document, expected, typeof changeId === 'string' ? changeId : options.newId())
  switch (outcome.kind) {
    case 'accepted': return json(response, 200, { outcome: 'accepted', revision: outcome.revision })
    case 'conflict':
      return json(response, 409, {
        ...refusal('', `revision ${outcome.revision} is in force, not ${expected}`), revision: outcome.revision
      })
    case 'unsettled': return json(response, 504, { outcome: 'unsettled', error: outcome.reason })
  }
}

function refusal (path: string, reason: string): { outcome: 'refused', faults: Fault[] } {
  return { outcome: 'refused', faults: [{ path, reason }] }
}

async function readDocument (request: IncomingMessage): Promise<Document> {
  const body = await readBody(request, { holdBytes: MOST_DOCUMENT_BYTES, mostBytes: MOST_DOCUMENT_BYTES })
  return parseDocument(body.held.toString('utf8'))
}

function expectedRevision (request: IncomingMessage): number {
  const text = request.headers['if-match']
  if (text === undefined || !/^"?\d{1,15}"?$/.test(text)) {
    throw new BadRequest(428, 'if-match', 'name the revision that the change follows on, for example if-match: 7')
  }
  return Number(text.replaceAll('"', ''))
}

function isAllowed (request: IncomingMessage, token: string): boolean {
  const given = Buffer.from(request.headers.authorization ?? '')
  const wanted = Buffer.from(`Bearer ${token}`)
  return given.length === wanted.length && timingSafeEqual(given, wanted)
}
