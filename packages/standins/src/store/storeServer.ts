/** The platform's store over HTTP, with switches for everything that it may do wrong. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Random } from '@gooseberryspan/core'
import type { Transaction } from '@gooseberryspan/store'
import { RowEngine } from './rowEngine.js'

/** How calls are met that are not served. */
export type Outage = 'silent' | 'busy' | 'reset'

/** How the store behaves. */
export interface StoreFaults {
  /** Calls are not served, and nothing is done. */
  outage?: Outage
  /** Every answer waits this long, in milliseconds. */
  delayMs: number
  /** Share of writes that are made and not answered. */
  loseAnswers: number
  /** Writes that are not answered are made this much later, in milliseconds. */
  lateMs: number
}

/** What the store is built from. */
export interface StoreServerOptions {
  host: string
  port: number
  random: Random
  /** Rows of another server, for one store with several doors, each with faults of its own. */
  engine?: RowEngine
  /** Rows in one answer. */
  pageRows?: number
}

/** Counts of what was asked. */
export interface StoreLoad {
  reads: number
  writes: number
  bytesOut: number
}

const PAGE_ROWS = 500

/** A stand-in for the store, or for one of its doors. */
export class StoreServer {
  readonly engine: RowEngine
  readonly faults: StoreFaults = { delayMs: 0, loseAnswers: 0, lateMs: 0 }
  readonly load: StoreLoad = { reads: 0, writes: 0, bytesOut: 0 }
  private readonly _objects = new Map<string, string>()
  private readonly _server: Server
  private readonly _options: StoreServerOptions

  constructor (options: StoreServerOptions) {
    this._options = options
    this.engine = options.engine ?? new RowEngine()
    this._server = createServer((request, response) => this._take(request, response))
  }

  /** Listens; settles with the URL. */
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

  private _take (request: IncomingMessage, response: ServerResponse): void {
    const parts: Buffer[] = []
    request.on('data', (part: Buffer) => parts.push(part))
    request.on('end', () => {
      const body = Buffer.concat(parts).toString('utf8')
      if (request.url === '/control/faults') return this._control(response, body)
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
    const limit = Math.min(this._options.pageRows ?? PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS))
    const found = this.engine.rows(query.get('table') ?? '', { from: query.get('from') ?? undefined, limit })
    this._sendLater(response, 200, { ...found, version: this.engine.version })
  }

  private async _changes (response: ServerResponse, query: URLSearchParams): Promise<void> {
    this.load.reads += 1
    const after = Number(query.get('after'))
    const table = query.get('table') ?? ''
    const until = performance.now() + Number(query.get('waitMs'))
    for (;;) {
      const changes = this.engine.changes(table, after)
      if (changes === 'history-lost') return this._sendLater(response, 410, {})
      const leftMs = until - performance.now()
      if (changes.rows.length > 0 || leftMs <= 0) return this._sendLater(response, 200, changes)
      await this.engine.changed(leftMs)
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
    this._sendLater(response, end === 'done' ? 200 : 409, { version: this.engine.version })
  }

  private _object (request: IncomingMessage, response: ServerResponse, name: string, body: string): void {
    if (request.method === 'PUT') {
      this._objects.set(name, body)
      return this._sendLater(response, 201, {})
    }
    const text = this._objects.get(name)
    this._send(response, text === undefined ? 404 : 200, text ?? '')
  }

  private _control (response: ServerResponse, body: string): void {
    Object.assign(this.faults, JSON.parse(body))
    this._send(response, 200, JSON.stringify(this.faults))
  }

  private _sendLater (response: ServerResponse, status: number, value: unknown): void {
    const send = (): void => this._send(response, status, JSON.stringify(value))
    if (this.faults.delayMs > 0) setTimeout(send, this.faults.delayMs)
    else send()
  }

  private _send (response: ServerResponse, status: number, text: string): void {
    if (response.destroyed) return
    this.load.bytesOut += text.length
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    response.end(text)
  }
}
