/** Limits that servers state bind all entries together, whoever schedules and whatever happens to them. */
import { expect } from 'chai'
import { Catalog, LimitedRates, Outbox, SeededRandom, ServerLimits } from '@gooseberryspan/core'
import { Cluster, ZONES, type Node } from './fixtures/cluster.js'
import { registeredServer } from './fixtures/records.js'

const SETTLE_MS = 4000
const LIMIT_PER_SECOND = 1
/** So high that it restricts nothing. */
const HIGH_LIMIT_PER_SECOND = 1000
const PATH = '/allocations'
const CALL_INTERVAL_MS = 8

describe('limits of servers', () => {
  let cluster: Cluster
  let service: string

  beforeEach(() => {
    cluster = new Cluster({ seed: 5, entriesPerZone: 4, serversPerZone: 3 })
    service = cluster.services[0]!
    cluster.time.runUntil(SETTLE_MS)
  })

  afterEach(() => {
    expect(cluster.violations).to.deep.equal([])
  })

  const run = (ms: number): void => cluster.time.runUntil(cluster.time.now + ms)
  const servers = (): string[] => [...cluster.backends.keys()].filter((id) => id.startsWith(service))
  /** Lets all entries receive answers with a limit before it is lowered, so that the check counts the requests of every entry. */
  const limitAllAfterNotice = (): void => {
    limitAll(HIGH_LIMIT_PER_SECOND)
    press(3000)
    limitAll(LIMIT_PER_SECOND)
    press(5000)
  }
  const limitAll = (perSecond: number | undefined): void => {
    for (const id of servers()) cluster.limitServer(id, perSecond)
  }
  const scheduler = (rank: number): Node => {
    const { instance } = cluster.aliveNodes()[0]!.core.roles.schedulersOf(service)[rank]!
    return cluster.nodes.find((node) => node.instance === instance)!
  }
  const arrivals = (): number => servers().reduce((sum, id) => sum + cluster.backends.get(id)!.simulated.arrivals, 0)

  /** Sends calls through the entries in turn. */
  function press (ms: number, nodes = (): Node[] => cluster.ready()): void {
    for (let at = 0; at < ms; at += CALL_INTERVAL_MS) {
      cluster.time.after(at, () => {
        const ready = nodes()
        cluster.call(ready[Math.floor(cluster.random.next() * ready.length)]!, PATH, 'GET')
      })
    }
    run(ms)
  }

  it('should be used up to nine tenths while all is well, and not be exceeded', () => {
    limitAllAfterNotice()
    const before = arrivals()
    press(12_000)
    expect(arrivals() - before).to.be.above(LIMIT_PER_SECOND * servers().length * 12 * 0.8)
  })

  for (const rank of [0, 1]) {
    it(`should hold when scheduler ${rank} dies, and when it is back`, () => {
      limitAllAfterNotice()
      const { instance, zone } = scheduler(rank)
      cluster.crash(scheduler(rank))
      press(5000)
      cluster.startNode(instance, zone)
      press(8000)
    })
  }

  it('should hold when one scheduler after the other is replaced', () => {
    limitAllAfterNotice()
    for (let stopped = 0; stopped < 5; stopped++) {
      const { instance, zone } = scheduler(0)
      cluster.stop(scheduler(0))
      press(2500)
      const node = cluster.nodes.find((other) => other.instance === instance)!
      if (!node.alive) cluster.startNode(instance, zone)
    }
    press(4000)
  })

  it('should hold while the first scheduler freezes and wakes again', () => {
    limitAllAfterNotice()
    for (const pauseMs of [450, 3000, 900]) {
      cluster.pause(scheduler(0), pauseMs)
      press(5000)
    }
  })

  it('should hold while entries reach no scheduler and place by themselves', () => {
    limitAllAfterNotice()
    const schedulers = [scheduler(0), scheduler(1)]
    for (const node of cluster.nodes) {
      for (const other of schedulers) if (node !== other) cluster.cut(node.instance, other.instance, true)
    }
    press(8000)
  })

  it('should hold on both sides while a zone is cut off', () => {
    limitAllAfterNotice()
    for (const inside of cluster.nodes.filter(({ zone }) => zone === ZONES[0])) {
      for (const other of cluster.nodes) if (other.zone !== ZONES[0]) cluster.cut(inside.instance, other.instance, true)
    }
    press(8000)
    cluster.restoreLinks()
    press(6000)
  })

  it('should hold for retries and hedges', () => {
    for (const id of servers().slice(0, 3)) cluster.limitServer(id, LIMIT_PER_SECOND)
    for (const id of servers().slice(3, 6)) cluster.backends.get(id)!.losesAnswers = true
    for (const id of servers().slice(6)) cluster.backends.get(id)!.simulated.slowdownFactor = 10
    press(12_000)
  })

  it('should refuse callers at once, with a time at which a server takes requests again', () => {
    limitAll(0.5)
    press(5000)
    const calls = Array.from({ length: 20 }, () => cluster.call(scheduler(2), PATH, 'GET'))
    run(30)
    expect(calls.filter(({ outcomes }) => outcomes[0] === 'not-run').length).to.be.above(15)
  })

  it('should end for all entries once a server states none any more', () => {
    limitAll(0.5)
    press(5000)
    limitAll(undefined)
    press(6000)
    const before = arrivals()
    press(2000)
    expect(arrivals() - before).to.be.above(2000 / CALL_INTERVAL_MS * 0.9)
  })

  // Guards against a limit that holds for as long as other servers are better for every request, since no answer ends it.
  it('should end also for a server that the others can spare', () => {
    const id = servers().find((each) => cluster.backends.get(each)!.entry.zone !== scheduler(0).zone)!
    const press = (ms: number): void => {
      for (let at = 0; at < ms; at += 20) cluster.time.after(at, () => void cluster.call(cluster.ready()[0]!, PATH, 'GET'))
      run(ms)
    }
    cluster.limitServer(id, 2)
    const { entry } = cluster.backends.get(id)!
    for (let waitedMs = 0; scheduler(0).core.limits.of(entry) === undefined && waitedMs < 10_000; waitedMs += 500) press(500)
    expect(scheduler(0).core.limits.of(entry)).to.equal(2)
    press(4000)
    cluster.limitServer(id, undefined)
    press(4000)
    expect(scheduler(0).core.limits.of(entry)).to.equal(undefined)
  })

  it('should end with the incarnation of the server', () => {
    limitAll(0.5)
    press(5000)
    limitAll(undefined)
    for (const id of servers()) cluster.restartServer(id)
    run(200)
    for (const id of servers()) {
      for (const { core } of cluster.ready()) expect(core.limits.of(cluster.backends.get(id)!.entry)).to.equal(undefined)
    }
  })
})

describe('statement of a limit', () => {
  const server = registeredServer('s1')
  let limits: ServerLimits

  beforeEach(() => {
    const catalog = new Catalog({ lapseMs: 1000, isDeclared: () => true })
    catalog.apply([{ id: 's1', version: 1, entry: server }], 0)
    limits = new ServerLimits({ catalog, outbox: new Outbox() })
    limits.stated(server, 3.4, 1000)
  })

  it('should reach a scheduler with the requests of the entries that know it', () => {
    const [limit] = limits.ofAll([server], 1200)
    expect(limit).to.deep.equal({ server: 's1', incarnation: '1', perSecond: 3.4, ageMs: 200 })
    const other = new ServerLimits({ catalog: new Catalog({ lapseMs: 1000, isDeclared: () => true }), outbox: new Outbox() })
    other.reported([limit!], 's', 1200)
    expect(other.of(server)).to.equal(3.4)
  })

  it('should be replaced by a newer one only', () => {
    limits.reported([{ server: 's1', incarnation: '1', perSecond: 9, ageMs: 300 }], 's', 1200)
    expect(limits.of(server)).to.equal(3.4)
    limits.reported([{ server: 's1', incarnation: '1', perSecond: 2, ageMs: 100 }], 's', 1200)
    expect(limits.of(server)).to.equal(2)
  })

  it('should end with a verified answer without one, and not with an attempt that got no answer', () => {
    for (const outcome of ['lost', 'unreachable', 'moved', 'cancelled', 'unused'] as const) {
      limits.attemptEnded(server, { outcome, tookMs: 1 }, 1100)
      expect(limits.of(server), outcome).to.equal(3.4)
    }
    limits.attemptEnded(server, { outcome: 'answered', tookMs: 1 }, 1100)
    expect(limits.of(server)).to.equal(undefined)
    limits.reported([{ server: 's1', incarnation: '1', perSecond: 3.4, ageMs: 300 }], 's', 1200)
    expect(limits.of(server)).to.equal(undefined)
  })

  it('should not hold for another incarnation', () => {
    expect(limits.of(registeredServer('s1', { incarnation: '2' }))).to.equal(undefined)
  })

  for (const [perSecond, share] of [[3.4, 0.9], [40, 0.25], [0, 0.9]] as const) {
    it(`should allow ${share} of ${perSecond} requests a second`, () => {
      const rates = new LimitedRates({ limitOf: () => perSecond, share: () => share, random: new SeededRandom(1) })
      let sent = 0
      for (let now = 0; now < 100_000; now += 5) {
        if (rates.waitMs(server, now) > 0) continue
        rates.spend(server)
        sent += 1
      }
      // A server is tried now and then however low its limit is.
      const expected = Math.max(0.1, perSecond) * share * 100
      expect(sent).to.be.within(expected * 0.95 - 1, expected + 1)
    })
  }
})
