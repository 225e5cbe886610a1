/** Queries the state of other entries by tRPC over Node's http module. */
import { Agent, request, type IncomingMessage } from 'node:http'
import { createTRPCClient, TRPCClientError, type TRPCLink } from '@trpc/client'
import { observable } from '@trpc/server/observable'
import type { PeerState, PeerStateQuery } from '@gooseberryspan/core'
import type { PeerRouter } from './peerRouter.js'
import { STATE_PATH, TOKEN_HEADER } from './peerServer.js'
import { decodeState } from './stateCodec.js'

/** Options of a `PeerClient`. */
export interface PeerClientOptions {
  token: string | undefined
  timeoutMs: number
}

/** The address at which an entry listens for other entries. */
interface Address {
  host: string
  port: number
}

const agent = new Agent({ keepAlive: false })
/** Longest compressed state. The limit on the decompressed size is the same, and states shrink to a tenth. */
const MAX_RESPONSE_BYTES = 16_777_216

/** Pulls state from other entries, with at most one pull per entry at a time. */
export class PeerClient {
  pulls = 0
  private readonly _options: PeerClientOptions
  private readonly _activePulls = new Set<string>()

  constructor (options: PeerClientOptions) {
    this._options = options
  }

  /** Returns the state of the entry at an address, or undefined if the pull failed or another pull from that entry is in progress. */
  async pull (host: string, port: number, query: PeerStateQuery): Promise<PeerState | undefined> {
    const name = `${host}:${port}`
    if (this._activePulls.has(name)) return undefined
    this._activePulls.add(name)
    this.pulls += 1
    const client = createTRPCClient<PeerRouter>({ links: [httpLink({ host, port }, this._options)] })
    try {
      return await client.state.query(query)
    } catch {
      return undefined
    } finally {
      this._activePulls.delete(name)
    }
  }
}

/** Sends a tRPC call as one HTTP request. tRPC's built-in link needs `fetch`, for which Node loads a second HTTP client. */
function httpLink (address: Address, options: PeerClientOptions): TRPCLink<PeerRouter> {
  return () => ({ op }) => observable((observer) => {
    sendQuery(address, JSON.stringify(op.input), options).then((data) => {
      observer.next({ result: { type: 'data', data } })
      observer.complete()
    }, (error: Error) => observer.error(TRPCClientError.from(error)))
  })
}

function sendQuery ({ host, port }: Address, query: string, { token, timeoutMs }: PeerClientOptions): Promise<PeerState> {
  const headers = token === undefined ? {} : { [TOKEN_HEADER]: token }
  return new Promise((resolve, reject) => {
    const signal = AbortSignal.timeout(timeoutMs)
    const call = request({ host, port, path: STATE_PATH, method: 'POST', agent, headers, signal }, (answer) => {
      readResponse(answer).then((data) => resolve(decodeState(data))).catch(reject)
    })
    call.on('error', reject)
    call.end(query)
  })
}

async function readResponse (answer: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = []
  let bytes = 0
  for await (const part of answer) {
    bytes += (part as Buffer).length
    if (bytes > MAX_RESPONSE_BYTES) throw new Error(`the state is longer than ${MAX_RESPONSE_BYTES} bytes`)
    parts.push(part as Buffer)
  }
  if (!answer.complete || answer.statusCode !== 200) throw new Error(`state query failed or answer truncated: status ${answer.statusCode}`)
  return Buffer.concat(parts)
}
