/** Sends requests on to other entries over Node's http. */
import { Agent, request, type ClientRequest, type IncomingMessage } from 'node:http'
import type { ForwardEffect, ForwardEnd, Reason } from '@gooseberryspan/core'
import { send, watchConnection, withLength } from '../backend/backendClient.js'
import { passedOn, single, type HeaderNames } from '../headers.js'
import { readAnswer, type Answer } from '../runtime/answer.js'
import type { Exchange } from '../runtime/exchange.js'
import { packForward } from './forwardHeader.js'

/** How peers are reached. */
export interface ForwardOptions {
  names: HeaderNames
  connectMs: number
  holdBytes: number
  token: string | undefined
  /** The peer's address refused the connection. */
  refused: (instance: string, incarnation: string) => void
}

/** Told of a forward's course. */
export interface ForwardListener {
  whole (answer: Answer): void
  large (answer: Answer, done: (whole: boolean) => void): void
  ended (end: ForwardEnd): void
}

/** Shorter than the time after which a peer closes an idle connection, so that ours are never closed under us. */
const IDLE_MS = 20_000
const MOST_IDLE = 64

/** Sends requests on; every forward ends exactly once. */
export class ForwardClient {
  private readonly _pool = new Agent({ keepAlive: true, maxFreeSockets: MOST_IDLE, timeout: IDLE_MS, scheduling: 'lifo' })
  private readonly _calls = new Map<number, ClientRequest>()
  private readonly _options: ForwardOptions

  constructor (options: ForwardOptions) {
    this._options = options
  }

  forward (effect: ForwardEffect, exchange: Exchange, listener: ForwardListener): void {
    let ended = false
    const end = (result: ForwardEnd): void => {
      if (ended) return
      ended = true
      this._calls.delete(effect.attempt)
      listener.ended(result)
    }
    const call = request({
      host: effect.to.host,
      port: effect.to.peerPort,
      method: exchange.method,
      path: exchange.path,
      agent: this._pool,
      headers: this._headers(effect, exchange),
      setHost: false
    })
    this._calls.set(effect.attempt, call)
    const connection = watchConnection(call, this._options.connectMs)
    call.on('response', (message) => this._read(message, call, listener, end))
    call.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') this._options.refused(effect.to.instance, effect.to.incarnation)
      end({ outcome: connection.made() ? 'lost' : 'refused', busy: false })
    })
    send(call, exchange)
  }

  cancel (attempt: number): void {
    this._calls.get(attempt)?.destroy()
    this._calls.delete(attempt)
  }

  close (): void {
    this._pool.destroy()
  }

  private _read (message: IncomingMessage, call: ClientRequest, listener: ForwardListener, end: (result: ForwardEnd) => void): void {
    const { names } = this._options
    const outcome = single(message.headers, names.outcome)
    const reason = single(message.headers, names.reason) as Reason | undefined
    const busy = single(message.headers, names.busy) === '1'
    readAnswer(message, this._options.holdBytes, {
      whole: (answer) => {
        if (outcome === 'answered') listener.whole(answer)
        end({ outcome: outcomeOf(outcome), busy, reason })
      },
      large: (answer) => listener.large(answer, (whole) => end({ outcome: whole ? 'answered' : 'lost', busy })),
      broken: () => {
        call.destroy()
        end({ outcome: 'lost', busy })
      }
    })
  }

  private _headers (effect: ForwardEffect, exchange: Exchange): string[] {
    const { names, token } = this._options
    const headers = passedOn(exchange.rawHeaders, (name) => name.startsWith(names.prefix) || name === 'content-length')
    headers.push(names.forward, packForward(exchange.spec, effect.leftMs))
    if (token !== undefined) headers.push(names.token, token)
    return withLength(headers, exchange)
  }
}

/** An answer without our marks did not come from an entry; nothing is known of the request then. */
function outcomeOf (text: string | undefined): ForwardEnd['outcome'] {
  if (text === 'answered' || text === 'not-run') return text
  return 'unknown'
}
