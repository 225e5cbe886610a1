/** HTTP client for small JSON requests, with a time-out and a limit on the request rate. */
import { Agent, request, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { TokenBucket } from '@gooseberryspan/core'
import { StoreBudgetSpent, StoreUnavailable } from './errors.js'

/** Address of the store and limits on its use. */
export interface HttpClientOptions {
  /** For example `http://127.0.0.1:7000`. */
  url: string
  timeoutMs: number
  /** Maximum request rate of this process. */
  requestsPerSecond: number
}

export interface HttpResponse {
  status: number
  headers: IncomingHttpHeaders
  text: string
}

/** Unused request budget accumulates for up to this many seconds. */
const BURST_SECONDS = 4
const IDLE_SOCKET_TIMEOUT_MS = 30_000
/** Longest response. A page of rows is a small part of this; without a limit, an endless response would take all memory of the process. */
const MAX_RESPONSE_BYTES = 16_777_216

/** Sends requests to the store over one connection pool. */
export class HttpClient {
  /** Bytes sent and received, including headers. */
  bytes = 0
  requests = 0
  private readonly _countedBytes = new WeakMap<Socket, number>()
  private readonly _agent = new Agent({ keepAlive: true, maxSockets: 8, timeout: IDLE_SOCKET_TIMEOUT_MS })
  private readonly _bucket: TokenBucket
  private readonly _options: HttpClientOptions
  private _closed = false

  constructor (options: HttpClientOptions) {
    this._options = options
    const { requestsPerSecond } = options
    this._bucket = new TokenBucket(requestsPerSecond, requestsPerSecond * BURST_SECONDS, performance.now())
  }

  /** Sends one request and reads the complete response. A connection whose request times out is closed and not reused. */
  send (method: string, path: string, { body, extraMs = 0 }: { body?: string, extraMs?: number } = {}): Promise<HttpResponse> {
    if (this._closed) return Promise.reject(new StoreUnavailable('the client is closed'))
    if (!this._bucket.take(performance.now())) {
      return Promise.reject(new StoreBudgetSpent('more than %d requests a second to the store', this._options.requestsPerSecond))
    }
    this.requests += 1
    return new Promise((resolve, reject) => {
      const fail = (error: Error): void => {
        const unavailable = new StoreUnavailable(error, '%s %s', method, path)
        unavailable.isRefusal = !call.reusedSocket
        reject(unavailable)
      }
      const headers = body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
      const call = request(new URL(path, this._options.url), { method, agent: this._agent, headers }, (answer) => {
        const { socket } = answer
        collect(answer, fail, (text) => {
          clearTimeout(timer)
          this._countBytes(socket)
          resolve({ status: answer.statusCode ?? 0, headers: answer.headers, text })
        })
      })
      const timeoutMs = this._options.timeoutMs + extraMs
      const timer = setTimeout(() => {
        this._closeIdleConnections()
        call.destroy(new Error(`no answer within ${timeoutMs} ms`))
      }, timeoutMs)
      call.on('error', (error) => {
        clearTimeout(timer)
        fail(error)
      })
      call.end(body)
    })
  }

  /** Closes connections that may be as silent as one that timed out, so that the next request opens a new one. */
  private _closeIdleConnections (): void {
    for (const sockets of Object.values(this._agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy()
    }
  }

  private _countBytes (socket: Socket): void {
    const total = socket.bytesRead + socket.bytesWritten
    this.bytes += total - (this._countedBytes.get(socket) ?? 0)
    this._countedBytes.set(socket, total)
  }

  /** Ends open requests and sends no further ones. */
  close (): void {
    this._closed = true
    this._agent.destroy()
  }
}

function collect (answer: IncomingMessage, fail: (error: Error) => void, done: (text: string) => void): void {
  const parts: Buffer[] = []
  let bytes = 0
  answer.on('data', (part: Buffer) => {
    bytes += part.length
    if (bytes > MAX_RESPONSE_BYTES) answer.destroy(new Error(`the answer is longer than ${MAX_RESPONSE_BYTES} bytes`))
    else parts.push(part)
  })
  answer.on('error', fail)
  answer.on('close', () => {
    if (answer.complete) done(Buffer.concat(parts).toString('utf8'))
    else fail(new Error('the answer was cut off'))
  })
}
