/** Answers of the store and of other entries that do not end. */
import { createServer, type Server, type Socket } from 'node:net'
import { expect } from 'chai'
import { PeerClient } from '@gooseberryspan/entry'
import { HttpClient } from '@gooseberryspan/store'
import { HOST } from './fixtures/deployment.js'

/** Memory of an instance. */
const INSTANCE_BYTES = 350_000_000
const TIMEOUT_MS = 10_000
const CHUNK = `ffff\r\n${'x'.repeat(65_535)}\r\n`

describe('endless answer', () => {
  let server: Server
  let sentBytes = 0
  const sockets = new Set<Socket>()

  beforeEach((done) => {
    sentBytes = 0
    server = createServer((socket) => {
      sockets.add(socket)
      socket.on('error', () => {})
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
      const send = (): void => {
        if (socket.destroyed || sentBytes > 2 * INSTANCE_BYTES) return
        sentBytes += CHUNK.length
        if (socket.write(CHUNK)) setImmediate(send)
        else socket.once('drain', send)
      }
      socket.once('data', send)
    })
    server.listen(0, HOST, done)
  })

  afterEach(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })

  // Guards against an answer that takes more memory than the instance has, which kills the process.
  it('should not be read to the memory of the instance from the store', async () => {
    const { port } = server.address() as { port: number }
    const client = new HttpClient({ url: `http://${HOST}:${port}`, timeoutMs: TIMEOUT_MS, requestsPerSecond: 10 })
    const error = await client.send('GET', '/').catch((reason: Error) => reason)
    client.close()
    expect(error).to.be.instanceOf(Error)
    expect(sentBytes).to.be.lessThan(INSTANCE_BYTES / 4)
  })

  it('should not be read to the memory of the instance from another entry', async () => {
    const { port } = server.address() as { port: number }
    const state = await new PeerClient({ token: undefined, timeoutMs: TIMEOUT_MS }).pull(HOST, port, { versions: {} })
    expect(state).to.equal(undefined)
    expect(sentBytes).to.be.lessThan(INSTANCE_BYTES / 4)
  })
})
