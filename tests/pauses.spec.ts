/** What callers get from an entry process that was paused, or that rejected their connection. */
import { expect } from 'chai'
import { Worker } from 'node:worker_threads'
import { type Deployment, HOST, openRaw, REQUEST_ID, send, smallDocument, waitUntil, useDeployment } from './fixtures/deployment.js'

/** Above the header timeout of the small document. */
const PAUSE_MS = 600

/**
 * Blocks the event loop of this process, and with it all entries, as a paused process does. Input arrives meanwhile and is not read. The
 * pause, before which `act` is called, ends in the loop's check phase: timers run before sockets are read, as in a process that resumes.
 */
async function pauseProcess (ms: number, act: () => void = () => {}): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve))
  act()
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms)
}

function order (name: string): string {
  return `POST /orders HTTP/1.1\r\nhost: x\r\n${REQUEST_ID}: ${name}\r\ncontent-length: 1\r\n\r\nx`
}

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

describe('paused entry', () => {
  let deployment: Deployment

  useDeployment((each) => {
    deployment = each
  })

  // Guards against answering 408, which promises that a request never runs, and then running the request.
  it('should serve an order that arrived in time although the header timeout passed during a pause', async () => {
    await deployment.start(smallDocument(), [{}], ['a'])
    const { socket, received, ended } = openRaw(deployment.portOf(0))
    await sleep(100)
    await pauseProcess(PAUSE_MS, () => socket.write(order('m')))
    await waitUntil(() => received().includes('"request":"m"') || socket.destroyed)
    expect(received()).to.match(/^HTTP\/1\.1 200/)
    expect(deployment.truth.runCount('m')).to.equal(1)
    socket.end()
    await ended
  })

  for (const [title, early, late] of [
    ['that comes', '', order('m')], ['whose rest comes', order('m').slice(0, 30), order('m').slice(30)]
  ] as const) {
    // Guards against answering 408, which promises that a request never runs, and then running the request.
    it(`should not run an order ${title} after the connection was rejected`, async () => {
      await deployment.start(smallDocument(), [{}], ['a'])
      const { socket, received } = openRaw(deployment.portOf(0), early, { allowHalfOpen: true })
      await waitUntil(() => received() !== '')
      expect(received()).to.match(/^HTTP\/1\.1 408/)
      socket.write(late)
      await sleep(300)
      expect(received().match(/HTTP\/1\.1/g)).to.have.length(1)
      expect(deployment.truth.runCount('m')).to.equal(0)
      await waitUntil(() => socket.readableEnded)
      socket.destroy()
    })
  }

  // Guards against closing a connection as idle whose next request has arrived during a pause.
  it('should serve an order that arrived in time although the idle timeout passed during a pause', async () => {
    await deployment.start(smallDocument({}, { idleMs: 200 }), [{}], ['a'])
    const { socket, received } = openRaw(deployment.portOf(0), order('m1'))
    await waitUntil(() => received().includes('"m1"'))
    // Node closes an idle connection up to a second after the configured timeout.
    await pauseProcess(PAUSE_MS + 1000, () => socket.write(order('m2')))
    await waitUntil(() => received().includes('"m2"') || socket.destroyed)
    expect(received()).to.include('"m2"')
    socket.end()
  })

  // Guards against refusing a request at its deadline although its answer had arrived during a pause.
  it('should pass on an answer that arrived in time although the deadline passed during a pause', async () => {
    await deployment.start(smallDocument(), [], ['a'])
    const { port, arrived, stop } = await startBackendThread()
    const row = { incarnation: '1', service: 'orders', zone: 'a', host: HOST, port, slots: 2, state: 'ready' }
    deployment.store.engine.put('servers', 'thread', JSON.stringify(row))
    await waitUntil(() => deployment.entries[0]!.node.core.catalog.size === 1)
    const answer = send(deployment.portOf(0), 'POST', '/orders', { [REQUEST_ID]: 'm', 'gooseberryspan-deadline-ms': '400' }, 'x')
    await arrived
    await pauseProcess(PAUSE_MS)
    expect((await answer).status).to.equal(200)
    await stop()
  })
})

interface BackendThread {
  port: number
  /** Resolves when the first request has arrived. */
  arrived: Promise<void>
  stop: () => Promise<unknown>
}

/** Starts a backend server in a thread of its own, so that it goes on while this thread is paused. */
async function startBackendThread (): Promise<BackendThread> {
  const worker = new Worker(`
    const { createServer } = require('node:http')
    const { parentPort } = require('node:worker_threads')
    const server = createServer((request, response) => {
      response.setHeader('gooseberryspan-server', 'thread')
      if (request.url === '/health') return response.end()
      parentPort.postMessage('arrived')
      response.setHeader('gooseberryspan-request-id', request.headers['gooseberryspan-request-id'])
      setTimeout(() => response.end('done'), 100)
    })
    server.listen(0, '${HOST}', () => parentPort.postMessage(server.address().port))
  `, { eval: true })
  const nextMessage = (): Promise<unknown> => new Promise((resolve) => worker.once('message', resolve))
  const port = await nextMessage() as number
  return { port, arrived: nextMessage().then(() => {}), stop: () => worker.terminate() }
}
