/** A stand-in for the platform's store: rows with versions, a feed of changes, conditional transactions. */
import { createServer } from 'node:http'

const DELAY_MS = 4
const MAX_ROWS = 500

export class Store {
  #rows = new Map()
  #log = []
  #version = 1
  #waiting = new Set()
  #startedAt = performance.now()
  #server
  writes = 0
  reads = 0

  /** Listens and resolves with the address. */
  listen (host) {
    this.#server = createServer((request, response) => this.#receive(request, response))
    return new Promise((resolve) => {
      this.#server.listen(0, host, () => resolve(`${host}:${this.#server.address().port}`))
    })
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Writes a row as the operator or a server does; returns when the store has acknowledged it. */
  put (table, key, value) {
    this.#apply([{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }])
    return performance.now()
  }

  remove (table, key) {
    this.#apply([{ table, key, removed: true }])
    return performance.now()
  }

  /** Returns the value of a row, or undefined. */
  get (table, key) {
    const row = this.#rows.get(`${table}\n${key}`)
    return row && JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'))
  }

  #apply (changes) {
    this.#version += 1
    for (const { table, key, value, removed } of changes) {
      const row = { table, part: '', key, ver: this.#version, ...(removed ? { removed: true } : { value }) }
      if (removed) this.#rows.delete(`${table}\n${key}`)
      else this.#rows.set(`${table}\n${key}`, row)
      this.#log.push(row)
    }
    for (const wake of [...this.#waiting]) wake()
  }

  #receive (request, response) {
    const parts = []
    request.on('error', () => {})
    request.on('data', (part) => parts.push(part))
    request.on('end', () => {
      const url = new URL(request.url, 'http://store')
      const name = `${request.method} ${url.pathname}`
      const send = (status, body) => setTimeout(() => {
        const text = JSON.stringify({ ...body, now_ms: Math.round(performance.now() - this.#startedAt) })
        response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
      }, DELAY_MS)
      if (name === 'GET /-/rows-get') return this.#get(url.searchParams, send)
      if (name === 'GET /-/rows-feed') return this.#feed(url.searchParams, send)
      if (name === 'POST /-/rows-tx') return this.#transact(JSON.parse(Buffer.concat(parts).toString('utf8')), send)
      send(404, {})
    })
  }

  #get (query, send) {
    this.reads += 1
    const [table, from, target] = ['table', 'from', 'target'].map((name) => query.get(name))
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS))
    const found = [...this.#rows.values()]
      .filter((row) => row.table === table && (from === null || row.key >= from) && (target === null || row.key < target))
      .sort((a, b) => a.key < b.key ? -1 : 1)
    send(200, { rows: found.slice(0, limit), truncated: found.length > limit, ver: this.#version })
  }

  #feed (query, send) {
    this.reads += 1
    const table = query.get('table')
    const after = Number(query.get('after'))
    const changes = () => {
      const newest = new Map()
      for (const row of this.#log) if (row.table === table && row.ver > after) newest.set(row.key, row)
      return [...newest.values()].sort((a, b) => a.ver - b.ver)
    }
    const finish = () => {
      clearTimeout(timer)
      this.#waiting.delete(wake)
      send(200, { rows: changes(), ver: this.#version })
    }
    const wake = () => changes().length > 0 && finish()
    const timer = setTimeout(finish, Number(query.get('wait_ms') ?? 0))
    this.#waiting.add(wake)
    wake()
  }

  #transact ({ expected_rev: expected = [], puts = [], remove = [] }, send) {
    this.writes += 1
    const current = ({ table, key }) => this.#rows.get(`${table}\n${key}`)
    if ([...puts, ...remove].some(({ table }) => table === 'op' || table === 'servers')) return send(403, {})
    if (expected.some((row) => (current(row)?.ver ?? 0) !== row.ver)) {
      return send(412, { rows: expected.map(current).filter(Boolean), ver: this.#version })
    }
    this.#apply([...puts, ...remove.map(({ table, key }) => ({ table, key, removed: true }))])
    send(200, { ver: this.#version })
  }
}
