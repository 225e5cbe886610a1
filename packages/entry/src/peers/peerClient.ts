/** Asks other entries for their state by tRPC. */
import { createTRPCClient, httpLink } from '@trpc/client'
import type { PeerState, PeerStateQuery } from '@gooseberryspan/core'
import { peerStateSchema, type PeerRouter } from './peerRouter.js'
import { plainFetch } from './plainFetch.js'
import { PEER_PATH, TOKEN_HEADER } from './peerServer.js'

/** How entries are asked. */
export interface PeerOptions {
  token: string | undefined
  timeoutMs: number
}

/** Pulls state; one pull from an entry at a time. */
export class PeerClient {
  pulls = 0
  private readonly _options: PeerOptions
  private readonly _under = new Set<string>()

  constructor (options: PeerOptions) {
    this._options = options
  }

  /** The state of the entry at an address, or undefined when it does not answer. */
  async pull (host: string, port: number, query: PeerStateQuery): Promise<PeerState | undefined> {
    const url = `http://${host}:${port}${PEER_PATH}`
    if (this._under.has(url)) return undefined
    this._under.add(url)
    this.pulls += 1
    const { token, timeoutMs } = this._options
    const headers = token === undefined ? {} : { [TOKEN_HEADER]: token }
    const client = createTRPCClient<PeerRouter>({ links: [httpLink({ url, headers, fetch: plainFetch as never })] })
    try {
      return peerStateSchema.parse(await client.state.query(query, { signal: AbortSignal.timeout(timeoutMs) }))
    } catch {
      return undefined
    } finally {
      this._under.delete(url)
    }
  }
}
