/** Requests and servers whose registrations were removed: no entry that knows it sends any there, whoever has granted them. */
import { createServer, type AddressInfo, type Server } from 'node:net'
import { expect } from 'chai'
import {
  Catalog, Outbox, SchedulerClient, SeededRandom, type Member, type RegisteredServer, type SchedulerClientOptions, type AttemptReport
} from '@gooseberryspan/core'
import { BackendClient, DefaultDialect, type Exchange } from '@gooseberryspan/entry'
import { ZONES } from './fixtures/cluster.js'
import { cutOff, heal, removeServers, schedulerOf, sendCalls, settledCluster, SETTLED_MS } from './fixtures/departures.js'
import { registeredServer } from './fixtures/records.js'

describe('servers that have left', function () {
  // Guards against a scheduler that is cut off, knows nothing of removals and grants removed servers to the entries of its zone.
  for (const seed of [1, 2, 3]) {
    it(`should get nothing that a scheduler grants while it is cut off, seed ${seed}`, () => {
      const cluster = settledCluster(seed)
      const scheduler = schedulerOf(cluster, true)
      cutOff(cluster, scheduler)
      cluster.time.runUntil(cluster.time.now + 500)
      removeServers(cluster)
      sendCalls(cluster, cluster.nodes.filter((node) => node !== scheduler && node.zone === scheduler.zone), 5000)
      cluster.time.runUntil(cluster.time.now + 5000)
      heal(cluster)
      cluster.time.runUntil(cluster.time.now + SETTLED_MS)
      expect(cluster.violations).to.deep.equal([])
    })
  }

  // Guards against a scheduler that stood still and grants servers which were removed meanwhile.
  for (const seed of [1, 2, 3]) {
    it(`should get nothing that a scheduler grants after it stood still, seed ${seed}`, () => {
      const cluster = settledCluster(seed)
      const scheduler = schedulerOf(cluster, false)
      cluster.pause(scheduler, 3500)
      cluster.time.runUntil(cluster.time.now + 1000)
      removeServers(cluster)
      sendCalls(cluster, cluster.nodes.filter((node) => node !== scheduler), 6000)
      cluster.time.runUntil(cluster.time.now + 8000)
      expect(cluster.violations).to.deep.equal([])
    })
  }
})

describe('granted server', () => {
  const POSITION = { era: 1, version: 50 }
  const server = (changes: Partial<RegisteredServer> = {}): RegisteredServer => registeredServer('s1', { version: 20, era: 1, ...changes })
  let catalog: Catalog

  beforeEach(() => {
    catalog = new Catalog({ lapseMs: 1000, isDeclared: () => true })
    catalog.apply([{ id: 's1', version: 20, entry: server() }], 0)
  })

  it('should be used while it is registered', () => {
    expect(catalog.unfitness(server(), POSITION)).to.equal(undefined)
  })

  it('should not be used once its registration was removed, nor once another start has replaced it', () => {
    catalog.apply([{ id: 's1', version: 40 }], 100)
    expect(catalog.unfitness(server(), POSITION)).to.equal('unregistered')
    expect(catalog.removedMs('s1', 350)).to.equal(250)
    catalog.apply([{ id: 's1', version: 45, entry: server({ version: 45, incarnation: '2' }) }], 200)
    expect(catalog.unfitness(server(), POSITION)).to.equal('unregistered')
    expect(catalog.unfitness(server({ version: 45, incarnation: '2' }), POSITION)).to.equal(undefined)
  })

  // Guards against servers that are not used until every entry has learned of their start.
  it('should be used if its registration is newer than what is known here: a start, a restart, another start with its id', () => {
    expect(catalog.unfitness(server({ id: 'new', version: 51 }), POSITION)).to.equal(undefined)
    expect(catalog.unfitness(server({ incarnation: '2', version: 51 }), POSITION)).to.equal(undefined)
    catalog.apply([{ id: 's1', version: 40 }], 100)
    expect(catalog.unfitness(server({ incarnation: '2', version: 51 }), POSITION)).to.equal(undefined)
    expect(catalog.unfitness(server({ id: 'new', version: 3, era: 2 }), POSITION)).to.equal(undefined)
    expect(catalog.unfitness(server({ id: 'new' }), undefined)).to.equal(undefined)
  })

  // Guards against a server that stated in an answer that it is leaving, and whose registration was removed since.
  it('should not be used after it stated that it is leaving, also once unregistered', () => {
    catalog.markLeaving('s1', '1')
    expect(catalog.unfitness(server(), POSITION)).to.equal('draining')
    catalog.apply([{ id: 's1', version: 40 }], 100)
    expect(catalog.unfitness(server({ version: 51 }), POSITION)).to.equal('draining')
    expect(catalog.unfitness(server({ version: 51, incarnation: '2' }), POSITION)).to.equal(undefined)
  })
})

describe('connection to a server', () => {
  // Guards against a request that waited for its connection, perhaps while the process stood still, and is sent to a server that has left.
  it('should get nothing from an entry that learns that the server has left while it connects', async () => {
    let received = 0
    const port = await new Promise<number>((resolve) => {
      backend = createServer((socket) => void socket.on('data', (data) => { received += data.length })).listen(0, '127.0.0.1', () => {
        resolve((backend!.address() as AddressInfo).port)
      })
    })
    let mayUse = true
    const options = { dialect: new DefaultDialect('x'), connectMs: 1000, holdBytes: 1000, now: () => performance.now() }
    const client = new BackendClient({ ...options, onMalformed: () => {}, mayUse: () => mayUse })
    const exchange = {
      spec: { depth: 0, retrySpent: false, label: 'r', route: { repeatable: false } },
      method: 'POST',
      path: '/',
      rawHeaders: [],
      requestId: 'r',
      body: { buffered: Buffer.from('body'), length: 4 }
    } as unknown as Exchange
    const server = { id: 's', host: '127.0.0.1', port } as RegisteredServer
    const effect = { kind: 'dispatch' as const, request: 1, attempt: 1, server, leftMs: 1000, newConnection: true, isRetryOrHedge: false }
    const report = await new Promise<AttemptReport>((resolve) => {
      client.dispatch(effect, exchange, { whole: () => {}, large: () => {}, stated: () => {}, ended: resolve })
      mayUse = false
    })
    await new Promise((resolve) => setTimeout(resolve, 50))
    expect([report.outcome, received]).to.deep.equal(['unreachable', 0])
    client.close()
  })

  // Guards against requests that wait for a connection while their server's zone is evacuated, or while it asks for a pause.
  it('should not be used for a zone that was evacuated meanwhile, nor for a server that wants a pause', () => {
    const cluster = settledCluster(1)
    const { core } = cluster.nodes[0]!
    const servers = [...cluster.backends.values()].map(({ entry }) => core.catalog.get(entry.id)!)
    const usable = (): string[] => servers.filter((server) => core.mayUse(server)).map(({ id }) => id)
    expect(usable()).to.have.length(servers.length)
    const [held, ...others] = servers
    core.holds.add(held!, 60_000, cluster.time.now)
    cluster.setZone(ZONES[1]!, 'out')
    cluster.time.runUntil(cluster.time.now + 2000)
    expect(usable()).to.deep.equal(others.filter(({ zone }) => zone !== ZONES[1]).map(({ id }) => id))
  })

  let backend: Server | undefined
  afterEach(() => backend?.close())
})

describe('scheduler with an outdated view', () => {
  let line: SchedulerClient
  let removedMs: number

  beforeEach(() => {
    removedMs = 0
    const schedulers = [{ instance: 'first' }, { instance: 'second' }] as Member[]
    line = new SchedulerClient({
      roster: { self: { instance: 'here' } },
      roles: { schedulersOf: () => schedulers },
      outbox: new Outbox(),
      random: new SeededRandom(1),
      removedMs: () => removedMs
    } as unknown as SchedulerClientOptions)
  })

  // Guards against schedulers that are passed over because a change has reached them some milliseconds later.
  it('should be asked again while a removal is only just known here', () => {
    removedMs = 100
    line.grantedDeparted('first', 's', 1000)
    expect(line.choose('cell', 1001)).to.equal('first')
  })

  it('should not be asked for half a second once a removal has been known here for long, whatever else it grants', () => {
    removedMs = 800
    line.grantedDeparted('first', 's', 1000)
    line.settled('first', 1, 1010)
    expect(line.choose('cell', 1499)).to.equal('second')
    expect(line.choose('cell', 1500)).to.equal('first')
  })
})
