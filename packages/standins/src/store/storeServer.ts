/** A simulation of the platform's store over HTTP, with faults that a test can switch on. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Random } from '@gooseberryspan/core'
import type { Transaction } from '@gooseberryspan/store'
import { RowEngine } from './rowEngine.js'

/** What the store does with requests during an outage: no answer, status 503, or a connection reset. */
export type Outage = 'silent' | 'busy' | 'reset'

/** Faults of the simulated store. */
export interface StoreFaults {
  /** The store serves no requests and applies no changes. */
  outage?: Outage
  /** Delay of every answer. */
  delayMs: number
  /** Fraction of writes that the store applies without sending an answer. */
  loseAnswers: number
  /** Delay after which the store applies the writes that it does not answer. */
  lateMs: number
}

/** Options of the simulated store. */
export interface StoreServerOptions {
  host: string
  port: number
  random: Random
  /** Rows of another server; several servers that share them act as one store with several addresses, each with its own faults. */
  engine?: RowEngine
  /** Maximum number of rows in one answer. */
  pageRows?: number
}

/** Counts of the requests and of the bytes sent. */
export interface StoreRequestCounts {
  reads: number
  writes: number
  bytesOut: number
}

const MAX_PAGE_ROWS = 500

/** A simulated store, or one of the addresses of a simulated store. */
export class StoreServer {
  readonly engine: RowEngine
  readonly faults: StoreFaults = { delayMs: 0, loseAnswers: 0, lateMs: 0 }
  readonly load: StoreRequestCounts = { reads: 0, writes: 0, bytesOut: 0 }
  private readonly _objects = new Map<string, string>()
  private readonly _server: Server
  private readonly _options: StoreServerOptions

  constructor (options: StoreServerOptions) {
    this._options = options
    this.engine = options.engine ?? new RowEngine()
    this._server = createServer((request, response) => this._handle(request, response))
  }

  /** Starts to listen and returns the URL. */
  start (): Promise<string> {
    return new Promise((resolve) => {
      this._server.listen(this._options.port, this._options.host, () => {
        resolve(`http://${this._options.host}:${(this._server.address() as AddressInfo).port}`)
      })
    })
  }

  stop (): void {
    this._server.close()
    this._server.closeAllConnections()
  }

  private _handle (request: IncomingMessage, response: ServerResponse): void {
    const parts: Buffer[] = []
    request.on('data', (part: Buffer) => parts.push(part))
    request.on('end', () => {
      const body = Buffer.concat(parts).toString('utf8')
      if (request.url === '/control/faults') return this._setFaults(response, body)
      switch (this.faults.outage) {
        case 'silent': return undefined
        case 'busy': return this._send(response, 503, '{}')
        case 'reset': return void request.socket.resetAndDestroy()
        case undefined: return void this._route(request, response, body)
      }
    })
  }

  private async _route (request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store')
    const { searchParams: query } = url
    switch (`${request.method} ${url.pathname}`) {
      case 'GET /v2/rows': return this._rows(response, query)
      case 'GET /v2/changes': return await this._changes(response, query)
      case 'POST /v2/transactions': return this._transact(response, body)
    }
    if (url.pathname.startsWith('/v2/objects/')) return this._object(request, response, url.pathname, body)
    this._send(response, 404, '{}')
  }

  private _rows (response: ServerResponse, query: URLSearchParams): void {
    this.load.reads += 1
    const limit = Math.min(this._options.pageRows ?? MAX_PAGE_ROWS, Number(query.get('limit') ?? MAX_PAGE_ROWS))
    const found = this.engine.rows(query.get('table') ?? '', { from: query.get('from') ?? undefined, limit })
    this._sendDelayed(response, 200, { ...found, version: this.engine.version })
  }

  private async _changes (response: ServerResponse, query: URLSearchParams): Promise<void> {
    this.load.reads += 1
    const after = Number(query.get('after'))
    const table = query.get('table') ?? ''
    const until = performance.now() + Number(query.get('waitMs'))
    for (;;) {
      const changes = this.engine.changes(table, after)
      if (changes === 'history-lost') return this._sendDelayed(response, 410, {})
      const leftMs = until - performance.now()
      if (changes.rows.length > 0 || leftMs <= 0) return this._sendDelayed(response, 200, changes)
      await this.engine.waitForChange(leftMs)
    }
  }

  private _transact (response: ServerResponse, body: string): void {
    this.load.writes += 1
    const transaction = JSON.parse(body) as Transaction
    const { loseAnswers, lateMs } = this.faults
    const lost = loseAnswers > 0 && this._options.random.next() < loseAnswers
    if (lost && lateMs > 0) return void setTimeout(() => this.engine.run(transaction), lateMs)
    const end = this.engine.run(transaction)
    if (lost) return
    this._sendDelayed(response, end === 'done' ? 200 : 409, { version: this.engine.version })
  }

  private _object (request: IncomingMessage, response: ServerResponse, name: string, body: string): void {
    if (request.method === 'PUT') {
      this._objects.set(name, body)
      return this._sendDelayed(response, 201, {})
    }
    const text = this._objects.get(name)
    this._send(response, text === undefined ? 404 : 200, text ?? '')
  }

  private _setFaults (response: ServerResponse, body: string): void {
    Object.assign(this.faults, JSON.parse(body))
    this._send(response, 200, JSON.stringify(this.faults))
  }

  private _sendDelayed (response: ServerResponse, status: number, value: unknown): void {
    const send = (): void => this._send(response, status, JSON.stringify(value))
    if (this.faults.delayMs > 0) setTimeout(send, this.faults.delayMs)
    else send()
  }

  private _send (response: ServerResponse, status: number, text: string): void {
    if (response.destroyed) return
    this.load.bytesOut += text.length
    response.writeHead(status, {
      'content-type': 'application/json', 'content-length': Buffer.byteLength(text), 'store-era': this.engine.era
    })
    response.end(text)
  }
}
