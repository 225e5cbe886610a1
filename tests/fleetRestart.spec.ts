/** All entries lose power at once and start again at different speeds: when callers are answered, and what that costs the store. */
import { expect } from 'chai'
import { Cluster, type Node } from './fixtures/cluster.js'
import type { CallRecord } from './fixtures/truth.js'

const SETTLED_MS = 8000
const POWER_OFF_MS = 1000
/** The first entries are the seeds; they start this long after the others. */
const SEEDS = 3
const SEED_DELAY_MS = 300
const START_SPREAD_MS = 50
const COLD_MS = 3000
/** How late an entry runs while its code is cold and callers come back all at once. */
const COLD_DELAY_MS = 150
/** Within this time a caller's request is at a backend server while these have room: less than a scheduler is waited for. */
const MAX_PLACING_MS = 30
const CALM_CALL_INTERVAL_MS = 250
/** From this time after the start of an entry, its callers are answered. */
const FIRST_ANSWERS_MS = 250
const CALL_INTERVAL_MS = 10
/** Calls to the store that one start of an entry costs: the registered entries and two tables. */
const MAX_STORE_CALLS_PER_START = 3

describe('a restart of all entries', () => {
  const restart = (entriesPerZone: number, { seedsReturn = true, serversAreCold = false, serversPerZone = 2 } = {}): Cluster => {
    const cluster = new Cluster({ seed: 3, entriesPerZone, serversPerZone })
    cluster.time.runUntil(SETTLED_MS)
    for (const node of [...cluster.nodes]) cluster.crash(node)
    cluster.time.runUntil(cluster.time.now + POWER_OFF_MS)
    if (serversAreCold) for (const { simulated } of cluster.backends.values()) simulated.makeCold(COLD_MS)
    cluster.platformStore.calls.clear()
    for (const [index, { instance, zone }] of [...cluster.nodes].entries()) {
      const isSeed = index < SEEDS
      if (isSeed && !seedsReturn) continue
      const delayMs = isSeed ? SEED_DELAY_MS : cluster.random.next() * START_SPREAD_MS
      cluster.time.after(delayMs, () => cluster.startNode(instance, zone))
    }
    return cluster
  }

  /** Calls one entry after the other for some time, and returns the calls. */
  const callAll = (cluster: Cluster, ms: number): CallRecord[] => {
    const calls: CallRecord[] = []
    const until = cluster.time.now + ms
    for (let turn = 0; cluster.time.now < until; turn++) {
      const alive = cluster.aliveNodes()
      const node: Node | undefined = alive[turn % Math.max(1, alive.length)]
      if (node) calls.push(cluster.call(node, '/allocations', 'GET'))
      cluster.time.runUntil(cluster.time.now + CALL_INTERVAL_MS)
    }
    return calls
  }

  it('should answer callers before the seeds have started', () => {
    const cluster = restart(6)
    const startedAt = cluster.time.now
    const calls = callAll(cluster, SEED_DELAY_MS).filter(({ at }) => at >= startedAt + FIRST_ANSWERS_MS)
    cluster.time.runUntil(cluster.time.now + 2000)
    expect(calls.map(({ outcomes }) => outcomes)).to.deep.equal(calls.map(() => ['answered']))
    expect(cluster.violations).to.deep.equal([])
  })

  it('should agree on the members soon after the seeds have started', () => {
    const cluster = restart(6)
    cluster.time.runUntil(cluster.time.now + SEED_DELAY_MS + 1000)
    cluster.checkConverged()
    expect(cluster.ready()).to.have.length(18)
    expect(cluster.violations).to.deep.equal([])
  })

  it('should answer callers though no seed starts any more', () => {
    const cluster = restart(6, { seedsReturn: false })
    cluster.time.runUntil(cluster.time.now + FIRST_ANSWERS_MS + START_SPREAD_MS)
    const calls = callAll(cluster, 500)
    cluster.time.runUntil(cluster.time.now + 2000)
    expect(calls.map(({ outcomes }) => outcomes)).to.deep.equal(calls.map(() => ['answered']))
    expect(cluster.violations).to.deep.equal([])
  })

  it('should send cold servers no more than they can take while the entries do not know each other yet', () => {
    const cluster = restart(6, { serversAreCold: true })
    callAll(cluster, 2000)
    expect(cluster.violations).to.deep.equal([])
  })

  it('should not let callers wait for schedulers whose code is still cold', () => {
    const cluster = restart(6, { serversPerZone: 8 })
    const names = cluster.nodes[5]!.core.roles.schedulersOf(cluster.services[0]!).slice(0, 2).map(({ instance }) => instance)
    cluster.time.runUntil(cluster.time.now + FIRST_ANSWERS_MS)
    const isCold = (node: Node): boolean => names.includes(node.instance)
    const coldUntil = cluster.time.now + 1000
    const runLate = (): void => {
      for (const node of cluster.aliveNodes().filter(isCold)) cluster.pause(node, COLD_DELAY_MS)
      if (cluster.time.now < coldUntil) cluster.time.after(COLD_DELAY_MS + 1, runLate)
    }
    runLate()
    const calls: CallRecord[] = []
    let unplaced = 0
    while (cluster.time.now < coldUntil) {
      const others = cluster.ready().filter((each) => !isCold(each))
      for (const node of others) calls.push(cluster.call(node, '/allocations', 'GET'))
      cluster.time.runUntil(cluster.time.now + MAX_PLACING_MS)
      for (const { requests, attempts } of others) unplaced += Math.max(0, requests.size - attempts.size)
      cluster.time.runUntil(cluster.time.now + CALM_CALL_INTERVAL_MS - MAX_PLACING_MS)
    }
    cluster.time.runUntil(cluster.time.now + 2000)
    expect(unplaced, 'calls that waited for a scheduler').to.equal(0)
    expect(calls.map(({ outcomes }) => outcomes)).to.deep.equal(calls.map(() => ['answered']))
    expect(cluster.violations).to.deep.equal([])
  })

  for (const entriesPerZone of [7, 35]) {
    it(`should cost the store few calls with ${entriesPerZone * 3} entries`, () => {
      const cluster = restart(entriesPerZone)
      cluster.time.runUntil(cluster.time.now + 1500)
      expect(cluster.ready()).to.have.length(entriesPerZone * 3)
      const calls = [...cluster.platformStore.calls.values()].reduce((sum, count) => sum + count, 0)
      expect(calls).to.be.at.most(Math.min(entriesPerZone * 3, 48) * MAX_STORE_CALLS_PER_START)
    })
  }
})
