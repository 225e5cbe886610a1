/** A stand-in of a backend server: registers itself in the store, runs requests in its slots, answers and reports its load. */
import { createServer } from 'node:http'

const HEARTBEAT_MS = 1500
let lastId = 0

/**
 * Options: `service`, `zone`, `host`, `slots`, `queue`, `workMs`, `body` (bytes of an answer), `store`, and `onRun(id, request)`.
 * `answer(context)` may replace the way in which a request is answered; it returns whether it has done so.
 */
export class Backend {
  constructor (options) {
    this.options = { slots: 2, queue: 4, workMs: 60, body: Buffer.from('the body of the answer\n'), ...options }
    lastId += 1
    this.id = `i-${String(lastId).padStart(8, '0')}`
    this.answered = 0
    this._running = 0
    this._queued = []
    this._sequence = 0
    this._born = Date.now()
    this._server = createServer((request, response) => this._handle(request, response))
    this._server.keepAliveTimeout = 10_000
  }

  async start () {
    await new Promise((resolve) => this._server.listen(0, this.options.host, resolve))
    this.address = `${this.options.host}:${this._server.address().port}`
    this._register()
    this._heartbeat = setInterval(() => this._register(), HEARTBEAT_MS)
  }

  stop () {
    clearInterval(this._heartbeat)
    this._server.close()
    this._server.closeAllConnections()
  }

  _register () {
    const { service, zone, slots, store } = this.options
    this._sequence += 1
    store.put('servers', this.id, {
      service,
      address: this.address,
      zone,
      config_version: '00000001',
      slots,
      state: 'ready',
      warmup_left_ms: 0,
      sequence: this._sequence,
      born: this._born
    })
  }

  get load () {
    return `${this._running},${this._queued.length},${this.options.slots},100`
  }

  _handle (request, response) {
    response.on('error', () => {})
    if (request.url === '/health') {
      response.writeHead(200, { 'instance-id': this.id, 'server-load': this.load, 'content-length': 2 })
      return response.end('ok')
    }
    const id = request.headers['request-id']
    const expected = request.headers['expect-instance']
    if (expected !== undefined && expected !== this.id) return this._reject(request, response, 421)
    if (this.options.early?.({ request, response, id, backend: this })) return
    request.resume()
    request.on('end', () => {
      if (this._running < this.options.slots) return this._run(request, response, id)
      if (this._queued.length >= this.options.queue) return this._reject(request, response, 503)
      this._queued.push(() => this._run(request, response, id))
    })
  }

  _reject (request, response, status) {
    request.resume()
    response.writeHead(status, { 'not-executed': '1', 'instance-id': this.id, 'content-length': 0 })
    response.end()
  }

  _run (request, response, id) {
    this._running += 1
    this.options.onRun?.(id, request, this)
    setTimeout(() => {
      this.answered += 1
      if (!response.destroyed) this._answer(request, response, id)
      this._running -= 1
      this._queued.shift()?.()
    }, this.options.workMs)
  }

  _answer (request, response, id) {
    const { body } = this.options
    if (this.options.answer?.({ request, response, id, body, backend: this })) return
    response.writeHead(200, {
      'request-id': id, 'server-stamp': `stamp.${id}`, 'server-load': this.load, 'content-type': 'text/plain', 'content-length': body.length
    })
    response.end(body)
  }
}
