/** A simulated backend server with slots, a request queue, variable speed, cold starts, cancellation of requests and draining. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Random } from '@gooseberryspan/core'
import type { ServerRegistration } from '@gooseberryspan/store'
import type { BackendCounts } from './backendCounts.js'

/** Options of a simulated backend server. */
export interface BackendOptions {
  id: string
  service: string
  zone: string
  host: string
  port?: number
  slots: number
  /** The number of requests that may wait in addition to those that run. */
  queue: number
  meanMs: number
  /** Requests a second that the server can handle while it is cold, and how long it stays cold. */
  coldPerSecond: number
  coldMs: number
  softwareVersion?: string
  random: Random
  truth: BackendCounts
}

/** A way in which an answer is made faulty. */
export type AnswerFault =
  /** The answer ends after half of its body. */
  | 'truncate'
  /** The server sends `cutAtByte` bytes of the answer and then ends or resets the connection. */
  | 'cut'
  | 'cut-chunked'
  | 'cut-reset'
  /** The server sends bytes until the other side closes the connection: headers, interim answers, a body, or the body of a refusal. */
  | 'endless-head'
  | 'endless-interim'
  | 'endless-body'
  | 'endless-refusal'
  /** The server sends a second answer directly after the first one. */
  | 'extra'
  /** The server sends a second answer a little later, where the answer to the next request is expected. */
  | 'extra-late'
  /** Before it runs a request, the server repeats the last refusal that it sent on the connection. */
  | 'repeated-refusal'
  /** The answer carries the id of another request. */
  | 'foreign'
  /** The answer states no length; the end of the connection marks its end. */
  | 'unframed'
  /** As 'unframed', but the connection is reset after half of the body: a little later, or immediately. */
  | 'unframed-reset'
  | 'unframed-reset-at-once'
  /** The server sends text that is not HTTP. */
  | 'garbage'
  /** One byte of the answer is replaced, as `damage` says. */
  | 'damaged'
  /** A header's name has a space in it, or the status is below 100. */
  | 'malformed-header'
  | 'malformed-status'
  /** The server resets the connection after the request has run. */
  | 'reset'
  /** The server sends no answer. */
  | 'hang'

/** Faults that a test can set while the server runs. */
export interface BackendFaults {
  /** Factor by which requests take longer. */
  pace: number
  /** The server answers every request with status 500 after running it. */
  fail: boolean
  /** The server refuses requests without running them. */
  shed: boolean
  /** Refusals do not repeat the id of the request. */
  anonymousRefusals: boolean
  /** The server refuses requests before it has read their body, and reads on. */
  refusesEarly: boolean
  /** All answers state that the server is leaving, whatever it has registered. */
  leaving: boolean
  /** All answers state this limit, in requests a second from all entries together. */
  limitPerSecond?: number
  /** Refusals state for how long the server wants no requests, in the format of `Retry-After`. */
  retryAfter?: string
  /** Number of filler bytes that are added to each answer. */
  fillerBytes: number
  answerFault?: AnswerFault
  damage?: { at: number, byte: number }
  /** Number of bytes of a cut answer, including its head; all of it if absent. */
  cutAtByte?: number
  /** The health check reports the opposite of the server's health. */
  invertHealth?: boolean
  /** The server answers no request at all. */
  unresponsive: boolean
  /** The server resets the connection of a request that arrives when slots and queue are full. */
  resetWhenFull: boolean
}

interface QueuedWork {
  response: ServerResponse
  begin: () => void
  finished: boolean
}

const HEADER_PREFIX = 'gooseberryspan'
const REQUEST_ID = `${HEADER_PREFIX}-request-id`
const COLD_DURATION_FACTOR = 2
/** Delay of a connection reset; long enough for the first half of the answer to arrive. */
const RESET_DELAY_MS = 20
/** An endless answer sends this number of chunks at each interval. */
const ENDLESS_INTERVAL_MS = 5
const CHUNKS_PER_INTERVAL = 20
const CHUNK = '10\r\n0123456789abcdef\r\n'
const COLD_WINDOW_MS = 1000

/** A simulated backend server that listens on a port. */
export class StandInBackend {
  /** Number of connections with an endless answer: those open now, and all since the start. */
  endlessNow = 0
  endlessTotal = 0
  /** Requests that reached the server, and when. */
  readonly arrivals: Array<{ request: string, at: number }> = []
  readonly faults: BackendFaults = {
    pace: 1,
    fail: false,
    shed: false,
    anonymousRefusals: false,
    refusesEarly: false,
    leaving: false,
    fillerBytes: 0,
    unresponsive: false,
    resetWhenFull: false
  }

  private readonly _options: BackendOptions
  private readonly _server: Server
  private readonly _queue: QueuedWork[] = []
  private readonly _lastRefusal = new WeakMap<Socket, string>()
  private _running = 0
  private _coldUntil = -Infinity
  private _coldArrivals: number[] = []
  private _incarnation = 1
  private _draining = false
  private readonly _bornAt = Date.now()
  private _port = 0

  constructor (options: BackendOptions) {
    this._options = options
    this._server = createServer({ keepAliveTimeout: 30_000 }, (request, response) => this._handle(request, response))
  }

  get id (): string {
    return this._options.id
  }

  /** Number of running and waiting requests. */
  get load (): number {
    return this._running + this._queue.length
  }

  start (): Promise<void> {
    return new Promise((resolve) => {
      this._server.listen(this._port || (this._options.port ?? 0), this._options.host, () => {
        this._port = (this._server.address() as AddressInfo).port
        resolve()
      })
    })
  }

  stop (): void {
    this._server.close()
    this._server.closeAllConnections()
  }

  /** The server's registration, as it is written to the store. */
  registration (): ServerRegistration {
    const { service, zone, host, slots, softwareVersion } = this._options
    const coldMs = Math.max(0, this._coldUntil - performance.now())
    const state = this._draining ? 'draining' : 'ready'
    const incarnation = String(this._incarnation)
    return { incarnation, service, zone, host, port: this._port, slots, state, coldMs, softwareVersion, bornAt: this._bornAt }
  }

  /** Marks the server as draining. */
  drain (): void {
    this._draining = true
  }

  /** Simulates a restart under the same id: the incarnation increases and the server is cold. */
  restart (): void {
    this._incarnation += 1
    this._draining = false
    this.makeCold()
  }

  /** Makes the server cold without a change of its incarnation. */
  makeCold (): void {
    this._coldUntil = performance.now() + this._options.coldMs
  }

  private get _isCold (): boolean {
    return performance.now() < this._coldUntil
  }

  private _handle (request: IncomingMessage, response: ServerResponse): void {
    if (this.faults.unresponsive) return
    response.setHeader(`${HEADER_PREFIX}-server`, this._options.id)
    if (this.faults.leaving) response.setHeader(`${HEADER_PREFIX}-leaving`, '1')
    const { limitPerSecond } = this.faults
    if (limitPerSecond !== undefined) response.setHeader(`${HEADER_PREFIX}-limit`, String(limitPerSecond))
    if (request.url === '/health') return this._answerHealthCheck(response)
    if (this.faults.refusesEarly) {
      request.resume()
      return this._refuse(request, response)
    }
    const expected = request.headers[`${HEADER_PREFIX}-expect-server`]
    const parts: Buffer[] = []
    request.on('data', (part: Buffer) => parts.push(part))
    request.on('end', () => {
      if (expected !== undefined && expected !== this._options.id) return void response.writeHead(421).end()
      this._accept(request, response, Buffer.concat(parts))
    })
  }

  private _answerHealthCheck (response: ServerResponse): void {
    this._options.truth.probes += 1
    const healthy = !this._draining && !this.faults.fail
    response.setHeader(`${HEADER_PREFIX}-load`, this._formatLoad())
    response.setHeader(`${HEADER_PREFIX}-cold-ms`, String(Math.max(0, Math.round(this._coldUntil - performance.now()))))
    response.writeHead((this.faults.invertHealth ? !healthy : healthy) ? 200 : 503)
    response.end()
  }

  private _accept (request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const { truth, zone, slots, queue } = this._options
    truth.arrived(zone, performance.now())
    this.arrivals.push({ request: String(request.headers[REQUEST_ID] ?? ''), at: performance.now() })
    this._countColdArrival()
    if (this.faults.answerFault === 'endless-refusal') {
      response.setHeader(`${HEADER_PREFIX}-not-run`, '1')
      return this._sendForever(request.socket, chunkedHead(response, '503 Service Unavailable'), CHUNK)
    }
    if (this.faults.shed) return this._refuse(request, response)
    if (this._running + this._queue.length >= slots + queue) {
      truth.full += 1
      return this.faults.resetWhenFull ? void request.socket.resetAndDestroy() : this._refuse(request, response)
    }
    const work: QueuedWork = { response, begin: () => this._run(request, response, body, work), finished: false }
    response.on('close', () => this._finish(work))
    this._queue.push(work)
    this._startWaiting()
  }

  private _refuse ({ headers, socket }: IncomingMessage, response: ServerResponse): void {
    const text = 'not run'
    if (!this.faults.anonymousRefusals) response.setHeader(REQUEST_ID, headers[REQUEST_ID] ?? '')
    response.setHeader(`${HEADER_PREFIX}-not-run`, '1')
    response.setHeader(`${HEADER_PREFIX}-load`, this._formatLoad())
    if (this.faults.retryAfter !== undefined) response.setHeader('retry-after', this.faults.retryAfter)
    this._lastRefusal.set(socket, rawAnswer(response, '503 Service Unavailable', text))
    response.setHeader('content-length', text.length)
    response.writeHead(503)
    response.end(text)
  }

  private _countColdArrival (): void {
    if (!this._isCold) return
    const now = performance.now()
    this._coldArrivals = this._coldArrivals.filter((at) => at > now - COLD_WINDOW_MS)
    this._coldArrivals.push(now)
    if (this._coldArrivals.length > this._options.coldPerSecond * 1.5 + 3) this._options.truth.overCold += 1
  }

  private _startWaiting (): void {
    while (this._running < this._options.slots) {
      const work = this._queue.shift()
      if (!work) return
      if (work.finished) continue
      this._running += 1
      work.begin()
    }
  }

  private _finish (work: QueuedWork): void {
    if (work.finished) return
    work.finished = true
    const index = this._queue.indexOf(work)
    if (index >= 0) this._queue.splice(index, 1)
    else this._running -= 1
    this._startWaiting()
  }

  private _run (request: IncomingMessage, response: ServerResponse, body: Buffer, work: QueuedWork): void {
    const name = String(request.headers[REQUEST_ID] ?? '')
    this._options.truth.run(name, request.method === 'POST')
    const { socket } = request
    if (this.faults.answerFault === 'repeated-refusal') socket.write(this._lastRefusal.get(socket) ?? '')
    const timer = setTimeout(() => {
      if (work.finished) return
      this._answer(request, response, name, body)
      this._finish(work)
    }, this._drawDurationMs())
    response.on('close', () => clearTimeout(timer))
  }

  private _answer (request: IncomingMessage, response: ServerResponse, name: string, body: Buffer): void {
    const { socket } = request
    const { answerFault } = this.faults
    const filling = 'x'.repeat(this.faults.fillerBytes)
    const text = JSON.stringify({ request: name, server: this._options.id, bytes: body.length, filling })
    response.setHeader(REQUEST_ID, answerFault === 'foreign' ? `not-${name}` : name)
    response.setHeader(`${HEADER_PREFIX}-load`, this._formatLoad(1))
    response.setHeader('content-type', 'application/json')
    response.statusCode = this.faults.fail ? 500 : 200
    switch (answerFault) {
      case 'endless-head': return this._sendForever(socket, 'HTTP/1.1 200 OK\r\n', 'x-filling: 0123456789\r\n')
      case 'endless-interim': return this._sendForever(socket, '', 'HTTP/1.1 102 Processing\r\n\r\n')
      case 'endless-body': return this._sendForever(socket, chunkedHead(response, '200 OK'), CHUNK)
      case 'hang': return
      case 'reset': return void socket.resetAndDestroy()
      case 'cut': return void socket.end(rawAnswer(response, '200 OK', text).slice(0, this.faults.cutAtByte))
      case 'cut-chunked': {
        const chunks = `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n0\r\n\r\n`
        return void socket.end(`${chunkedHead(response, '200 OK')}${chunks}`.slice(0, this.faults.cutAtByte))
      }
      case 'cut-reset':
        return void socket.write(rawAnswer(response, '200 OK', text).slice(0, this.faults.cutAtByte), () => socket.resetAndDestroy())
      case 'damaged': {
        const answer = Buffer.from(rawAnswer(response, '200 OK', text))
        const { at, byte } = this.faults.damage!
        answer[Math.min(at, answer.length - 1)] = byte
        return void socket.write(answer)
      }
      case 'malformed-header': return void socket.write(rawAnswer(response, '200 OK', text, 'content type: text/plain'))
      case 'malformed-status': return void socket.write(rawAnswer(response, '099 Unknown', text))
      case 'garbage': return void socket.end('this is no answer\r\n\r\n')
      case 'unframed':
      case 'unframed-reset':
      case 'unframed-reset-at-once':
        response.setHeader('connection', 'close')
        response.useChunkedEncodingByDefault = false
        response.removeHeader('content-length')
        if (answerFault === 'unframed') return void response.end(text)
        response.write(text.slice(0, text.length >> 1), () => {
          if (answerFault === 'unframed-reset') setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS)
          else socket.resetAndDestroy()
        })
        return
      case 'truncate':
        response.setHeader('content-length', Buffer.byteLength(text))
        response.write(text.slice(0, text.length >> 1))
        return void setImmediate(() => response.destroy())
    }
    response.setHeader('content-length', Buffer.byteLength(text))
    response.end(text, () => {
      const extraAnswer = `HTTP/1.1 200 OK\r\n${REQUEST_ID}: surplus\r\ncontent-length: 7\r\n\r\nsurplus`
      if (answerFault === 'extra') socket.write(extraAnswer)
      if (answerFault === 'extra-late') setTimeout(() => socket.writable && socket.write(extraAnswer), 5)
    })
  }

  /** Sends data at a fixed interval until the other side closes the connection. */
  private _sendForever (socket: Socket, first: string, then: string): void {
    this.endlessNow += 1
    this.endlessTotal += 1
    socket.write(first)
    const timer = setInterval(() => socket.write(then.repeat(CHUNKS_PER_INTERVAL)), ENDLESS_INTERVAL_MS)
    socket.once('close', () => {
      clearInterval(timer)
      this.endlessNow -= 1
    })
  }

  /** Formats the load header; `answered` is the number of running requests to leave out because they are being answered. */
  private _formatLoad (answered = 0): string {
    const { slots } = this._options
    return `running=${this._running - answered};waiting=${this._queue.length};slots=${slots};pace=${this.faults.pace}`
  }

  private _drawDurationMs (): number {
    const { meanMs, random } = this._options
    const cold = this._isCold ? COLD_DURATION_FACTOR : 1
    return Math.max(1, (0.5 - 0.5 * Math.log(1 - random.next())) * meanMs) * this.faults.pace * cold
  }
}

/** Formats a complete answer, with a header line of any form. */
function rawAnswer (response: ServerResponse, status: string, text: string, extraLine?: string): string {
  const lines = Object.entries(response.getHeaders()).map(([name, value]) => `${name}: ${String(value)}`)
  if (extraLine !== undefined) lines.push(extraLine)
  return [`HTTP/1.1 ${status}`, ...lines, `content-length: ${Buffer.byteLength(text)}`, '', text].join('\r\n')
}

/** Formats the status line and the headers of an answer with chunked transfer encoding. */
function chunkedHead (response: ServerResponse, status: string): string {
  const lines = Object.entries(response.getHeaders()).map(([name, value]) => `${name}: ${String(value)}`)
  return ['HTTP/1.1 ' + status, ...lines, 'transfer-encoding: chunked', '', ''].join('\r\n')
}
