/** Keys of customers at a real entry: who is served, and what backend servers and logs get to see. */
import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Writable } from 'node:stream'
import { expect } from 'chai'
import { pino } from 'pino'
import { RequestQueue, Scheduler, ServedFractions, validateDocument } from '@gooseberryspan/core'
import { HOST, REQUEST_ID, openRaw, send, smallDocument, useDeployment, waitUntil, type Deployment } from './fixtures/deployment.js'
import { placementRequest, registeredServer } from './fixtures/records.js'

const KEY = 'key-of-alpha-1'
const CUSTOMER = 'gooseberryspan-customer'
const digest = (key: string): string => createHash('sha256').update(key).digest('hex')
const authorization = `Bearer ${KEY}`

function documentWith (customers: unknown[] | undefined, changes: Record<string, unknown> = {}) {
  return validateDocument({ ...smallDocument(changes), customers })
}

const alpha = { name: 'alpha', keyDigests: [digest(KEY), digest('key-of-alpha-2')] }
const beta = { name: 'beta', keyDigests: [digest('key-of-beta')] }

describe('customers', () => {
  let deployment: Deployment
  let server: Server
  let heads: IncomingMessage[]
  useDeployment((fresh) => { deployment = fresh })

  /** Starts an entry in front of one server that keeps what it receives and answers everything. */
  beforeEach(async () => {
    heads = []
    server = createServer((request, response) => {
      if (request.url !== '/health') heads.push(request)
      request.resume().on('end', () => {
        response.writeHead(200, { [REQUEST_ID]: request.headers[REQUEST_ID] ?? 'none' }).end('{}')
      })
    })
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve))
  })

  afterEach(() => {
    server.closeAllConnections()
    server.close()
  })

  async function start (document = documentWith([alpha, beta])): Promise<void> {
    await deployment.start(document, [], ['a'])
    const { port } = server.address() as AddressInfo
    deployment.store.engine.put('servers', 'orders-0', JSON.stringify(registeredServer('o0', {
      service: 'orders', host: HOST, port, slots: 8
    })))
    await waitUntil(() => deployment.entries[0]!.node.core.catalog.size === 1)
  }

  const call = (headers: Record<string, string>, path = '/orders') => send(deployment.portOf(0), 'GET', path, headers)

  it('should be served with each of their keys, and nobody without one', async () => {
    await start()
    expect((await call({ authorization })).status).to.equal(200)
    expect((await call({ authorization: 'bearer key-of-alpha-2' })).status).to.equal(200)
    for (const wrong of ['', 'Bearer', `Basic ${KEY}`, 'Bearer other', `Bearer ${KEY}x`, KEY]) {
      expect((await call(wrong === '' ? {} : { authorization: wrong })).status, wrong).to.equal(401)
    }
    expect(heads).to.have.length(2)
  })

  // Guards against a caller that names another customer, and against a key that a server gets to see.
  it('should be named to servers by the entry alone, which never passes on a key', async () => {
    await start()
    const head = ['GET /orders HTTP/1.1', 'host: x', `Authorization: ${authorization}`, `AUTHORIZATION: ${authorization}`,
      `${CUSTOMER}: beta`, `${CUSTOMER.toUpperCase()}: beta`, 'connection: close', `${REQUEST_ID}: r1`].join('\r\n')
    await openRaw(deployment.portOf(0), `${head}\r\n\r\n`).ended
    const chunked = ['POST /orders HTTP/1.1', 'host: x', `authorization: ${authorization}`, `trailer: ${CUSTOMER}`, 'connection: close',
      'transfer-encoding: chunked', `${REQUEST_ID}: r2`].join('\r\n')
    const body = `1\r\nx\r\n0\r\n${CUSTOMER}: beta\r\nauthorization: ${authorization}\r\n\r\n`
    await openRaw(deployment.portOf(0), `${chunked}\r\n\r\n${body}`).ended
    expect(heads).to.have.length(2)
    for (const { rawHeaders, trailers } of heads) {
      const names = rawHeaders.filter((_, index) => index % 2 === 0).map((name) => name.toLowerCase())
      expect(names.filter((name) => name === CUSTOMER)).to.have.length(1)
      expect(rawHeaders.join('\n') + JSON.stringify(trailers)).to.not.include(KEY).and.not.include('beta')
      expect(rawHeaders[names.indexOf(CUSTOMER) * 2 + 1]).to.equal('alpha')
    }
  })

  it('should need no key on an open route, where servers see neither a key nor a name', async () => {
    const kinds = [{ name: 'check', methods: ['GET'], idempotent: true, open: true }]
    await start(documentWith([alpha], { kinds }))
    expect((await call({ authorization, [CUSTOMER]: 'alpha' })).status).to.equal(200)
    expect(heads[0]!.headers).to.not.have.any.keys('authorization', CUSTOMER)
  })

  it('should not be known to a configuration without customers, which passes on what callers send', async () => {
    await start(smallDocument())
    expect((await call({ authorization })).status).to.equal(200)
    expect(heads[0]!.headers.authorization).to.equal(authorization)
  })

  it('should not be served with a key that was withdrawn, on a connection that was open before', async () => {
    await start()
    const head = `GET /orders HTTP/1.1\r\nhost: x\r\nauthorization: ${authorization}\r\n`
    const { socket, received } = openRaw(deployment.portOf(0), `${head}${REQUEST_ID}: first\r\n\r\n`)
    await waitUntil(() => received().includes('HTTP/1.1 200'))
    await deployment.storeDocument(documentWith([{ ...alpha, keyDigests: [digest('key-of-alpha-2')] }, beta]))
    await waitUntil(() => deployment.entries[0]!.node.core.declarations.customerOfKey(digest(KEY)) === undefined)
    socket.write(`${head}${REQUEST_ID}: second\r\n\r\n`)
    await waitUntil(() => received().includes('HTTP/1.1 401'))
    socket.destroy()
    expect(heads).to.have.length(1)
  })

  it('should be refused without 401 at an entry that may not know a new key yet', async () => {
    await start()
    deployment.store.faults.outage = 'reset'
    const { node } = deployment.entries[0]!
    await waitUntil(() => node.resolveContext().keysAreCurrent() === 'stale')
    expect((await call({ authorization: 'Bearer new' })).status).to.equal(503)
    expect((await call({ authorization })).status).to.equal(200)
    expect((await call({})).status).to.equal(401)
  })

  it('should not be served by an entry that is cut off for too long, if the settings say so', async () => {
    deployment.entrySettings = { customers: { strictRevoke: true, revokeMs: 1500 } }
    await start()
    deployment.store.faults.outage = 'reset'
    await waitUntil(() => deployment.entries[0]!.node.resolveContext().keysAreCurrent() === 'expired')
    expect((await call({ authorization })).status).to.equal(503)
  })

  it('should get 429 with a time to return beyond their quota', async () => {
    await start(documentWith([{ ...alpha, ratePerSecond: 1, burst: 2 }]))
    const answers = await Promise.all([1, 2, 3, 4].map(() => call({ authorization })))
    const statuses = answers.map(({ status }) => status).sort()
    expect(statuses).to.deep.equal([200, 200, 429, 429])
    const times = answers.filter(({ status }) => status === 429).map(({ headers }) => Number(headers['retry-after'])).sort()
    expect(times[0]).to.be.above(0)
    expect(times[1]! - times[0]!).to.be.closeTo(1, 0.01)
  })

  it('should not find their keys in a log line or an error', async () => {
    let text = ''
    const log = pino(new Writable({
      write: (part: Buffer, _, done) => {
        text += part.toString()
        done()
      }
    }))
    await start()
    const entry = await deployment.startEntry('logged', 'a', { log })
    await waitUntil(() => entry.node.ready)
    const ok = await send(entry.ports.callers, 'GET', '/orders', { authorization })
    const wrong = await send(entry.ports.callers, 'GET', '/orders', { authorization: `Bearer ${KEY}wrong` })
    expect([ok.status, wrong.status]).to.deep.equal([200, 401])
    await waitUntil(() => text.includes('"customer":"alpha"') && text.includes('bad-request'))
    expect(text + ok.text + wrong.text).to.not.include(KEY)
  })

  it('should be refused with the document if two of them share a key', () => {
    const thief = { name: 'thief', keyDigests: [digest(KEY)] }
    expect(() => documentWith([alpha, thief])).to.throw().with.property('faults').that.deep.equals([
      { path: 'customers.1.keyDigests.0', reason: '\'alpha\' has the same key' }
    ])
  })

  // Guards against a request that names its kind and is treated as another one.
  it('should get the kind of request that they name', async () => {
    const kinds = [
      { name: 'quick', methods: ['GET'], idempotent: true, deadlineMs: 100 },
      { name: 'slow', methods: ['GET'], idempotent: false, deadlineMs: 9000 }
    ]
    await start(smallDocument({ kinds }))
    await call({ 'gooseberryspan-kind': 'slow' })
    expect(Number(heads[0]!.headers['gooseberryspan-deadline-ms'])).to.be.above(1000)
  })
})

describe('shortage', () => {
  it('should put a customer that is served too seldom before those with a higher priority', () => {
    const served = new ServedFractions()
    for (let index = 0; index < 20; index++) served.record('first', true, index)
    for (let index = 0; index < 5; index++) served.record('last', index === 0, index)
    expect([served.isUnderserved('first', 30), served.isUnderserved('last', 30), served.isUnderserved('new', 30)])
      .to.deep.equal([false, true, false])
    const queue = new RequestQueue()
    const common = { queuedAt: 0, firstAskedAt: 0, awaitReadingsUntil: 0, readingRounds: 0, late: false }
    queue.add({ ...common, request: placementRequest('a', { priority: 0 }), underserved: false })
    queue.add({ ...common, request: placementRequest('b', { priority: 2 }), underserved: true })
    expect(queue.all().map((waiting) => waiting.request.id)).to.deep.equal(['b', 'a'])
  })

  // The load: one customer with a high priority asks for twice what the servers can do; the other one asks for little.
  it('should serve no customer less than a quarter as often as all', () => {
    const asked = new Map<string, number>()
    const granted = new Map<string, number>()
    const ends: Array<{ at: number, end: () => void }> = []
    let now = 0
    const scheduler = new Scheduler({
      service: 's',
      retry: { ratio: 0.2, slack: 10, windowMs: 10_000 },
      cold: () => ({ perSecond: 5, overage: 1.5, slack: 3 }),
      share: () => 1,
      loadReadingPolicy: () => ({ readings: 0, maxRounds: 0, freshMs: 1000 }),
      listener: {
        granted: ({ request: { id, customer }, server }) => {
          granted.set(customer!, (granted.get(customer!) ?? 0) + 1)
          ends.push({ at: now + 100, end: () => scheduler.report(id, server.id, 'r', { outcome: 'answered', tookMs: 100 }, now) })
        },
        refused: () => {},
        probe: (server) => ends.push({ at: now + 1, end: () => scheduler.probed(server.id, { healthy: true, coldMs: 0 }, now) })
      }
    })
    scheduler.setServers([registeredServer('s1'), registeredServer('s2')], now)
    const ask = (customer: string, priority: number): void => {
      asked.set(customer, (asked.get(customer) ?? 0) + 1)
      const id = `${customer}${asked.get(customer)}`
      scheduler.place(placementRequest(id, { customer, priority, targetAt: now + 500, deadlineAt: now + 1000 }), now)
    }
    for (; now < 20_000; now += 5) {
      for (const each of ends.splice(0)) each.at <= now ? each.end() : ends.push(each)
      if (now % 15 === 0) ask('loud', 0)
      if (now % 400 === 0) ask('quiet', 9)
      scheduler.tick(now)
    }
    const fraction = (customer: string): number => (granted.get(customer) ?? 0) / asked.get(customer)!
    const all = [...granted.values()].reduce((sum, count) => sum + count, 0) / [...asked.values()].reduce((sum, count) => sum + count, 0)
    expect(fraction('loud')).to.be.below(0.9)
    expect(fraction('quiet')).to.be.at.least(0.25 * all)
  })
})
