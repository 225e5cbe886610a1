/** A caller's connection: sends requests as raw bytes and reads the answers in order. */
import { connect } from 'node:net'

const HEAD_END = '\r\n\r\n'

/** One connection to an entry. Only one caller uses it; requests may be pipelined. */
export class Connection {
  constructor ({ host, port }) {
    this.closed = false
    this.served = 0
    this._buffer = Buffer.alloc(0)
    this._waiting = []
    this.socket = connect({ host, port, noDelay: true })
    this.opened = new Promise((resolve) => {
      this.socket.once('connect', () => resolve(true))
      this.socket.once('close', () => resolve(false))
    })
    this.socket.on('data', (part) => this._read(part))
    this.socket.on('error', () => {})
    this.socket.on('close', () => this._close())
  }

  /** Sends bytes and resolves with the answer `{ status, headers, body, at }`, or `{ lost: true }` if the connection ends before it. */
  send (bytes, { timeoutMs } = {}) {
    if (this.closed) return Promise.resolve({ lost: true, at: performance.now() })
    this.socket.write(bytes)
    return this.expectAnswer({ timeoutMs })
  }

  /** Resolves with the next answer. After `timeoutMs` without one, resolves with `{ silent: true }` and leaves the connection open. */
  expectAnswer ({ timeoutMs = 30_000 } = {}) {
    return new Promise((resolve) => {
      const waiting = { resolve, timer: setTimeout(() => resolve({ silent: true, at: performance.now() }), timeoutMs) }
      this._waiting.push(waiting)
      if (this.closed) this._close()
      else this._next()
    })
  }

  end () {
    this.socket.destroy()
  }

  _read (part) {
    this._buffer = this._buffer.length === 0 ? part : Buffer.concat([this._buffer, part])
    this._next()
  }

  _next () {
    while (this._waiting.length > 0) {
      const answer = takeAnswer(this._buffer)
      if (!answer) return
      this._buffer = this._buffer.subarray(answer.size)
      if (answer.status < 200) continue
      this.served += 1
      const { resolve, timer } = this._waiting.shift()
      clearTimeout(timer)
      resolve({ ...answer, at: performance.now() })
    }
  }

  _close () {
    this.closed = true
    for (const { resolve, timer } of this._waiting.splice(0)) {
      clearTimeout(timer)
      resolve({ lost: true, at: performance.now() })
    }
  }
}

/** The bytes of a request. */
export function requestBytes ({ method = 'GET', host = 'a.example', path, id, deadlineMs, body, length }) {
  const lines = [`${method} ${path} HTTP/1.1`, `Host: ${host}`, `Request-Id: ${id}`, `Deadline-Ms: ${deadlineMs}`]
  if (body || length !== undefined) lines.push(`Content-Length: ${length ?? body.length}`)
  const head = Buffer.from(`${lines.join('\r\n')}${HEAD_END}`, 'latin1')
  return body ? Buffer.concat([head, body]) : head
}

/** Takes a complete answer from the beginning of the bytes, if there is one. */
function takeAnswer (bytes) {
  const headEnd = bytes.indexOf(HEAD_END)
  if (headEnd < 0) return undefined
  const [first, ...lines] = bytes.subarray(0, headEnd).toString('latin1').split('\r\n')
  const headers = {}
  for (const line of lines) {
    const colon = line.indexOf(':')
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim()
  }
  const status = Number(first.split(' ')[1])
  const start = headEnd + HEAD_END.length
  if (headers['transfer-encoding'] === 'chunked') return takeChunked({ bytes, start, status, headers })
  const length = status < 200 || status === 204 ? 0 : Number(headers['content-length'] ?? 0)
  if (bytes.length < start + length) return undefined
  return { status, headers, body: bytes.subarray(start, start + length), size: start + length }
}

function takeChunked ({ bytes, start, status, headers }) {
  const parts = []
  let at = start
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    if (lineEnd < 0) return undefined
    const size = Number.parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16)
    if (bytes.length < lineEnd + 2 + size + 2) return undefined
    at = lineEnd + 2 + size + 2
    if (size === 0) return { status, headers, body: Buffer.concat(parts), size: at }
    parts.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size))
  }
}
