/** A stand-in for a backend server: slots, cold start, shedding, load reports, deadlines, cancellation and draining. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { ListedServer, Random } from '@gooseberryspan/core'
import type { BackendTruth } from './backendTruth.js'

/** What a backend server is built from. */
export interface BackendOptions {
  id: string
  service: string
  zone: string
  host: string
  port?: number
  slots: number
  coldLimit: number
  /** Answers after which it is warm. */
  warmAfter: number
  meanMs: number
  random: Random
  truth: BackendTruth
}

/** Behaviour that a test can change while it runs. */
export interface BackendFaults {
  /** Answers take this many times as long. */
  slowFactor: number
  /** Every request is answered with 500 at once. */
  failFast: boolean
  /** Answers are filled up to this size, in bytes. */
  answerBytes: number
  /** Answers are cut in the middle. */
  truncate: boolean
}

const HEADER = 'gooseberryspan'
const TAIL_SHARE = 0.02
const TAIL_FACTOR = 5

/** One listening backend server. */
export class StandInBackend {
  readonly faults: BackendFaults = { slowFactor: 1, failFast: false, answerBytes: 0, truncate: false }
  private readonly _options: BackendOptions
  private readonly _server: Server
  private _active = 0
  private _completed = 0
  private _epoch = 1
  private _draining = false
  private _port = 0

  constructor (options: BackendOptions) {
    this._options = options
    this._server = createServer({ keepAliveTimeout: 30_000 }, (request, response) => this._take(request, response))
  }

  start (): Promise<void> {
    return new Promise((resolve) => {
      this._server.listen(this._options.port ?? 0, this._options.host, () => {
        this._port = (this._server.address() as AddressInfo).port
        resolve()
      })
    })
  }

  stop (): void {
    this._server.close()
    this._server.closeAllConnections()
  }

  /** How the platform lists it. */
  listed (): ListedServer {
    const { id, service, zone, host } = this._options
    return { id, service, zone, host, port: this._port, state: this._draining ? 'leaving' : 'live' }
  }

  /** Starts to leave. */
  drain (): void {
    this._draining = true
  }

  /** Loses its warmth without a warning. */
  turnCold (): void {
    this._completed = 0
    this._epoch += 1
  }

  private get _capacity (): number {
    return this._completed >= this._options.warmAfter ? this._options.slots : this._options.coldLimit
  }

  private _take (request: IncomingMessage, response: ServerResponse): void {
    response.setHeader(`${HEADER}-load`, `epoch=${this._epoch};capacity=${this._capacity};draining=${this._draining ? 1 : 0}`)
    if (request.url === '/health') {
      this._options.truth.probes += 1
      return void response.end('ok')
    }
    const parts: Buffer[] = []
    request.on('data', (part: Buffer) => parts.push(part))
    request.on('end', () => this._run(request, response, Buffer.concat(parts)))
  }

  private _run (request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const { truth, zone, slots } = this._options
    truth.arrived(zone, performance.now())
    if (this._active >= this._capacity) {
      if (this._capacity < slots) truth.overCold += 1
      else truth.overSlot += 1
      truth.shed += 1
      response.setHeader(`${HEADER}-shed`, 'not-run')
      response.statusCode = 503
      return void response.end('shed')
    }
    if (this.faults.failFast) {
      response.statusCode = 500
      return void response.end('failed')
    }
    this._active += 1
    const mark = String(request.headers['x-mark'] ?? '')
    truth.run(mark, request.method === 'POST')
    let done = false
    const finish = (): void => {
      if (done) return
      done = true
      clearTimeout(timer)
      this._active -= 1
    }
    const timer = setTimeout(() => {
      finish()
      this._completed += 1
      this._answer(response, mark, body)
    }, this._workMs())
    response.on('close', finish)
  }

  private _answer (response: ServerResponse, mark: string, body: Buffer): void {
    const filling = 'x'.repeat(this.faults.answerBytes)
    const text = JSON.stringify({ mark, server: this._options.id, bytes: body.length, filling })
    response.setHeader('content-type', 'application/json')
    response.setHeader('content-length', Buffer.byteLength(text))
    if (!this.faults.truncate) return void response.end(text)
    response.write(text.slice(0, text.length >> 1))
    setImmediate(() => response.destroy())
  }

  private _workMs (): number {
    const { meanMs, random } = this._options
    const tail = random.next() < TAIL_SHARE ? TAIL_FACTOR : 1
    return Math.max(1, -Math.log(1 - random.next()) * 0.5 * meanMs + 0.5 * meanMs) * tail * this.faults.slowFactor
  }
}
