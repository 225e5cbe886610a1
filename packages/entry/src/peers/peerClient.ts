/** Sends messages to other entries by tRPC; messages to one peer in the same moment share a request. */
import { createTRPCClient, httpBatchLink, type TRPCClient } from '@trpc/client'
import type { Member, PeerMessage } from '@gooseberryspan/core'
import type { PeerRouter } from './peerRouter.js'

/** How messages are sent. */
export interface PeerOptions {
  instance: string
  incarnation: () => string
  token: string | undefined
  tokenHeader: string
  timeoutMs: number
  refused: (instance: string, incarnation: string) => void
}

/** One tRPC client a peer address. */
export class PeerClient {
  messages = 0
  /** Bytes of the messages themselves. */
  bytes = 0
  private readonly _clients = new Map<string, TRPCClient<PeerRouter>>()
  private readonly _options: PeerOptions

  constructor (options: PeerOptions) {
    this._options = options
  }

  /** Sends a message once; a lost one is sent anew by whoever still needs it. */
  send (to: Member, message: PeerMessage): void {
    this.messages += 1
    this.bytes += JSON.stringify(message).length
    const delivery = { from: this._options.instance, incarnation: this._options.incarnation(), message: message as never }
    const signal = AbortSignal.timeout(this._options.timeoutMs)
    this._client(to).deliver.mutate(delivery, { signal }).catch((error: Error) => {
      if (isRefused(error)) this._options.refused(to.instance, to.incarnation)
    })
  }

  private _client (to: Member): TRPCClient<PeerRouter> {
    const url = `http://${to.host}:${to.peerPort}/trpc`
    let client = this._clients.get(url)
    if (!client) {
      const { token, tokenHeader } = this._options
      const headers = token === undefined ? {} : { [tokenHeader]: token }
      client = createTRPCClient<PeerRouter>({ links: [httpBatchLink({ url, headers })] })
      this._clients.set(url, client)
    }
    return client
  }
}

function isRefused (error: unknown): boolean {
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    if ((cause as NodeJS.ErrnoException).code === 'ECONNREFUSED') return true
  }
  return false
}
