/** A stand-in for a backend server: runs requests in slots, echoes their ids, signs its answers and registers itself. */
import { createServer } from 'node:http'

const BEAT_MS = 1500

export class Backend {
  running = 0
  #options
  #server
  #beat
  #sequence = 0
  #delayMs = 0
  #born = Date.now()

  /** `arrived` is called with each request that the server runs. */
  constructor (options) {
    this.#options = { slots: 8, workMs: 20, state: 'ready', arrived: () => {}, ...options }
  }

  get id () {
    return this.#options.id
  }

  async start () {
    const { host } = this.#options
    this.#server = createServer({ keepAliveTimeout: 10_000 }, (request, response) => this.#receive(request, response))
    await new Promise((resolve) => this.#server.listen(0, host, resolve))
    this.#register()
    this.#beat = setInterval(() => this.#register(), BEAT_MS)
  }

  /** Reports to the store now, and every `BEAT_MS` from now on. */
  beatNow () {
    clearInterval(this.#beat)
    this.#beat = setInterval(() => this.#register(), BEAT_MS)
    return this.#register()
  }

  /** Reports to the store that the server leaves. Returns when the store has acknowledged that. */
  drain () {
    this.#options.state = 'draining'
    return this.beatNow()
  }

  /** The store performs the next heartbeat `ms` milliseconds late and does not answer it. */
  delayNextBeat (ms) {
    this.#delayMs = ms
  }

  /** Ends at once, as a server does that has left: what it still works on gets no answer, and its entry is removed. */
  leave () {
    this.stop()
    this.#options.store.remove('servers', this.id)
  }

  stop () {
    clearInterval(this.#beat)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #register () {
    const { id, host, service, zone, slots, state, store, reported = () => {} } = this.#options
    this.#sequence += 1
    const entry = {
      service,
      address: `${host}:${this.#server.address().port}`,
      zone,
      config_version: 'v1',
      slots,
      state,
      warmup_left_ms: 0,
      sequence: this.#sequence,
      born: this.#born
    }
    const put = () => {
      reported(entry)
      return store.put('servers', id, entry)
    }
    if (this.#delayMs === 0) return put()
    setTimeout(put, this.#delayMs)
    this.#delayMs = 0
  }

  #receive (request, response) {
    const { id, slots, workMs, arrived } = this.#options
    const headers = request.headers
    request.resume()
    request.on('error', () => {})
    request.on('end', () => {
      const send = (status, extra, body = '') => {
        const own = { 'Instance-Id': id, 'Server-Load': `${this.running},0,${slots},100`, 'Content-Length': body.length, ...extra }
        if (headers['request-id'] !== undefined) own['Request-Id'] = headers['request-id']
        response.writeHead(status, own).end(body)
      }
      if (request.url === '/health') return send(200, {})
      if (headers['request-id'] === undefined) return send(400, { 'Not-Executed': '1' })
      if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== id) return send(421, {})
      if (this.running >= slots) return send(503, { 'Not-Executed': '1' })
      this.running += 1
      arrived({ backend: id, request: headers['request-id'], customer: headers.tenant, at: performance.now() })
      setTimeout(() => {
        this.running -= 1
        send(200, { 'Server-Stamp': `${id}.${headers['request-id']}` }, `${id} ran ${headers['request-id']}`)
      }, workMs)
    })
  }
}
