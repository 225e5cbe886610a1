/** A simulation of the platform's store with its calls and formats, and with faults. */
import { createServer, type ServerResponse, type IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
import { draw, type Random, type StoredRow } from '@gooseberryspan/core'
import { RowEngine } from '@gooseberryspan/standins'
import type { StoreFault } from './plan.js'

interface RowName { table: string, key: string }
interface TransactionBody {
  expected_rev?: Array<RowName & { ver: number }>
  puts?: Array<RowName & { value: string }>
  remove?: RowName[]
}

const MAX_ROWS = 500
const SLOW_MS = 700
const LATE_MS = 2000
const LOST_FRACTION = 0.5
const GARBAGE = ['', 'no JSON', '{"rows":7}', '{"rows":[{"key":1}],"ver":"x"}', '['.repeat(5000), '{"rows":[],"ver":1e400}']
/** Tables that entries may only read. */
const READ_ONLY = ['op', 'servers']

/** Rows over HTTP. Simulated operators and backend servers write to `rows` directly. */
export class PlatformStore {
  readonly rows = new RowEngine()
  address = ''
  private readonly _faults = new Set<StoreFault>()
  private readonly _random: Random
  private readonly _server = createServer((request, response) => this._handle(request, response))
  private readonly _startedAt = performance.now()

  constructor (random: Random) {
    this._random = random
  }

  async start (host: string): Promise<void> {
    await new Promise<void>((resolve) => this._server.listen(0, host, resolve))
    this.address = `${host}:${(this._server.address() as AddressInfo).port}`
  }

  stop (): void {
    this._server.close()
    this._server.closeAllConnections()
  }

  setFault (fault: StoreFault, active: boolean): void {
    if (!active) return void this._faults.delete(fault)
    this._faults.add(fault)
    if (fault === 'history-lost') this.rows.dropHistory()
    // Entries find out that the store is gone only from their own time-outs.
    if (fault === 'reset') this._server.closeAllConnections()
  }

  private _handle (request: IncomingMessage, response: ServerResponse): void {
    const parts: Buffer[] = []
    request.on('data', (part: Buffer) => parts.push(part))
    request.on('end', () => {
      if (this._faults.has('silent')) return
      if (this._faults.has('reset')) return void request.socket.resetAndDestroy()
      if (this._faults.has('busy')) return this._send(response, 503, {})
      const delayMs = this._faults.has('slow') ? this._random.next() * SLOW_MS : 0
      setTimeout(() => void this._route(request, response, Buffer.concat(parts).toString('utf8')), delayMs)
    })
  }

  private async _route (request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
    const { pathname, searchParams: query } = new URL(request.url!, 'http://store')
    if (this._faults.has('garbage')) {
      response.writeHead(200, { 'content-type': 'application/json' })
      return void response.end(draw(GARBAGE, this._random))
    }
    switch (`${request.method} ${pathname}`) {
      case 'GET /-/rows-get': return this._get(response, query)
      case 'GET /-/rows-feed': return await this._feed(response, query)
      case 'POST /-/rows-tx': return this._transact(response, JSON.parse(body) as TransactionBody)
      default: return this._send(response, 404, {})
    }
  }

  private _get (response: ServerResponse, query: URLSearchParams): void {
    const table = query.get('table')!
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS))
    const { rows, more } = this.rows.rows(table, { from: query.get('from') ?? undefined, limit })
    this._send(response, 200, { rows: rows.map((row) => wireRow(table, row)), truncated: more })
  }

  private async _feed (response: ServerResponse, query: URLSearchParams): Promise<void> {
    const table = query.get('table')!
    const until = performance.now() + Number(query.get('wait_ms'))
    while (!response.destroyed) {
      const changes = this.rows.changes(table, Number(query.get('after')))
      if (changes === 'history-lost') return this._send(response, 410, {})
      const leftMs = until - performance.now()
      if (changes.rows.length > 0 || leftMs <= 0) {
        return this._send(response, 200, { rows: changes.rows.map((row) => wireRow(table, row)) })
      }
      await this.rows.waitForChange(leftMs)
    }
  }

  private _transact (response: ServerResponse, { expected_rev: expected = [], puts = [], remove = [] }: TransactionBody): void {
    if ([...puts, ...remove].some(({ table }) => READ_ONLY.includes(table))) return this._send(response, 403, {})
    const run = () => this.rows.run({
      conditions: expected.map(({ table, key, ver }) => ({ table, key, version: ver })),
      puts: puts.map(({ table, key, value }) => ({ table, key, value: Buffer.from(value, 'base64').toString('utf8') })),
      removes: remove
    })
    if (this._faults.has('lost-answers') && this._random.next() < LOST_FRACTION) return void setTimeout(run, this._random.next() * LATE_MS)
    this._send(response, run() === 'done' ? 200 : 412, { rows: [] })
  }

  private _send (response: ServerResponse, status: number, value: object): void {
    if (response.destroyed) return
    const body = JSON.stringify({ ...value, ver: this.rows.version, now_ms: Math.round(performance.now() - this._startedAt) })
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
    response.end(body)
  }
}

function wireRow (table: string, { key, version, value }: StoredRow): object {
  const row = { table, part: '', key, ver: version }
  return value === undefined ? { ...row, removed: true } : { ...row, value: Buffer.from(value).toString('base64') }
}
