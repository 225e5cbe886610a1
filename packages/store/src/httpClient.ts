/** Small JSON requests over Node's http, with a time-out and a budget. */
import { Agent, request, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { TokenBucket } from '@gooseberryspan/core'
import { StoreBudgetSpent, StoreUnavailable } from './errors.js'

/** Where the store is and how it may be used. */
export interface HttpClientOptions {
  /** For example `http://127.0.0.1:7000`. */
  url: string
  timeoutMs: number
  /** Requests this process may send, a second. */
  requestsPerSecond: number
}

/** An answer's status and text. */
export interface HttpAnswer {
  status: number
  text: string
}

const BURST_FACTOR = 4
const IDLE_MS = 30_000

/** One connection pool to the store. */
export class HttpClient {
  /** Bytes on the wire both ways, headers included. */
  bytes = 0
  requests = 0
  private readonly _counted = new WeakMap<Socket, number>()
  private readonly _agent = new Agent({ keepAlive: true, maxSockets: 8, timeout: IDLE_MS })
  private readonly _bucket: TokenBucket
  private readonly _options: HttpClientOptions

  constructor (options: HttpClientOptions) {
    this._options = options
    const { requestsPerSecond } = options
    this._bucket = new TokenBucket(requestsPerSecond, requestsPerSecond * BURST_FACTOR, performance.now())
  }

  /** Sends one request and reads the whole answer. A connection that is silent for too long is closed and not used again. */
  send (method: string, path: string, { body, extraMs = 0 }: { body?: string, extraMs?: number } = {}): Promise<HttpAnswer> {
    if (!this._bucket.take(performance.now())) {
      return Promise.reject(new StoreBudgetSpent('more than %d requests a second to the store', this._options.requestsPerSecond))
    }
    this.requests += 1
    return new Promise((resolve, reject) => {
      const fail = (error: Error): void => reject(new StoreUnavailable(error, '%s %s', method, path))
      const headers = body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
      const call = request(new URL(path, this._options.url), { method, agent: this._agent, headers }, (answer) => {
        const { socket } = answer
        collect(answer, fail, (text) => {
          clearTimeout(timer)
          this._count(socket)
          resolve({ status: answer.statusCode ?? 0, text })
        })
      })
      const timeoutMs = this._options.timeoutMs + extraMs
      const timer = setTimeout(() => call.destroy(new Error(`no answer within ${timeoutMs} ms`)), timeoutMs)
      call.on('error', (error) => {
        clearTimeout(timer)
        fail(error)
      })
      call.end(body)
    })
  }

  private _count (socket: Socket): void {
    const total = socket.bytesRead + socket.bytesWritten
    this.bytes += total - (this._counted.get(socket) ?? 0)
    this._counted.set(socket, total)
  }

  close (): void {
    this._agent.destroy()
  }
}

function collect (answer: IncomingMessage, fail: (error: Error) => void, done: (text: string) => void): void {
  const parts: Buffer[] = []
  answer.on('data', (part: Buffer) => parts.push(part))
  answer.on('error', fail)
  answer.on('close', () => {
    if (answer.complete) done(Buffer.concat(parts).toString('utf8'))
    else fail(new Error('the answer was cut off'))
  })
}
