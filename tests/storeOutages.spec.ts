/** An outage of the store is told apart from disturbances of the entries, of their connections and of their links. */
import { expect } from 'chai'
import { ZONES, type Cluster, type Node } from './fixtures/cluster.js'
import { cutOff, heal, removeServers, sendCalls, settledCluster } from './fixtures/departures.js'

describe('removals of servers', function () {
  // Guards against entries that take the silence of their own connections for an outage, in which servers may lose their registrations.
  for (const isOneCutOff of [false, true]) {
    const addition = isOneCutOff ? ', while one entry is cut off' : ''
    it(`should take effect after open connections to the store have gone silent${addition}`, () => {
      for (let offsetMs = 0; offsetMs < 700; offsetMs += 50) {
        const cluster = settledCluster(1)
        const cutEntry = cluster.nodes.find(({ core }) => core.roles.leaderRank === cluster.nodes.length - 1)!
        cluster.time.runUntil(cluster.time.now + offsetMs)
        for (const service of cluster.services) cluster.addBackend(`${service}-next`, service, ZONES[0]!)
        cluster.time.runUntil(cluster.time.now + 100)
        if (isOneCutOff) cutOff(cluster, cutEntry)
        cluster.time.runUntil(cluster.time.now + (isOneCutOff ? 6000 : 0))
        cluster.platformStore.silenceConnections(cluster.nodes.map(({ instance }) => instance))
        cluster.time.runUntil(cluster.time.now + 100)
        const removed = removeServers(cluster)
        cluster.time.runUntil(cluster.time.now + 2900)
        for (const { core } of isOneCutOff ? cluster.nodes.filter((node) => node !== cutEntry) : cluster.nodes) {
          expect(removed.filter((id) => core.catalog.get(id)), `${offsetMs} ms`).to.deep.equal([])
        }
      }
    })
  }

  // Guards against an entry that takes its own pause, or a cut of its instance, for an outage of the store.
  for (const [title, disturb] of [
    ['was paused', (cluster: Cluster, node: Node) => cluster.pause(node, 4000)],
    ['was cut off', (cluster: Cluster, node: Node) => {
      cutOff(cluster, node)
      cluster.time.after(4000, () => heal(cluster))
    }]
  ] as const) {
    it(`should take effect at once at an entry that ${title}, when it has learned of them`, () => {
      for (const node of settledCluster(4).nodes) {
        const cluster = settledCluster(4)
        const disturbed = cluster.nodes.find(({ instance }) => instance === node.instance)!
        disturb(cluster, disturbed)
        cluster.time.runUntil(cluster.time.now + 500)
        const removed = removeServers(cluster)
        cluster.time.runUntil(cluster.time.now + 3500 + 1500)
        expect(removed.filter((id) => disturbed.core.catalog.get(id)), node.instance).to.deep.equal([])
        for (const { core, instance } of cluster.nodes) expect(removed.filter((id) => core.catalog.get(id)), instance).to.deep.equal([])
      }
    })
  }
})

describe('outage of the store', function () {
  // Guards against servers in good health that are dropped because their registrations lapsed during the outage.
  for (const [outage, lastsMs] of [['answers none', 3100], ['answers none', 5000], ['refuses all', 3100], ['refuses all', 5000]] as const) {
    it(`should leave lapsed registrations in force for two seconds, when the store ${outage} for ${lastsMs} ms`, () => {
      const cluster = settledCluster(5)
      const { platformStore, nodes, time } = cluster
      if (outage === 'refuses all') cluster.setStoreDown(true)
      else for (const { instance } of nodes) platformStore.unanswered.add(instance)
      time.runUntil(time.now + lastsMs)
      const [back, gone] = cluster.services.map((service) => `${service}-${ZONES[0]}-0`) as [string, string]
      for (const id of [back, gone]) cluster.store.remove('servers', id)
      platformStore.unanswered.clear()
      cluster.setStoreDown(false)
      const known = (id: string): string[] => nodes.filter(({ core }) => core.catalog.get(id)).map(({ instance }) => instance)
      const all = nodes.map(({ instance }) => instance)
      time.runUntil(time.now + 1950)
      expect([known(back), known(gone)]).to.deep.equal([all, all])
      cluster.register(back)
      time.runUntil(time.now + 3500)
      expect([known(back), known(gone)]).to.deep.equal([all, []])
    })
  }

  it('should not keep a fleet from serving that loses the store altogether', () => {
    const cluster = settledCluster(6)
    cluster.setStoreDown(true)
    cluster.time.runUntil(cluster.time.now + 30_000)
    sendCalls(cluster, cluster.nodes, 1000)
    cluster.time.runUntil(cluster.time.now + 5000)
    const answered = cluster.checker.calls.filter(({ outcomes }) => outcomes[0] === 'answered')
    expect(answered.length).to.be.above(cluster.checker.calls.length / 2)
    for (const { core } of cluster.nodes) expect(core.catalog.size).to.equal(cluster.backends.size)
  })
})

describe('read of the store that is answered late', () => {
  // Guards against an outage that goes unnoticed because calls on new connections are held back, and answered when the store returns.
  for (const [title, heldMs, isOutage] of [['of an outage', 1200, true], ['of none if the store is slow', 240, false]] as const) {
    it(`should tell ${title}, after a time-out on an old connection`, () => {
      const cluster = settledCluster(7)
      const { platformStore, nodes, time } = cluster
      const since = time.now
      const readTable = platformStore.readTable.bind(platformStore)
      // The calls of the follower already wait on connections that go silent; all others fail once.
      const follower = nodes[0]!.core.roles.watchers[0]!.instance
      const failed = new Set([`${follower}/declarations`, `${follower}/servers`])
      platformStore.readTable = (instance, effect, answer) => {
        const key = `${instance}/${effect.table}`
        if (!failed.has(key)) {
          failed.add(key)
          return time.after(1900, () => answer({ kind: 'unavailable', reason: 'timeout', isRefusal: false }))
        }
        if (time.now < since + 4000) return time.after(effect.waitMs + heldMs, () => readTable(instance, { ...effect, waitMs: 0 }, answer))
        readTable(instance, effect, answer)
      }
      platformStore.silenceConnections([])
      const id = `${cluster.services[0]!}-${ZONES[0]!}-0`
      cluster.store.remove('servers', id)
      let learnedAt = Infinity
      while (learnedAt === Infinity && time.now < since + 9000) {
        time.runUntil(time.now + 10)
        if (nodes.some(({ core }) => core.replication.replicaOf('servers').rows.get(id) === undefined)) learnedAt = time.now
      }
      time.runUntil(learnedAt + 1000)
      for (const { core } of nodes) expect(core.catalog.get(id) !== undefined).to.equal(isOutage)
    })
  }
})
