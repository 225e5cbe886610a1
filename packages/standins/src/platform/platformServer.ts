/** The platform over HTTP: table service, object store and instance list, with switches for its faults. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { ListedServer, Random, Transaction } from '@gooseberryspan/core'
import { InstanceBook } from './instanceBook.js'
import { TableEngine } from './tableEngine.js'

/** How a service behaves. */
export interface Faults {
  /** Connections are cut without an answer, and nothing takes effect. */
  down: boolean
  /** Every answer waits this long, in milliseconds. */
  delayMs: number
  /** Share of requests that take effect but get no answer. */
  loseAnswers: number
}

/** What the platform is built from. */
export interface PlatformServerOptions {
  host: string
  port: number
  lagMs: number
  random: Random
}

/** Counts of what was asked. */
export interface PlatformLoad {
  requests: number
  reads: number
  writes: number
  bytesIn: number
  bytesOut: number
}

/** A stand-in for the platform. */
export class PlatformServer {
  readonly tables = new TableEngine()
  readonly instances: InstanceBook
  readonly tableFaults: Faults = { down: false, delayMs: 0, loseAnswers: 0 }
  readonly load: PlatformLoad = { requests: 0, reads: 0, writes: 0, bytesIn: 0, bytesOut: 0 }
  private readonly _objects = new Map<string, string>()
  private readonly _server: Server
  private readonly _options: PlatformServerOptions

  constructor (options: PlatformServerOptions) {
    this._options = options
    this.instances = new InstanceBook(options.lagMs, () => performance.now())
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
      this.load.requests += 1
      this.load.bytesIn += body.length
      this._route(request, response, body)
    })
  }

  private _route (request: IncomingMessage, response: ServerResponse, body: string): void {
    const url = new URL(request.url ?? '/', 'http://platform')
    if (url.pathname === '/v1/tables/transactions' && request.method === 'POST') return this._transact(response, body)
    if (url.pathname === '/v1/instances' && request.method === 'GET') {
      return this._send(response, 200, JSON.stringify(this.instances.read(Number(url.searchParams.get('since') ?? 0))))
    }
    if (url.pathname.startsWith('/v1/objects/')) return this._object(request, response, url.pathname.slice('/v1/objects/'.length), body)
    if (url.pathname === '/control/tables' && request.method === 'POST') {
      Object.assign(this.tableFaults, JSON.parse(body))
      return this._send(response, 200, JSON.stringify(this.tableFaults))
    }
    if (url.pathname === '/control/instances' && request.method === 'POST') {
      for (const server of JSON.parse(body) as ListedServer[]) this.instances.put(server)
      return this._send(response, 200, '{}')
    }
    if (url.pathname === '/control/load') return this._send(response, 200, JSON.stringify(this.load))
    this._send(response, 404, '{}')
  }

  private _transact (response: ServerResponse, body: string): void {
    const { down, delayMs, loseAnswers } = this.tableFaults
    if (down) return void response.destroy()
    const { transactions } = JSON.parse(body) as { transactions: Transaction[] }
    const results = transactions.map((transaction) => {
      this.load.reads += transaction.reads.length
      this.load.writes += transaction.writes.length
      return this.tables.run(transaction)
    })
    if (loseAnswers > 0 && this._options.random.next() < loseAnswers) return void response.destroy()
    const send = (): void => this._send(response, 200, JSON.stringify({ results }))
    if (delayMs > 0) setTimeout(send, delayMs)
    else send()
  }

  private _object (request: IncomingMessage, response: ServerResponse, key: string, body: string): void {
    if (request.method === 'PUT') {
      this._objects.set(key, body)
      return this._send(response, 201, '{}')
    }
    const text = this._objects.get(key)
    this._send(response, text === undefined ? 404 : 200, text ?? '{}')
  }

  private _send (response: ServerResponse, status: number, text: string): void {
    if (response.destroyed) return
    this.load.bytesOut += text.length
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    response.end(text)
  }
}
