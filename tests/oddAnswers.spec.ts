/** Answers that are no valid HTTP, break off or never end: none reaches a caller as a success, and none is read without bound. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { expect } from 'chai'
import { HOST, REQUEST_ID, openRaw, send, smallDocument, useDeployment, waitUntil, type Deployment } from './fixtures/deployment.js'
import { registeredServer } from './fixtures/records.js'

interface Arrival { socket: Socket, id: string, body: () => number }

const UPLOAD_BYTES = 1_500_000
const DEADLINE_MS = 400
/** Far below the memory of an instance. */
const MAX_READ_BYTES = 64_000_000
const BODY = '{"whole":true}'

/** Every kind of request: read, repeatable order, order, each without a body, with a long one, and with a long one in chunks. */
const REQUESTS = ['GET', 'PUT', 'POST'].flatMap((method) => {
  const uploads = method === 'GET' ? ['none'] : ['none', 'long', 'chunked']
  return uploads.map((upload) => ({ method, upload }))
})

describe('odd answer', () => {
  let deployment: Deployment
  let server: Server
  let sentBytes: number
  let runs: Map<string, number>
  let act: (arrival: Arrival) => void
  const sockets = new Set<Socket>()
  useDeployment((fresh) => { deployment = fresh })

  const whole = (id: string, extra = ''): string =>
    `HTTP/1.1 200 OK\r\n${REQUEST_ID}: ${id}\r\n${extra}Content-Length: ${BODY.length}\r\n\r\n${BODY}`

  beforeEach(async () => {
    sentBytes = 0
    runs = new Map()
    server = createServer({ allowHalfOpen: true }, serve)
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve))
    const kinds = [
      { name: 'read', methods: ['GET'], idempotent: true, targetMs: 200, deadlineMs: DEADLINE_MS },
      { name: 'set', methods: ['PUT'], idempotent: true, targetMs: 200, deadlineMs: DEADLINE_MS },
      { name: 'place', methods: ['POST'], idempotent: false, targetMs: 200, deadlineMs: DEADLINE_MS }
    ]
    await deployment.start(smallDocument({ kinds }), [], ['a'])
    const { port } = server.address() as AddressInfo
    deployment.store.engine.put('servers', 'o0', JSON.stringify(registeredServer('o0', { service: 'orders', host: HOST, port, slots: 8 })))
    await waitUntil(() => deployment.entries[0]!.node.core.catalog.size === 1)
  })

  afterEach(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })

  /** Answers probes, and hands each other request to the test as soon as its head has arrived. */
  function serve (socket: Socket): void {
    let head = ''
    let bodyBytes = 0
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
    socket.on('data', (data) => {
      bodyBytes += data.length
      if (head.length > 4096) return
      head += data.toString('latin1')
      for (let end = head.indexOf('\r\n\r\n'); end >= 0; end = head.indexOf('\r\n\r\n')) {
        const request = head.slice(0, end)
        bodyBytes = head.length - end - 4
        head = /^(PUT|POST)/m.test(request) ? 'x'.repeat(4097) : head.slice(end + 4)
        if (request.startsWith('GET /health')) {
          socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
          continue
        }
        const id = new RegExp(`${REQUEST_ID}: (.*)`, 'i').exec(request)?.[1]?.trim() ?? ''
        runs.set(id, (runs.get(id) ?? 0) + 1)
        act({ socket, id, body: () => bodyBytes })
        return
      }
    })
  }

  /** Sends bytes until the other side closes the connection. */
  function pour (socket: Socket, part: string): void {
    const more = (): void => {
      if (socket.destroyed || sentBytes > 2 * MAX_READ_BYTES) return
      sentBytes += part.length
      if (socket.write(part, 'latin1')) setImmediate(more)
      else socket.once('drain', more)
    }
    more()
  }

  /** Sends a request and returns the status that the caller got, and whether the answer was whole. */
  async function call (id: string, { method, upload }: { method: string, upload: string }): Promise<{ status: number, isWhole: boolean }> {
    const length = upload === 'chunked' ? 'Transfer-Encoding: chunked' : `Content-Length: ${upload === 'long' ? UPLOAD_BYTES : 0}`
    const head = `${method} /orders HTTP/1.1\r\nHost: x\r\nConnection: close\r\n${REQUEST_ID}: ${id}\r\n${length}\r\n\r\n`
    const { socket, received, ended } = openRaw(deployment.portOf(0), head)
    if (upload !== 'none') void write(socket, upload)
    const timer = setTimeout(() => socket.destroy(), 3 * DEADLINE_MS)
    await Promise.race([ended, waitUntil(() => isComplete(received()) || socket.destroyed)])
    clearTimeout(timer)
    socket.destroy()
    const text = received()
    return { status: Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0), isWhole: isComplete(text) }
  }

  /** Writes a body slowly enough that answers come before its end. */
  async function write (socket: Socket, upload: string): Promise<void> {
    const part = 'x'.repeat(UPLOAD_BYTES / 30)
    for (let sent = 0; sent < UPLOAD_BYTES && !socket.destroyed; sent += part.length) {
      socket.write(upload === 'chunked' ? `${part.length.toString(16)}\r\n${part}\r\n` : part)
      await new Promise((resolve) => setTimeout(resolve, 2))
    }
    if (upload === 'chunked' && !socket.destroyed) socket.write('0\r\n\r\n')
  }

  async function expectNoSuccess (): Promise<void> {
    for (const [index, request] of REQUESTS.entries()) {
      const id = `m${index}`
      const { status, isWhole } = await call(id, request)
      const what = `${request.method} ${request.upload}: ${status}`
      if (isWhole) expect(status, what).to.be.oneOf([500, 502, 503, 504])
      if (request.method === 'POST') expect(runs.get(id) ?? 0, what).to.be.at.most(1)
      if (status === 503) expect(request.method === 'POST' ? runs.get(id) ?? 0 : 0, what).to.equal(0)
    }
  }

  async function expectNextServed (): Promise<void> {
    act = ({ socket, id }) => socket.end(whole(id, 'Connection: close\r\n'))
    let status = 0
    for (let tries = 0; tries < 100 && status !== 200; tries++) {
      ({ status } = await send(deployment.portOf(0), 'GET', '/orders', { [REQUEST_ID]: `next${tries}` }))
      if (status !== 200) await new Promise((resolve) => setTimeout(resolve, 50))
    }
    expect(status).to.equal(200)
  }

  const parts: Record<string, (id: string) => string> = {
    'without a length': (id) => `HTTP/1.1 200 OK\r\n${REQUEST_ID}: ${id}\r\nConnection: close\r\n\r\n${BODY.slice(0, 7)}`,
    'in HTTP/1.0': (id) => `HTTP/1.0 200 OK\r\n${REQUEST_ID}: ${id}\r\n\r\n${BODY.slice(0, 7)}`,
    'in chunks': (id) => `HTTP/1.1 200 OK\r\n${REQUEST_ID}: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n${BODY.slice(0, 7)}\r\n`,
    'with a length': (id) => whole(id).slice(0, -7)
  }
  for (const [form, partOf] of Object.entries(parts)) {
    for (const [delay, delayMs] of [['at once', 0], ['a little later', 15]] as const) {
      // Guards against a part of an answer that reaches the caller as the whole of it.
      it(`should not be a success when it comes before the upload, ${form}, and is reset ${delay}`, async () => {
        act = ({ socket, id }) => {
          socket.write(partOf(id))
          setTimeout(() => socket.resetAndDestroy(), delayMs)
        }
        await expectNoSuccess()
        await expectNextServed()
      })
    }
  }

  for (const status of ['000', '0', '00', '099', '1', '20', '600', '999', '1000', '2000', '-200', '+200', '2OO', '0x200', ' ', '200.5']) {
    // Guards against an answer whose status is none reaching the caller as an answer.
    it(`should not reach the caller with the status "${status}"`, async () => {
      act = ({ socket, id }) => socket.write(whole(id).replace('200 OK', `${status} X`))
      await expectNoSuccess()
      await expectNextServed()
    })
  }

  const heads: Record<string, (id: string) => string> = {
    'in the status line': () => 'HTTP/1.1 20',
    'after the status line': () => 'HTTP/1.1 200 OK\r\n',
    'in a header': (id) => `HTTP/1.1 200 OK\r\n${REQUEST_ID}: ${id}\r\nContent-Len`,
    'before the empty line': (id) => `HTTP/1.1 200 OK\r\n${REQUEST_ID}: ${id}\r\nContent-Length: 0\r\n`
  }
  for (const [place, headOf] of Object.entries(heads)) {
    for (const end of ['end', 'resetAndDestroy', 'pause'] as const) {
      it(`should not be a success when its head stops ${place} (${end})`, async () => {
        act = ({ socket, id }) => {
          socket.write(headOf(id))
          setTimeout(() => socket[end](), 5)
        }
        await expectNoSuccess()
        await expectNextServed()
      })
    }
  }

  const endlessHeads: Record<string, (id: string) => [string, string]> = {
    'bytes that are no HTTP': () => ['', 'x'.repeat(65_536)],
    'empty lines': () => ['', '\r\n'.repeat(32_768)],
    'a status line': () => ['HTTP/1.1 200 ', 'x'.repeat(65_536)],
    'a header name': (id) => [`HTTP/1.1 200 OK\r\n${REQUEST_ID}: ${id}\r\n`, 'x'.repeat(65_536)],
    'a header value': (id) => [`HTTP/1.1 200 OK\r\n${REQUEST_ID}: ${id}\r\nA: `, 'x'.repeat(65_536)],
    headers: (id) => [`HTTP/1.1 200 OK\r\n${REQUEST_ID}: ${id}\r\n`, 'A: b\r\n'.repeat(10_000)],
    'interim answers': () => ['', 'HTTP/1.1 102 Processing\r\nA: b\r\n\r\n'.repeat(2000)]
  }
  for (const [what, linesOf] of Object.entries(endlessHeads)) {
    // Guards against a process that reads such bytes until its memory is used up, and ends with the requests of other callers.
    it(`should not be read on without end (${what})`, async () => {
      act = ({ socket, id }) => {
        const [first, rest] = linesOf(id)
        socket.write(first)
        pour(socket, rest)
      }
      await expectNoSuccess()
      expect(sentBytes).to.be.below(MAX_READ_BYTES)
      await expectNextServed()
    })
  }

  const chunked = (id: string): string => `HTTP/1.1 200 OK\r\n${REQUEST_ID}: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`
  const endlessBodies: Record<string, (id: string) => [string, string]> = {
    'a body without a length': (id) => [`HTTP/1.1 200 OK\r\n${REQUEST_ID}: ${id}\r\n\r\n`, 'x'.repeat(65_536)],
    'a body in chunks': (id) => [chunked(id), `ffff\r\n${'x'.repeat(65_535)}\r\n`],
    'a chunk size': (id) => [chunked(id), '0'.repeat(65_536)],
    'a chunk extension': (id) => [`${chunked(id)}1;`, 'x'.repeat(65_536)],
    trailers: (id) => [`${chunked(id)}0\r\n`, 'A: b\r\n'.repeat(10_000)],
    'the body of a failure': (id) => [`HTTP/1.1 500 X\r\n${REQUEST_ID}: ${id}\r\n\r\n`, 'x'.repeat(65_536)]
  }
  for (const [what, linesOf] of Object.entries(endlessBodies)) {
    // What has come of a body is passed on. Guards against reading on beyond the deadline, and against keeping what was read.
    it(`should not be read on beyond the deadline, nor kept (${what})`, async () => {
      act = ({ socket, id }) => {
        const [first, rest] = linesOf(id)
        socket.write(first)
        pour(socket, rest)
      }
      const before = process.memoryUsage().arrayBuffers
      await expectNoSuccess()
      await waitUntil(() => deployment.entries[0]!.node.core.requests.open === 0)
      expect(process.memoryUsage().arrayBuffers - before).to.be.below(MAX_READ_BYTES)
      await expectNextServed()
    })
  }

  const followers: Record<string, (id: string) => string> = {
    'a second whole answer': (id) => whole(id),
    'a second answer without an id': () => `HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
    'a refusal without an id': () => 'HTTP/1.1 503 X\r\ngooseberryspan-not-run: 1\r\nContent-Length: 0\r\n\r\n',
    'a status of 000': (id) => whole(id).replace('200 OK', '000 X'),
    'half a head': () => 'HTTP/1.1 200 OK\r\nContent-Le',
    'bytes that are no HTTP': () => 'xxxx'
  }
  for (const [what, followerOf] of Object.entries(followers)) {
    for (const delayMs of [0, 20]) {
      // Guards against bytes behind an answer that are taken for the answer to the next request on a kept connection.
      it(`should not answer the next request on its connection with what follows it (${what}, ${delayMs} ms later)`, async () => {
        act = ({ socket, id }) => {
          socket.write(delayMs === 0 ? whole(id) + followerOf(id) : whole(id))
          if (delayMs > 0) setTimeout(() => socket.write(followerOf(id)), delayMs)
        }
        for (let index = 0; index < 12; index++) {
          const request = REQUESTS[index % 2 === 0 ? 0 : 1]!
          const { status, isWhole } = await call(`k${index}`, request)
          expect(isWhole && status === 200 ? runs.get(`k${index}`) ?? 0 : 1, `request ${index}`).to.be.above(0)
          await new Promise((resolve) => setTimeout(resolve, index % 3 * 15))
        }
        await expectNextServed()
      })
    }
  }
})

/** Whether a text is an answer that is whole as its head says. */
function isComplete (text: string): boolean {
  const end = text.indexOf('\r\n\r\n')
  if (end < 0) return false
  const head = text.slice(0, end)
  const body = text.slice(end + 4)
  const length = /content-length: (\d+)/i.exec(head)?.[1]
  if (length !== undefined) return body.length >= Number(length)
  return /transfer-encoding: chunked/i.test(head) && body.endsWith('0\r\n\r\n')
}
