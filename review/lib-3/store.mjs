/** A stand-in for the platform's metadata store: rows in tables, transactions and the feed of changes. */
import { createServer } from 'node:http'

const HISTORY_MS = 20_000

export class PlatformStore {
  /** Answers no call while it is away; connections are reset. */
  isAway = false
  #rows = new Map()
  #history = []
  #version = 100
  #era = 1
  #waiting = new Set()
  /** When the open reads of the feed began, by table. */
  #feeds = new Map()
  #sockets = new Set()
  /** Connections that have gone silent for good. */
  #silent = new WeakSet()
  #startedAt = performance.now()
  #server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => this.#handle(request, response))

  /** Resolves with the address of the store. */
  listen (host) {
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.once('close', () => this.#sockets.delete(socket))
      if (this.isAway) socket.resetAndDestroy()
    })
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject).listen(0, host, () => resolve(`${host}:${this.#server.address().port}`))
    })
  }

  close () {
    this.#server.close()
    this.#reset()
  }

  get version () {
    return this.#version
  }

  /** The value of a row, or undefined if there is none. */
  get (table, key) {
    const row = this.#rows.get(`${table}|${key}`)
    return row && JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'))
  }

  /** Writes a row on behalf of the operator or a backend server. Returns the version, which is the acknowledgement. */
  put (table, key, value) {
    return this.#commit([{ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], [])
  }

  remove (table, key) {
    return this.#commit([], [{ table, part: '', key }])
  }

  /** Copies what the store holds. */
  copy () {
    return { rows: new Map(this.#rows), history: [...this.#history], version: this.#version }
  }

  /** Makes the store go away: all connections are reset until it comes back. */
  leave () {
    this.isAway = true
    this.#reset()
  }

  /** Lets the store come back, from an older copy if one is given. */
  comeBack (copy) {
    if (copy) {
      this.#rows = new Map(copy.rows)
      this.#history = [...copy.history]
      this.#version = copy.version
      this.#era += 1
    }
    this.isAway = false
  }

  /** How long a read of a table's feed has been open. */
  feedAgeMs (table) {
    return performance.now() - (this.#feeds.get(table) ?? performance.now())
  }

  /** Lets all open connections go silent for good, without a reset. New ones work. */
  silence () {
    for (const socket of this.#sockets) this.#silent.add(socket)
    return this.#sockets.size
  }

  #reset () {
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  #commit (puts, removes) {
    this.#version += 1
    const ver = this.#version
    const at = performance.now()
    for (const put of puts) {
      const row = { ...put, ver }
      this.#rows.set(`${put.table}|${put.key}`, row)
      this.#history.push({ row, at })
    }
    for (const { table, part, key } of removes) {
      if (this.#rows.delete(`${table}|${key}`)) this.#history.push({ row: { table, part, key, ver, removed: true }, at })
    }
    for (const check of [...this.#waiting]) check()
    return ver
  }

  #handle (request, response) {
    const { pathname, searchParams } = new URL(request.url, 'http://store')
    const parts = []
    request.on('data', (part) => parts.push(part))
    request.on('end', () => {
      if (pathname === '/-/rows-get') return this.#get(searchParams, response)
      if (pathname === '/-/rows-feed') return this.#feed(searchParams, response)
      if (pathname === '/-/rows-tx') return this.#transact(JSON.parse(Buffer.concat(parts).toString('utf8')), response)
      this.#answer(response, 404, {})
    })
  }

  #get (query, response) {
    const from = query.get('from') ?? ''
    const limit = Number(query.get('limit') ?? 500)
    const rows = [...this.#rows.values()]
      .filter(({ table, part, key }) => table === query.get('table') && part === (query.get('part') ?? '') && key >= from)
      .sort((a, b) => a.key < b.key ? -1 : 1)
    this.#answer(response, 200, { rows: rows.slice(0, limit), truncated: rows.length > limit })
  }

  #feed (query, response) {
    const after = Number(query.get('after'))
    const oldest = this.#history.findIndex(({ at }) => performance.now() - at < HISTORY_MS)
    const lost = oldest > 0 ? this.#history[oldest - 1].row.ver : 0
    if (after > this.#version || after < lost) return this.#answer(response, 410, {})
    const changes = () => this.#history.map(({ row }) => row).filter(({ table, ver }) => table === query.get('table') && ver > after)
    const end = () => {
      clearTimeout(timer)
      this.#waiting.delete(check)
      if (!response.destroyed) this.#answer(response, 200, { rows: changes() })
    }
    const check = () => changes().length > 0 && end()
    const timer = setTimeout(end, Number(query.get('wait_ms')))
    this.#waiting.add(check)
    this.#feeds.set(query.get('table'), performance.now())
    response.once('close', () => {
      clearTimeout(timer)
      this.#waiting.delete(check)
    })
    check()
  }

  #transact ({ expected_rev: conditions = [], puts = [], remove = [] }, response) {
    if ([...puts, ...remove].some(({ table }) => table === 'op' || table === 'servers')) return this.#answer(response, 403, {})
    const current = conditions.map(({ table, key }) => this.#rows.get(`${table}|${key}`))
    const holds = conditions.every(({ ver }, index) => (current[index]?.ver ?? 0) === ver)
    if (!holds) return this.#answer(response, 412, { rows: current.filter(Boolean) })
    this.#commit(puts, remove)
    this.#answer(response, 200, {})
  }

  #answer (response, status, body) {
    if (this.#silent.has(response.socket)) return
    const text = JSON.stringify({ ...body, ver: this.#version, now_ms: Math.round(performance.now() - this.#startedAt) })
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': String(this.#era) })
    response.end(text)
  }
}
