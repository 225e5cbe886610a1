/** A simulated backend server of the platform: registers itself, runs requests in its slots, and misbehaves when told to. */
import { createServer, type IncomingMessage, type ServerResponse, type Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { BackendFault } from './plan.js'
import { fill, stampOf, type RunContext } from './ledger.js'
import type { PlatformStore } from './platformStore.js'

/** Options of a simulated backend server. */
export interface BackendServerOptions extends RunContext {
  name: string
  service: string
  zone: string
  host: string
  store: PlatformStore
}

interface Work {
  request: IncomingMessage
  response: ServerResponse
  id: string
  body: Buffer
  arrivedAt: number
}

const HEARTBEAT_MS = 1500
/** The store drops a registration after three heartbeats of silence. */
const LAPSE_MS = 3 * HEARTBEAT_MS
const SLOTS = 2
const QUEUE = 4
const MEAN_WORK_MS = 60
const SLOW_FACTOR = 8
const LATE_COPY_MS = 20
const ENDLESS_INTERVAL_MS = 5
const ENDLESS_HEAD = 'x-filling: 0123456789\r\n'.repeat(20)
const ENDLESS_BODY = '10\r\n0123456789abcdef\r\n'.repeat(20)

/** A backend server with a port of its own. */
export class BackendServer {
  private readonly _options: BackendServerOptions
  private readonly _faults = new Set<BackendFault>()
  private readonly _queue: Work[] = []
  private readonly _lastRefusal = new WeakMap<Socket, string>()
  private _server: Server | undefined
  private _port = 0
  private _running = 0
  private _starts = 0
  private _sequence = 0
  private _born = 0
  private _heartbeat: NodeJS.Timeout | undefined

  constructor (options: BackendServerOptions) {
    this._options = options
  }

  get name (): string {
    return this._options.name
  }

  /** Starts under a new id. */
  async start (): Promise<void> {
    this._starts += 1
    this._born = Date.now()
    this._running = 0
    this._server = createServer({ keepAliveTimeout: 10_000 }, (request, response) => this._handle(request, response))
    await new Promise<void>((resolve) => this._server!.listen(this._port, this._options.host, resolve))
    this._port = (this._server.address() as AddressInfo).port
    this._register()
    this._heartbeat = setInterval(() => this._register(), HEARTBEAT_MS)
  }

  /** Ends as in a crash: the registration stays until it lapses. */
  stop (): void {
    const id = this._id
    clearInterval(this._heartbeat)
    setTimeout(() => this._options.store.rows.remove('servers', id), LAPSE_MS).unref()
    this._server?.close()
    this._server?.closeAllConnections()
    this._queue.length = 0
  }

  async setFault (fault: BackendFault, active: boolean): Promise<void> {
    if (this._faults.has(fault) === active) return
    if (active) this._faults.add(fault)
    else this._faults.delete(fault)
    if (fault !== 'crash') return
    if (active) this.stop()
    else await this.start()
  }

  private get _id (): string {
    return `${this._options.name}.${this._starts}`
  }

  private get _load (): string {
    return `${this._running},${this._queue.length},${SLOTS},100`
  }

  private _register (): void {
    const { service, zone, host, store } = this._options
    this._sequence += 1
    store.rows.put('servers', this._id, JSON.stringify({
      service,
      address: `${host}:${this._port}`,
      zone,
      config_version: '00000001',
      slots: SLOTS,
      state: 'ready',
      warmup_left_ms: 0,
      sequence: this._sequence,
      born: this._born
    }))
  }

  private _handle (request: IncomingMessage, response: ServerResponse): void {
    response.on('error', () => {})
    if (this._faults.has('unresponsive')) return
    response.setHeader('instance-id', this._id)
    response.setHeader('server-load', this._load)
    if (this._faults.has('leaving')) response.setHeader('server-leaving', '1')
    if (request.url === '/health') return void response.writeHead(this._faults.has('fail') ? 503 : 200).end()
    const id = String(request.headers['request-id'])
    const expected = request.headers['expect-instance']
    const isOther = expected !== undefined && expected !== this._id
    if (isOther || this._faults.has('refuses-early')) {
      request.resume()
      return this._refuse(request, response, isOther ? 421 : 503)
    }
    const parts: Buffer[] = []
    request.on('data', (part: Buffer) => parts.push(part))
    request.on('end', () => {
      const work = { request, response, id, body: Buffer.concat(parts), arrivedAt: performance.now() }
      if (this._faults.has('shed') || this._queue.length >= QUEUE) return this._refuse(request, response, 503)
      this._queue.push(work)
      this._startWaiting()
    })
  }

  private _refuse ({ headers, socket }: IncomingMessage, response: ServerResponse, status: number): void {
    const lines = ['not-executed: 1', `request-id: ${String(headers['request-id'])}`, 'retry-after: 0.3', 'content-length: 0']
    this._lastRefusal.set(socket, `HTTP/1.1 ${status} Refused\r\n${lines.join('\r\n')}\r\n\r\n`)
    response.writeHead(status, Object.fromEntries(lines.map((line) => line.split(': '))))
    response.end()
  }

  private _startWaiting (): void {
    while (this._running < SLOTS) {
      const work = this._queue.shift()
      if (!work) return
      if (work.response.destroyed) continue
      const leftMs = Number(work.request.headers['deadline-ms'] ?? Infinity) - (performance.now() - work.arrivedAt)
      if (leftMs <= 0) this._refuse(work.request, work.response, 503)
      else this._run(work)
    }
  }

  private _run (work: Work): void {
    const { ledger, random } = this._options
    const server = this._server
    this._running += 1
    ledger.ran(work.id, this.name, { path: work.request.url!, body: work.body })
    if (this._faults.has('repeated-refusal')) work.request.socket.write(this._lastRefusal.get(work.request.socket) ?? '')
    const workMs = MEAN_WORK_MS * (0.5 + random.next()) * (this._faults.has('slow') ? SLOW_FACTOR : 1)
    const finish = (): void => {
      clearTimeout(timer)
      work.response.off('close', finish)
      if (server !== this._server) return
      if (!work.response.destroyed) this._answer(work)
      this._running -= 1
      this._startWaiting()
    }
    const timer = setTimeout(finish, workMs)
    // A request is dropped when its connection closes.
    work.response.on('close', finish)
  }

  private _answer ({ request: { socket, url }, response, id }: Work): void {
    const { ledger } = this._options
    const body = fill(id, answerBytesOf(url!))
    const head = ['HTTP/1.1 200 OK', `request-id: ${id}`, `server-stamp: ${stampOf(id)}`, `server-load: ${this._load}`]
    const framed = `${[...head, `content-length: ${body.length}`].join('\r\n')}\r\n\r\n`
    const unframed = `${[...head, 'connection: close'].join('\r\n')}\r\n\r\n`
    const half = body.subarray(0, body.length >> 1)
    const whole = Buffer.concat([Buffer.from(framed), body])
    for (const fault of this._faults) {
      switch (fault) {
        case 'fail': return void response.writeHead(500, { 'request-id': id, 'server-stamp': stampOf(id) }).end('failed')
        case 'reset': return void socket.resetAndDestroy()
        case 'hang': return
        case 'truncate': return void socket.end(Buffer.concat([Buffer.from(framed), half]))
        case 'half-head': return void socket.end(framed.slice(0, framed.length >> 1))
        case 'garbage': return void socket.end('this is no answer\r\n\r\n')
        case 'malformed-header': return void socket.write(framed.replace('server-load', 'server load'))
        case 'endless-head': return sendForever(socket, 'HTTP/1.1 200 OK\r\n', ENDLESS_HEAD)
        case 'endless-body': return sendForever(socket, `${head.join('\r\n')}\r\ntransfer-encoding: chunked\r\n\r\n`, ENDLESS_BODY)
        case 'unframed': return void socket.end(Buffer.concat([Buffer.from(unframed), body]))
        case 'unframed-reset': return void socket.write(Buffer.concat([Buffer.from(unframed), half]), () => socket.resetAndDestroy())
        case 'closes': return void socket.end(whole)
      }
    }
    response.writeHead(200, { 'request-id': id, 'server-stamp': stampOf(id), 'server-load': this._load, 'content-length': body.length })
    response.end(body, () => {
      ledger.finished(id, this.name)
      if (this._faults.has('extra')) socket.write(whole)
      if (this._faults.has('extra-late')) setTimeout(() => socket.writable && socket.write(whole), LATE_COPY_MS)
    })
  }
}

/** The size of an answer follows from the last part of the path. */
function answerBytesOf (url: string): number {
  return Number(url.split('/').at(-1))
}

function sendForever (socket: Socket, first: string, then: string): void {
  socket.write(first)
  const timer = setInterval(() => socket.write(then), ENDLESS_INTERVAL_MS)
  socket.once('close', () => clearInterval(timer))
}
