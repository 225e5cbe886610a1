/** A stand-in for a backend server, which registers itself in the store. */
import { randomBytes } from 'node:crypto'
import { createServer } from 'node:http'

const HEARTBEAT_MS = 1500
/** Requests that wait for a slot; one more is rejected. */
const QUEUE_LENGTH = 4

export class Backend {
  /** Requests that have reached it: id and time. */
  arrivals = []
  /** Requests that it has run: id, time and, if any, the tenant. */
  runs = []
  /** Headers that it adds to its answers. */
  extraHeaders = {}
  #options
  #server = createServer({ keepAliveTimeout: 10_000 }, (request, response) => this.#handle(request, response))
  #running = 0
  /** Start the requests that wait for a slot. */
  #waiting = []
  #heartbeat
  #row

  /** `run` decides how a request is answered, if it is not a plain success after `workMs`. */
  constructor ({ store, service, zone, host, slots = 4, workMs = 20, now, run }) {
    this.#options = { store, service, zone, host, slots, workMs, now, run }
    this.id = `i-${randomBytes(4).toString('hex')}`
  }

  get service () {
    return this.#options.service
  }

  get registration () {
    return this.#row
  }

  /** Listens and registers itself as ready. */
  async start () {
    const { host, service, zone, slots } = this.#options
    const port = await new Promise((resolve, reject) => {
      this.#server.once('error', reject).listen(0, host, () => resolve(this.#server.address().port))
    })
    this.#row = {
      service, address: `${host}:${port}`, zone, config_version: 'v1', slots, state: 'ready', warmup_left_ms: 0, sequence: 1, born: Date.now()
    }
    this.register()
    this.#heartbeat = setInterval(() => this.register(), HEARTBEAT_MS)
  }

  /** Writes the registration if the store has another one or none. A heartbeat that changes nothing else leaves the entry as it is. */
  register () {
    const { store } = this.#options
    if (store.isAway || !this.#row) return
    const { sequence, ...known } = store.get('servers', this.id) ?? {}
    const { sequence: own, ...row } = this.#row
    if (JSON.stringify(known) === JSON.stringify(row)) return
    this.#row.sequence = own + 1
    store.put('servers', this.id, { ...row, sequence: own + 1 })
  }

  /** Reports that it is leaving. */
  drain () {
    this.#row.state = 'draining'
    this.register()
  }

  /** Removes its registration. It goes on serving until it is stopped. */
  unregister () {
    this.#row = undefined
    this.#options.store.remove('servers', this.id)
  }

  stop () {
    clearInterval(this.#heartbeat)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #handle (request, response) {
    const { service, slots, workMs, now, run } = this.#options
    const expected = request.headers['expect-instance']
    const load = () => `${this.#running},${this.#waiting.length},${slots}`
    if (request.url === '/health') {
      const status = this.#row?.state === 'ready' ? 200 : 503
      return response.writeHead(status, { 'instance-id': this.id, 'server-load': load(), 'content-length': 0, ...this.extraHeaders }).end()
    }
    const id = request.headers['request-id']
    if (expected !== undefined && expected !== this.id) {
      return response.writeHead(421, { 'instance-id': this.id, 'request-id': id ?? '', 'content-length': 0 }).end()
    }
    if (id === undefined) return response.writeHead(400, { 'not-executed': '1', 'content-length': 0 }).end()
    this.arrivals.push({ id, at: now() })
    const custom = run?.(request, response, this)
    if (custom) return
    const begin = () => {
      this.runs.push({ id, at: now(), tenant: request.headers.tenant })
      this.#running += 1
      setTimeout(() => {
        const body = `${service} ${this.id} ${id}`
        response.writeHead(200, {
          'request-id': id,
          'server-stamp': `${this.id}.${id}`,
          'server-load': load(),
          'content-length': Buffer.byteLength(body),
          ...this.extraHeaders
        })
        this.#running -= 1
        response.end(body)
        this.#waiting.shift()?.()
      }, workMs)
    }
    if (this.#running < slots) begin()
    else if (this.#waiting.length < QUEUE_LENGTH) {
      this.#waiting.push(begin)
      response.once('close', () => {
        this.#waiting = this.#waiting.filter((other) => other !== begin)
      })
    } else response.writeHead(503, { 'request-id': id, 'not-executed': '1', 'server-load': load(), 'content-length': 0 }).end()
    request.resume()
  }
}
