/** A stand-in for a backend server: runs requests in slots, echoes their ids, signs its answers and registers itself. */
import { createServer } from 'node:http'

const BEAT_MS = 1500

export class Backend {
  running = 0
  #options
  #server
  #beat
  #sequence = 0
  #born = Date.now()

  /** `arrived` is called with each request that the server runs. */
  constructor (options) {
    this.#options = { slots: 8, workMs: 20, arrived: () => {}, ...options }
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

  stop () {
    clearInterval(this.#beat)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #register () {
    const { id, host, service, zone, slots, store } = this.#options
    this.#sequence += 1
    store.put('servers', id, {
      service,
      address: `${host}:${this.#server.address().port}`,
      zone,
      config_version: 'v1',
      slots,
      state: 'ready',
      warmup_left_ms: 0,
      sequence: this.#sequence,
      born: this.#born
    })
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
