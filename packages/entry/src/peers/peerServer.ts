/** The port for other entries: tRPC messages, and requests that were sent on. */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { single, type HeaderNames } from '../headers.js'
import { peerRouter, type PeerInbox } from './peerRouter.js'

/** What the peer port is built from. */
export interface PeerServerOptions {
  names: HeaderNames
  token: string | undefined
  inbox: PeerInbox
  forwarded: (request: IncomingMessage, response: ServerResponse) => void
}

const MESSAGES = '/trpc'

/** The listener of the peer port. */
export function peerListener (options: PeerServerOptions): RequestListener {
  const messages = createHTTPHandler({ router: peerRouter(options.inbox), basePath: `${MESSAGES}/` })
  return (request, response) => {
    if (options.token !== undefined && single(request.headers, options.names.token) !== options.token) {
      response.writeHead(401).end()
      return
    }
    if (request.headers[options.names.forward] !== undefined) return options.forwarded(request, response)
    if (request.url?.startsWith(MESSAGES)) return void messages(request, response)
    response.writeHead(404).end()
  }
}
