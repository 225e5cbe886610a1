/** Limits over all entries that schedulers count hold however often a scheduler changes. */
import { expect } from 'chai'
import { Cluster, TOLERANCES, type Node } from './fixtures/cluster.js'
import { Faults } from './fixtures/faults.js'
import { COLD_PER_SECOND } from './fixtures/simulatedServer.js'

const SEEDS = Number(process.env.LIMIT_SEEDS ?? 6)
const SERVICE = 'order-booking'
const PATHS = ['/orders']

/** A cluster and the faults of its entries. */
function start (seed: number, options: { entriesPerZone: number, serversPerZone: number }) {
  const cluster = new Cluster({ seed, ...options })
  const faults = new Faults(cluster, seed * 7919)
  /** The first scheduler of the service, as some entry sees it. */
  const scheduler = (): Node => {
    const ready = cluster.ready()
    const { core } = ready[Math.floor(cluster.random.next() * ready.length)]!
    const [first] = core.roles.schedulersOf(core.cells.of(SERVICE)[0]!.name)
    return first ? faults.nodeOf(first.instance) : ready[0]!
  }
  faults.run(4000)
  return { cluster, faults, scheduler }
}

/** Requests that all entries together may send to a cold server in a second. */
const MOST_COLD = COLD_PER_SECOND * TOLERANCES.cold.overage + TOLERANCES.cold.slack

describe('limits over all entries', () => {
  const ways = ['isolated', 'restarted', 'paused'] as const

  function disturb (faults: Faults, cluster: Cluster, node: Node, way: typeof ways[number]): void {
    if (way === 'isolated') faults.isolate(node)
    else if (way === 'restarted') faults.restart(node, 1500)
    else cluster.pause(node, 1500)
  }

  for (const way of ways) {
    // Guards against a scheduler that counts what retries have used from nothing after each takeover.
    it(`should bound retries when schedulers are ${way} in turn`, () => {
      const { cluster, faults, scheduler } = start(5, { entriesPerZone: 4, serversPerZone: 3 })
      for (const backend of cluster.backends.values()) backend.failedFraction = 0.8
      faults.every(33, 20_000, () => faults.call(PATHS))
      faults.run(3000)
      for (let round = 0; round < 20; round++) {
        disturb(faults, cluster, scheduler(), way)
        faults.run(400)
        cluster.restoreLinks()
        faults.run(200)
      }
      faults.run(9000)
      expect(cluster.checker.mostRetryExcess(SERVICE)).to.be.at.most(0)
    })

    it(`should bound what cold servers get when schedulers are ${way} in turn`, () => {
      const { cluster, faults, scheduler } = start(5, { entriesPerZone: 4, serversPerZone: 1 })
      faults.every(4, 10_000, () => faults.call(PATHS))
      faults.run(1000)
      for (let round = 0; round < 20; round++) {
        if (round % 4 === 0) for (const id of cluster.backends.keys()) cluster.restartServer(id)
        disturb(faults, cluster, scheduler(), way)
        faults.run(300)
        cluster.restoreLinks()
        faults.run(100)
      }
      faults.run(3000)
      expect(cluster.checker.mostColdRequests()).to.be.at.most(MOST_COLD)
    })
  }

  // One spec for each seed: all of them together take longer than the time limit beside load.
  for (let seed = 1; seed <= SEEDS; seed++) {
    it(`should hold through any faults in short succession, seed ${seed}`, () => {
      const { cluster, faults, scheduler } = start(seed, { entriesPerZone: 2 + seed % 3, serversPerZone: 3 })
      for (const [id, backend] of cluster.backends) {
        backend.failedFraction = 0.7
        if (id.endsWith('-1')) cluster.limitServer(id, 3)
        if (id.endsWith('-2')) faults.every(4000, 25_000, () => cluster.restartServer(id))
      }
      faults.every(5, 27_000, () => faults.call(PATHS))
      faults.play(25_000, scheduler)
      expect(cluster.checker.mostRetryExcess(SERVICE), `seed ${seed}`).to.be.at.most(0)
      expect(cluster.checker.mostColdRequests(), `seed ${seed}`).to.be.at.most(MOST_COLD)
      expect(cluster.violations.filter((text) => text.includes('server-limit')), `seed ${seed}`).to.deep.equal([])
    })
  }
})
