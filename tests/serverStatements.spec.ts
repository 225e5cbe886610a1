/** What backend servers state about themselves in answers: that they are leaving, and for how long they want no requests. */
import { expect } from 'chai'
import type { IncomingMessage } from 'node:http'
import { Catalog, SeededRandom, ServerHolds } from '@gooseberryspan/core'
import { DefaultDialect, readServerStatement, type ServerStatement } from '@gooseberryspan/entry'
import type { StandInBackend } from '@gooseberryspan/standins'
import { type Deployment, REQUEST_ID, send, smallDocument, useDeployment, waitUntil } from './fixtures/deployment.js'
import { registeredServer } from './fixtures/records.js'

const ENTRY_COUNT = 3
const SERVER_COUNT = 8
const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

describe('server statement', () => {
  const { headers: names } = new DefaultDialect('test')
  const NOW = Date.UTC(2026, 11, 5, 12, 0, 0)
  const read = (headers: Record<string, string>, statusCode = 503): ServerStatement | undefined =>
    readServerStatement({ headers, statusCode } as unknown as IncomingMessage, names, NOW)

  for (const [value, holdMs] of [
    ['0', 0], ['3', 3000], ['0.25', 250], ['9'.repeat(1000), 1e12], ['Sat, 05 Dec 2026 12:00:07 GMT', 7000],
    ['Sat, 05 Dec 2026 11:00:00 GMT', 0]
  ] as Array<[string, number]>) {
    it(`should read a time to retry of ${value.slice(0, 40)}`, () => {
      expect(read({ 'retry-after': value })).to.deep.equal({ leaving: false, holdMs })
    })
  }

  for (const value of ['', '-1', '1e400', 'soon', '3, 4', '0x10', 'Sat, 99 Dec 2026 99:00:07 GMT', '5 Dec 2026']) {
    it(`should ignore a time to retry of '${value}'`, () => {
      expect(read({ 'retry-after': value })).to.deep.equal({ leaving: false, unreadable: value })
    })
  }

  it('should read a time to retry only from a refusal', () => {
    expect(read({ 'retry-after': '3' }, 200)).to.equal(undefined)
  })

  for (const [value, limitPerSecond] of [['3.4', 3.4], ['0', 0], ['12', 12], ['9'.repeat(1000), 1e6], ['3.4, 2', 2]] as const) {
    it(`should read a limit of ${value.slice(0, 40)} requests a second from any answer`, () => {
      for (const status of [200, 404, 500, 503]) {
        expect(read({ 'test-limit': value }, status)).to.deep.equal({ leaving: false, limitPerSecond })
      }
    })
  }

  for (const value of ['', '-1', '1e3', 'few', '3.4;2', '0x10', 'NaN']) {
    it(`should ignore a limit of '${value}'`, () => {
      expect(read({ 'test-limit': value }, 200)).to.deep.equal({ leaving: false, unreadable: value })
    })
  }

  it('should read that a server is leaving from any answer', () => {
    for (const status of [200, 204, 404, 500, 503]) expect(read({ 'test-leaving': '1' }, status)).to.deep.equal({ leaving: true })
    expect(read({ 'test-leaving': '1, 1' }, 200)).to.deep.equal({ leaving: true })
    for (const value of ['0', '', 'no', '11']) expect(read({ 'test-leaving': value }, 200)).to.equal(undefined)
  })
})

describe('leaving server', () => {
  let catalog: Catalog

  beforeEach(() => {
    catalog = new Catalog({ lapseMs: 1000, isDeclared: () => true })
    catalog.apply([{ id: 's1', version: 1, entry: registeredServer('s1') }], 0)
  })

  it('should stay out of use while its registration says that it is ready', () => {
    expect([...catalog.markLeaving('s1', '1')]).to.deep.equal(['s'])
    expect(catalog.readyOf('s')).to.deep.equal([])
    catalog.apply([{ id: 's1', version: 2, entry: registeredServer('s1', { version: 2 }) }], 10)
    expect(catalog.readyOf('s')).to.deep.equal([])
    catalog.apply([{ id: 's1', version: 3 }], 20)
    catalog.apply([{ id: 's1', version: 4, entry: registeredServer('s1', { version: 4 }) }], 30)
    expect(catalog.readyOf('s')).to.deep.equal([])
  })

  it('should be in use again when another incarnation registers', () => {
    catalog.markLeaving('s1', '1')
    catalog.apply([{ id: 's1', version: 2, entry: registeredServer('s1', { incarnation: '2', version: 2 }) }], 10)
    expect(catalog.readyOf('s')).to.have.length(1)
    expect([...catalog.markLeaving('s1', '1')]).to.deep.equal([])
    expect(catalog.readyOf('s')).to.have.length(1)
  })
})

describe('hold of a server', () => {
  let catalog: Catalog
  let holds: ServerHolds

  beforeEach(() => {
    catalog = new Catalog({ lapseMs: 1000, isDeclared: () => true })
    catalog.apply([{ id: 's1', version: 1, entry: registeredServer('s1') }, { id: 's2', version: 1, entry: registeredServer('s2') }], 0)
    holds = new ServerHolds({ catalog, random: new SeededRandom(1) })
  })

  it('should last for at least the stated time, and not all servers\' holds equally long', () => {
    holds.add(registeredServer('s1'), 3000, 0)
    expect(holds.heldOf('s', 2999)).to.deep.equal(['s1'])
    expect(holds.heldOf('s', 3301)).to.deep.equal([])
    const returns = new Set(Array.from({ length: 10 }, () => {
      const other = new ServerHolds({ catalog, random: new SeededRandom(Math.random() * 1000) })
      other.add(registeredServer('s1'), 3000, 0)
      other.add(registeredServer('s2'), 3000, 0)
      return other.firstReturnMs('s', () => true, 0)
    }))
    expect(returns.size).to.be.above(5)
  })

  it('should not be shortened by a later statement, and end with the incarnation', () => {
    holds.add(registeredServer('s1'), 3000, 0)
    holds.add(registeredServer('s1'), 0, 10)
    expect(holds.isHeld(registeredServer('s1'), 2000)).to.equal(true)
    expect(holds.isHeld(registeredServer('s1', { incarnation: '2' }), 2000)).to.equal(false)
    catalog.apply([{ id: 's1', version: 2, entry: registeredServer('s1', { incarnation: '2', version: 2 }) }], 10)
    expect(holds.heldOf('s', 2000)).to.deep.equal([])
  })

  it('should state the first return only when no usable server is left', () => {
    holds.add(registeredServer('s1'), 3000, 0)
    expect(holds.firstReturnMs('s', () => true, 0)).to.equal(0)
    expect(holds.firstReturnMs('s', ({ id }) => id === 's1', 0)).to.be.within(3000, 3300)
    holds.add(registeredServer('s2'), 1000, 0)
    expect(holds.firstReturnMs('s', () => true, 0)).to.be.within(1000, 1100)
  })
})

describe('statements of servers', () => {
  let deployment: Deployment

  useDeployment(async (each) => {
    deployment = each
    const servers = Array.from({ length: SERVER_COUNT }, () => ({ meanMs: 20 }))
    // Enough attempts for a request that meets both refusing servers before this is known.
    const kinds = [
      { name: 'check', methods: ['GET'], idempotent: true, attempts: 4 },
      { name: 'place', methods: ['POST'], idempotent: false, attempts: 4 }
    ]
    await deployment.start(smallDocument({ kinds }), servers, Array.from({ length: ENTRY_COUNT }, () => 'a'))
  })

  /** Sends requests through all entries at a fixed rate; the id of each starts with its entry. Returns the statuses. */
  async function load (forMs: number, eachMs: number): Promise<number[]> {
    const answers: Array<Promise<number>> = []
    const endAt = performance.now() + forMs
    for (let count = 0; performance.now() < endAt; count++) {
      const entry = count % ENTRY_COUNT
      const method = count % 2 === 0 ? 'GET' : 'POST'
      answers.push(send(deployment.portOf(entry), method, '/orders', { [REQUEST_ID]: `${entry}-${count}` }).then(({ status }) => status))
      await sleep(eachMs)
    }
    return Promise.all(answers)
  }

  const arrivalsAt = (backends: StandInBackend[], from: number, to = Infinity): string[] =>
    backends.flatMap(({ arrivals }) => arrivals).filter(({ at }) => at >= from && at < to).map(({ request }) => request)

  // Guards against new requests at a server that says that it is leaving while its registration says that it is ready.
  it('should keep new requests from a server that states that it is leaving', async () => {
    const leaving = deployment.backends.slice(0, 2)
    for (const { faults } of leaving) faults.leaving = true
    const startedAt = performance.now()
    const statuses = await load(3000, 8)
    expect(statuses.every((status) => status === 200)).to.equal(true)
    expect(arrivalsAt(leaving, startedAt + 1000)).to.have.length(0)
    for (const { node } of deployment.entries) {
      for (const { id } of leaving) expect(node.core.catalog.get(id)).to.include({ state: 'draining' })
    }
  })

  // Guards against requests at a server before the time at which it asked this entry to come back.
  it('should keep an entry\'s requests from a server that asked it for a pause, and serve them elsewhere', async () => {
    const full = deployment.backends.slice(0, 2)
    for (const { faults } of full) Object.assign(faults, { shed: true, retryAfter: '2' })
    const statuses = await load(4500, 8)
    expect(statuses.every((status) => status === 200)).to.equal(true)
    expect(arrivalsAt(full, 0)).not.to.have.length(0)
    for (const { arrivals } of full) {
      for (let entry = 0; entry < ENTRY_COUNT; entry++) {
        const times = arrivals.filter(({ request }) => request.startsWith(`${entry}-`)).map(({ at }) => at)
        for (const refusedAt of times) {
          expect(times.filter((at) => at > refusedAt + 500 && at < refusedAt + 2000)).to.have.length.at.most(2)
        }
      }
    }
  })

  it('should refuse at once with the time of the first return when all servers asked for a pause', async () => {
    for (const { faults } of deployment.backends) Object.assign(faults, { shed: true, retryAfter: '5' })
    const port = deployment.portOf(0)
    const node = deployment.entries[0]!.node
    for (let count = 0; count < 100 && node.status().heldServers < SERVER_COUNT; count++) await send(port, 'POST', '/orders')
    expect(node.status().heldServers).to.equal(SERVER_COUNT)
    const arrivalCount = arrivalsAt(deployment.backends, 0).length
    const startedAt = performance.now()
    const answer = await send(port, 'POST', '/orders')
    expect(performance.now() - startedAt).to.be.below(50)
    expect(answer.status).to.equal(503)
    expect(Number(answer.headers['retry-after'])).to.be.within(3, 5.5)
    expect(arrivalsAt(deployment.backends, 0)).to.have.length(arrivalCount)
  })

  it('should tell entries that have had no answer of a server that it is leaving', async () => {
    const [leaving] = deployment.backends
    leaving!.faults.leaving = true
    const isLeavingAt = (index: number): boolean => deployment.entries[index]!.node.core.catalog.get(leaving!.id)?.state === 'draining'
    while (!isLeavingAt(0)) await Promise.all(Array.from({ length: SERVER_COUNT }, () => send(deployment.portOf(0), 'GET', '/orders')))
    await waitUntil(() => isLeavingAt(1) && isLeavingAt(2))
  })
})
