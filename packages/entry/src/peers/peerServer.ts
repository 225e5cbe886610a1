/** Request handler of the TCP port for other entries. */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import { peerRouter, type PeerStateSource } from './peerRouter.js'
import { encodeState } from './stateCodec.js'

/** Options of the peer listener. */
export interface PeerServerOptions {
  token: string | undefined
  source: PeerStateSource
}

/** Header that carries the token shared by all entries. */
export const TOKEN_HEADER = 'gooseberryspan-token'
/** Path of the only tRPC procedure. */
export const STATE_PATH = '/trpc/state'
/** Far above the size of a valid query, which names two versions. */
const MAX_QUERY_BYTES = 4096

/**
 * Creates the request handler of the peer port. It calls the procedure directly, since tRPC's HTTP adapters build `fetch` requests, for
 * which Node loads a second HTTP client of several megabytes.
 */
export function peerListener ({ token, source }: PeerServerOptions): RequestListener {
  const call = peerRouter(source).createCaller({})
  return (request, response) => {
    response.on('error', () => {})
    if (token !== undefined && request.headers[TOKEN_HEADER] !== token) return void response.writeHead(401).end()
    if (request.url !== STATE_PATH || request.method !== 'POST') return void response.writeHead(404).end()
    readQuery(request)
      .then((query) => call.state(query))
      .then((state) => response.end(encodeState(state)))
      .catch((error: unknown) => refuse(response, error))
  }
}

function refuse (response: ServerResponse, error: unknown): void {
  if (response.headersSent || response.destroyed) return
  response.writeHead(400).end(error instanceof Error ? error.message : String(error))
}

async function readQuery (request: IncomingMessage): Promise<never> {
  let text = ''
  for await (const part of request) {
    text += String(part)
    if (text.length > MAX_QUERY_BYTES) throw new Error('the question is too long')
  }
  // The router validates the query.
  return JSON.parse(text) as never
}
