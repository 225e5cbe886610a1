/** The TCP port for other entries. */
import type { RequestListener } from 'node:http'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { peerRouter, type PeerDesk } from './peerRouter.js'

/** What the peer port is built from. */
export interface PeerServerOptions {
  token: string | undefined
  desk: PeerDesk
}

/** Header by which entries show their secret. */
export const TOKEN_HEADER = 'gooseberryspan-token'
/** Path of the interface. */
export const PEER_PATH = '/trpc'

/** The listener of the peer port. */
export function peerListener ({ token, desk }: PeerServerOptions): RequestListener {
  const handle = createHTTPHandler({ router: peerRouter(desk), basePath: `${PEER_PATH}/` })
  return (request, response) => {
    if (token !== undefined && request.headers[TOKEN_HEADER] !== token) return void response.writeHead(401).end()
    if (request.url?.startsWith(PEER_PATH)) return void handle(request, response)
    response.writeHead(404).end()
  }
}
