/** A stand-in of the platform's store: rows with versions, a change feed and transactions, as PROTOCOL.md describes them. */
import { createServer } from 'node:http'

const MAX_ROWS = 500

/** Rows by table and key, served over HTTP. The stand-ins of the operator and of the backend servers write to it directly. */
export class PlatformStore {
  constructor () {
    this._tables = new Map()
    this._version = 0
    this._waiting = new Set()
    this._startedAt = performance.now()
    this._server = createServer((request, response) => this._handle(request, response))
  }

  async listen (host) {
    await new Promise((resolve) => this._server.listen(0, host, resolve))
    const { port } = this._server.address()
    return `${host}:${port}`
  }

  close () {
    this._server.close()
    this._server.closeAllConnections()
  }

  /** Writes one row; without a value, removes it. */
  put (table, key, value) {
    this._version += 1
    this._table(table).set(key, { table, part: '', key, ver: this._version, value: value === undefined ? undefined : encode(value) })
    for (const notify of [...this._waiting]) notify()
  }

  _handle (request, response) {
    const parts = []
    request.on('data', (part) => parts.push(part))
    request.on('end', () => {
      const url = new URL(request.url, 'http://store')
      const query = url.searchParams
      switch (`${request.method} ${url.pathname}`) {
        case 'GET /-/rows-get': return this._get(response, query)
        case 'GET /-/rows-feed': return this._feed(response, query)
        case 'POST /-/rows-tx': return this._transact(response, JSON.parse(Buffer.concat(parts).toString('utf8')))
        default: return this._send(response, 404, {})
      }
    })
  }

  _get (response, query) {
    const from = query.get('from') ?? ''
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS))
    const found = [...this._table(query.get('table')).values()].filter(({ key, value }) => value !== undefined && key >= from)
    found.sort((a, b) => a.key < b.key ? -1 : 1)
    this._send(response, 200, { rows: found.slice(0, limit), truncated: found.length > limit })
  }

  _feed (response, query) {
    const after = Number(query.get('after'))
    const table = this._table(query.get('table'))
    const answer = () => {
      const changed = [...table.values()].filter(({ ver }) => ver > after).sort((a, b) => a.ver - b.ver)
      if (changed.length === 0) return false
      this._send(response, 200, { rows: changed.map((row) => row.value === undefined ? { ...row, removed: true } : row) })
      return true
    }
    if (answer()) return
    const stop = () => {
      clearTimeout(timer)
      this._waiting.delete(notify)
    }
    const notify = () => {
      if (answer()) stop()
    }
    const timer = setTimeout(() => {
      stop()
      this._send(response, 200, { rows: [] })
    }, Number(query.get('wait_ms')))
    this._waiting.add(notify)
    response.on('close', stop)
  }

  _transact (response, { expected_rev: expected = [], puts = [], remove = [] }) {
    const current = expected.map(({ table, key }) => this._table(table).get(key))
    if (expected.some(({ ver }, index) => versionOf(current[index]) !== ver)) {
      return this._send(response, 412, { rows: current.filter((row) => row?.value !== undefined) })
    }
    for (const { table, key, value } of puts) this.put(table, key, Buffer.from(value, 'base64').toString('utf8'))
    for (const { table, key } of remove) this.put(table, key, undefined)
    this._send(response, 200, {})
  }

  _send (response, status, value) {
    if (response.destroyed) return
    const body = JSON.stringify({ ...value, ver: this._version, now_ms: Math.round(performance.now() - this._startedAt) })
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
    response.end(body)
  }

  _table (name) {
    let table = this._tables.get(name)
    if (!table) {
      table = new Map()
      this._tables.set(name, table)
    }
    return table
  }
}

function versionOf (row) {
  return row?.value === undefined ? 0 : row.ver
}

function encode (value) {
  return Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64')
}
