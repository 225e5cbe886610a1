/**
 * Crowds of callers that keep to no limit, against a real entry process with little memory. It has to live, stay within its memory and
 * descriptors, and answer an ordinary request afterwards. To be run apart from other load.
 */
import { createHash } from 'node:crypto'
import { connect, type Socket } from 'node:net'
import { expect } from 'chai'
import { validateDocument } from '@gooseberryspan/core'
import { HOST, send, smallDocument, useDeployment, type Deployment } from './fixtures/deployment.js'
import { EntryProgram } from './fixtures/entryProgram.js'

/** Memory of the instance, and of the heap in it. */
const INSTANCE_MB = 160
const HEAP_MB = 64
const MAX_DESCRIPTORS = 400
const POLL_MS = 100
/** A crowd has done what it can when no connection has moved for so many polls. */
const QUIET_POLLS = 15
const KEY = 'an-ordinary-key'

describe('crowds of callers', function () {
  this.timeout(120_000)
  let deployment: Deployment
  let entry: EntryProgram
  let ports: Record<string, number>
  const sockets: Socket[] = []
  useDeployment((provided) => {
    deployment = provided
    const kinds = [
      { name: 'check', methods: ['GET'], idempotent: true, targetMs: 200 },
      { name: 'place', methods: ['POST'], idempotent: false, targetMs: 200, deadlineMs: 50_000 }
    ]
    const keyDigests = [createHash('sha256').update(KEY).digest('hex')]
    const document = validateDocument({
      ...smallDocument({ kinds }, { headerMs: 5000 }), customers: [{ name: 'ordinary', keyDigests }]
    })
    return deployment.start(document, [{}, {}], [])
  })

  beforeEach(async () => {
    entry = new EntryProgram({
      url: deployment.url,
      heapMb: HEAP_MB,
      settings: { limits: { memoryMb: INSTANCE_MB }, operators: { address: `${HOST}:0`, token: 'operators-secret' } }
    })
    ports = await entry.started()
    await ordinary()
  })

  afterEach(() => {
    entry.dispose()
    for (const socket of sockets.splice(0)) socket.destroy()
  })

  /** Repeats one ordinary request until it is served. */
  async function ordinary (): Promise<void> {
    for (;;) {
      const answer = await send(ports.callers!, 'GET', '/orders', { authorization: `Bearer ${KEY}` }).catch(() => undefined)
      if (answer?.status === 200) return
      expect(entry.isRunning, entry.errors.slice(-500)).to.equal(true)
      await new Promise((resolve) => setTimeout(resolve, POLL_MS))
    }
  }

  /** Opens connections that write texts as fast as they can, one after the other, and never read. */
  function crowd (count: number, textsOf: (index: number) => Iterable<string>, port = ports.callers!): void {
    for (let index = 0; index < count; index++) {
      const socket = connect(port, HOST)
      const texts = textsOf(index)[Symbol.iterator]()
      const write = (): void => {
        for (let next = texts.next(); next.done !== true; next = texts.next()) if (!socket.write(next.value)) return
      }
      socket.on('error', () => {}).on('drain', write)
      socket.pause()
      write()
      sockets.push(socket)
    }
  }

  /** Waits until the crowd can do nothing more, and checks what has to hold. */
  async function settle (): Promise<void> {
    const progress = (): string => sockets.map(({ bytesWritten, writableLength, destroyed }) =>
      `${bytesWritten - writableLength}${destroyed}`).join()
    for (let quiet = 0, last = ''; quiet < QUIET_POLLS && entry.isRunning; quiet++) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS))
      if (progress() !== last) quiet = 0
      last = progress()
    }
    expect(entry.isRunning, `ended: ${entry.errors.slice(-500)}`).to.equal(true)
    await ordinary()
    expect(entry.memoryMb('VmHWM')).to.be.below(INSTANCE_MB)
    expect(entry.descriptors).to.be.below(MAX_DESCRIPTORS)
  }

  function * repeated (text: string, times: number, batch = 100): Generator<string> {
    for (let count = 0; count < times; count += batch) yield text.repeat(batch)
  }

  function * keyed (index: number, requests: number): Generator<string> {
    for (let count = 0; count < requests; count++) {
      const id = `${index}-${count}`
      yield `GET /orders HTTP/1.1\r\nhost: x\r\ngooseberryspan-request-id: r${id}\r\nauthorization: Bearer key-${id}\r\n\r\n`
    }
  }

  function * upload (text: string, times: number, batch: number): Generator<string> {
    const head = ['POST /orders HTTP/1.1', 'host: x', 'gooseberryspan-deadline-ms: 50000', `authorization: Bearer ${KEY}`]
    yield `${head.join('\r\n')}\r\ntransfer-encoding: chunked\r\n\r\n`
    yield * repeated(text, times, batch)
  }

  it('should not end it by requests without any header, sent ahead and their answers unread', async () => {
    crowd(60, () => repeated('GET /orders HTTP/1.1\r\n\r\n', 20_000))
    await settle()
  })

  it('should not end it by chunked bodies in very small chunks that do not end', async () => {
    crowd(20, () => upload('1\r\nx\r\n', 400_000, 1000))
    await settle()
  })

  it('should not end it by chunked bodies in large chunks that stop short of their end', async () => {
    crowd(250, () => upload(`4000\r\n${'x'.repeat(0x4000)}\r\n`, 60, 10))
    await settle()
  })

  it('should not end it by requests sent ahead, each with a new key, and their answers unread', async () => {
    crowd(60, (index) => keyed(index, 20_000))
    await settle()
  })

  it('should not end it by requests without the usual headers, sent ahead and their answers unread', async () => {
    crowd(40, () => repeated(`GET /orders HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${KEY}\r\n\r\n`, 10_000))
    await settle()
  })

  it('should not end it by requests sent ahead behind an upload that does not end', async () => {
    const behind = 'GET /orders HTTP/1.1\r\nhost: x\r\n\r\n'
    crowd(40, () => [...upload('1\r\nx\r\n', 10, 10), ...repeated(behind, 10_000)])
    await settle()
  })

  it('should not end it by expectations, upgrades and questions to the directory, sent ahead', async () => {
    const texts = [
      'POST /orders HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 0\r\n\r\n',
      'POST /orders HTTP/1.1\r\nhost: x\r\nexpect: other\r\ncontent-length: 0\r\n\r\n',
      'GET /orders HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n',
      'GET /v1/addresses HTTP/1.1\r\nhost: x\r\n\r\n'
    ]
    crowd(40, (index) => repeated(texts[index % texts.length]!, 10_000))
    await settle()
  })

  it('should not end it by requests sent ahead to its other ports', async () => {
    for (const port of ['operators', 'metrics', 'peers']) {
      crowd(10, () => repeated('GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n', 10_000), ports[port] ?? ports.callers)
    }
    await settle()
  })

  it('should not end it by trailers and chunk extensions without end', async () => {
    crowd(20, () => [...upload(`1;${'e'.repeat(2000)}\r\nx\r\n`, 2000, 100)])
    crowd(20, () => [...upload('1\r\nx\r\n', 1, 1), '0\r\n', ...repeated(`t: ${'v'.repeat(1000)}\r\n`, 4000)])
    await settle()
  })

  it('should not end it by heads that stop short of their end', async () => {
    crowd(250, (index) => [`GET /orders HTTP/1.1\r\nhost: x\r\n${`h${index}: ${'v'.repeat(500)}\r\n`.repeat(28)}`])
    await settle()
  })
})
