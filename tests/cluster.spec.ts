/** Several entries together, without a network: who they are, what they know, and what callers get. */
import { expect } from 'chai'
import { Cluster, ZONES, type Node } from './fixtures/cluster.js'

const SETTLE_MS = 4000
const [PATH, ORDERS] = ['/allocations', '/orders']

describe('cluster', () => {
  let cluster: Cluster

  beforeEach(() => {
    cluster = new Cluster({ seed: 5 })
    cluster.time.runUntil(SETTLE_MS)
  })

  afterEach(() => {
    expect(cluster.violations).to.deep.equal([])
  })

  const run = (ms: number): void => cluster.time.runUntil(cluster.time.now + ms)
  const aliveAt = (node: Node): string[] => node.core.roster.alive.map((member) => member.instance).sort()

  it('should know all entries and be ready soon after the start', () => {
    expect(cluster.ready()).to.have.length(6)
    for (const node of cluster.nodes) expect(aliveAt(node)).to.have.length(6)
  })

  it('should have one entry watch the store for all', () => {
    const watchers = cluster.nodes.filter((node) => node.core.roles.leaderRank === 0)
    expect(watchers).to.have.length(1)
    const reads: string[] = []
    const original = cluster.store.changes.bind(cluster.store)
    cluster.store.changes = (table, after) => {
      reads.push(table)
      return original(table, after)
    }
    cluster.changeDocument(() => {})
    run(100)
    for (const node of cluster.nodes) expect(node.core.declarations.revision).to.equal(2)
  })

  it('should put a change into force everywhere within the bound though the watcher has just died', () => {
    const watcher = cluster.nodes.find((node) => node.core.roles.leaderRank === 0)!
    cluster.crash(watcher)
    cluster.changeDocument(() => {})
    run(1900)
    for (const node of cluster.aliveNodes()) expect(node.core.declarations.revision).to.equal(2)
  })

  it('should put a change into force everywhere within the bound though the watcher has just frozen', () => {
    cluster.pause(cluster.nodes.find((node) => node.core.roles.leaderRank === 0)!, 3500)
    cluster.changeDocument(() => {})
    run(1900)
    for (const node of cluster.ready()) expect(node.core.declarations.revision).to.equal(2)
  })

  it('should live on the others\' word where the store turns an entry away', () => {
    for (const node of cluster.nodes.slice(0, 4)) cluster.platformStore.refused.add(node.instance)
    run(1000)
    cluster.changeDocument(() => {})
    run(1900)
    for (const node of cluster.nodes) expect(node.core.declarations.revision).to.equal(2)
  })

  it('should read a table anew when the store has dropped its history', () => {
    cluster.setStoreDown(true)
    run(3000)
    cluster.changeDocument(() => {})
    cluster.drain(`${cluster.services[0]}-${ZONES[0]}-0`)
    cluster.store.dropHistory()
    cluster.setStoreDown(false)
    run(1900)
    for (const node of cluster.nodes) {
      expect(node.core.declarations.revision).to.equal(2)
      expect(node.core.catalog.get(`${cluster.services[0]}-${ZONES[0]}-0`)!.state).to.equal('draining')
    }
  })

  it('should leave a dead entry out of the addresses within two seconds', () => {
    cluster.crash(cluster.nodes[0]!)
    run(2000)
    for (const node of cluster.aliveNodes()) {
      expect(node.core.addressesFor(node.zone).map((member) => member.instance)).not.to.include(cluster.nodes[0]!.instance)
    }
  })

  it('should find a cut-off entry again when the cut has healed', () => {
    const [apart, ...others] = cluster.nodes
    for (const node of others) cluster.cut(apart!.instance, node.instance, true)
    run(12_000)
    expect(aliveAt(apart!)).to.deep.equal([apart!.instance])
    cluster.restoreLinks()
    run(4000)
    for (const node of cluster.nodes) expect(aliveAt(node)).to.have.length(6)
  })

  it('should take a restarted entry for the same one, anew', () => {
    cluster.crash(cluster.nodes[2]!)
    run(300)
    cluster.startNode(cluster.nodes[2]!.instance, cluster.nodes[2]!.zone)
    run(1500)
    expect(cluster.nodes[2]!.core.phase).to.equal('ready')
    for (const node of cluster.nodes) expect(aliveAt(node)).to.have.length(6)
  })

  for (const deadMs of [300, 4000]) {
    it(`should take a restarted entry whose clock was set back, ${deadMs} ms after its end`, () => {
      const { instance, zone } = cluster.nodes[2]!
      cluster.crash(cluster.nodes[2]!)
      run(deadMs)
      cluster.startNode(instance, zone, 0)
      run(2500)
      expect(cluster.nodes[2]!.core.phase).to.equal('ready')
      for (const node of cluster.nodes) expect(aliveAt(node)).to.have.length(6)
      const told = cluster.call(cluster.nodes[2]!, PATH, 'GET')
      run(1000)
      expect(told.outcomes).to.deep.equal(['answered'])
    })
  }

  it('should not take the first requests of a restarted entry for those of its former process', () => {
    const [scheduler] = cluster.nodes[0]!.core.roles.schedulersOf('standing-allocations')
    const host = cluster.nodes.find(({ instance }) => instance === scheduler!.instance)!
    const caller = cluster.nodes.find((node) => node !== host)!
    const granted: Array<string | undefined> = []
    const handle = host.core.handle.bind(host.core)
    host.core.handle = (event, now) => {
      const effects = handle(event, now)
      for (const effect of effects) if (effect.kind === 'log' && effect.line.decision === 'granted') granted.push(effect.line.request)
      return effects
    }
    const before = cluster.call(caller, PATH, 'GET')
    run(10)
    cluster.crash(caller)
    const again = cluster.startNode(caller.instance, caller.zone)
    run(1500)
    const after = cluster.call(again, PATH, 'GET')
    run(1000)
    expect(after.outcomes).to.deep.equal(['answered'])
    expect(granted).to.deep.equal([before.label, after.label])
  })

  it('should come back when all entries were killed at once', () => {
    for (const node of [...cluster.nodes]) cluster.crash(node)
    for (const node of [...cluster.nodes]) cluster.startNode(node.instance, node.zone)
    run(3000)
    expect(cluster.ready()).to.have.length(6)
    const told = cluster.call(cluster.ready()[0]!, PATH, 'GET')
    run(1000)
    expect(told.outcomes).to.deep.equal(['answered'])
  })

  it('should go on at once when the scheduler of a service dies', () => {
    const service = cluster.services[0]!
    const scheduler = cluster.nodes[0]!.core.roles.schedulersOf(service)[0]!.instance
    cluster.crash(cluster.nodes.find((node) => node.instance === scheduler)!)
    const told = cluster.aliveNodes().map((node) => cluster.call(node, PATH, 'GET'))
    run(1000)
    for (const { outcomes, at, endedAt } of told) {
      expect(outcomes).to.deep.equal(['answered'])
      expect(endedAt - at).to.be.below(300)
    }
  })

  it('should keep requests that wait when their scheduler dies', () => {
    const service = cluster.services[1]!
    const scheduler = cluster.nodes[0]!.core.roles.schedulersOf(service)[0]!.instance
    const node = cluster.nodes.find(({ instance }) => instance !== scheduler)!
    const told = Array.from({ length: 12 }, () => cluster.call(node, ORDERS, 'POST'))
    run(12)
    cluster.crash(cluster.nodes.find(({ instance }) => instance === scheduler)!)
    run(3000)
    expect(told.filter(({ outcomes }) => outcomes[0] === 'answered').length).to.be.greaterThan(8)
    cluster.checker.checkOutcomes()
  })

  it('should leave a request at its slow server however often a second one is refused', () => {
    for (let index = 0; index < 20; index++) {
      cluster.call(cluster.nodes[index % 6]!, PATH, 'GET')
      run(50)
    }
    const told = cluster.call(cluster.nodes[0]!, PATH, 'GET')
    run(8)
    for (const { simulated } of cluster.backends.values()) simulated.slowdownFactor = 30
    run(1900)
    expect(told.outcomes).to.deep.equal(['answered'])
    expect(told.endedAt - told.at).to.be.above(400)
  })

  it('should not send to a zone that is out, nor to servers that leave', () => {
    cluster.setZone(ZONES[0]!, 'out')
    cluster.drain(`${cluster.services[0]}-${ZONES[1]}-0`)
    run(200)
    const told = Array.from({ length: 30 }, (_, index) => cluster.call(cluster.nodes[index % 6]!, PATH, 'GET'))
    run(3000)
    expect(cluster.backends.get(`${cluster.services[0]}-${ZONES[0]}-0`)!.simulated.arrivals).to.equal(0)
    expect(cluster.backends.get(`${cluster.services[0]}-${ZONES[1]}-0`)!.simulated.arrivals).to.equal(0)
    expect(told.some(({ outcomes }) => outcomes[0] === 'answered')).to.equal(true)
  })

  it('should refuse at once when no server is left', () => {
    for (const zone of ZONES) cluster.setZone(zone, 'out')
    run(500)
    const told = cluster.call(cluster.nodes[0]!, PATH, 'GET')
    run(50)
    expect(told.outcomes).to.deep.equal(['not-run'])
  })

  it('should keep servers whose registrations lapsed while the store was down', () => {
    const ids = [...cluster.backends.keys()]
    cluster.setStoreDown(true)
    run(5000)
    for (const id of ids) cluster.store.remove('servers', id)
    cluster.setStoreDown(false)
    run(1200)
    expect(cluster.nodes[1]!.core.replication.maxAgeMs(cluster.time.now)).to.be.below(1000)
    const told = cluster.call(cluster.nodes[1]!, PATH, 'GET')
    run(500)
    expect(told.outcomes).to.deep.equal(['answered'])
    for (const id of ids) cluster.register(id)
    run(3000)
    expect(cluster.nodes[1]!.core.catalog.size).to.equal(ids.length)
  })

  it('should stop as planned without cutting a request', () => {
    const node = cluster.nodes[0]!
    const told = Array.from({ length: 4 }, () => cluster.call(node, ORDERS, 'POST'))
    cluster.stop(node)
    run(3000)
    expect(node.leftAt).not.to.equal(undefined)
    for (const { outcomes } of told) expect(outcomes).to.deep.equal(['answered'])
  })

  it('should not use a grant that came while its process was paused', () => {
    const node = cluster.nodes.find(({ core, instance }) => core.roles.schedulersOf(cluster.services[0]!)[0]!.instance !== instance)!
    const sent: string[] = []
    const handle = node.core.handle.bind(node.core)
    node.core.handle = (event, now) => {
      const effects = handle(event, now)
      for (const effect of effects) if (effect.kind === 'dispatch') sent.push(effect.server.id)
      return effects
    }
    const told = cluster.call(node, PATH, 'GET')
    cluster.pause(node, 1000)
    run(500)
    const granted = node.waiting.flatMap((event) => {
      return event.kind === 'received' && event.message.kind === 'granted' ? [event.message.server.id] : []
    })
    expect(granted).to.have.length(1)
    cluster.drain(granted[0]!)
    run(2500)
    expect(told.outcomes).to.deep.equal(['answered'])
    expect(sent).not.to.include(granted[0]!)
  })

  it('should find a server for each request though datagrams get lost', () => {
    cluster = new Cluster({ seed: 5, serversPerZone: 3 })
    run(SETTLE_MS)
    cluster.lossRatio = 0.1
    const told = Array.from({ length: 60 }, (_, index) => {
      run(20)
      return cluster.call(cluster.nodes[index % 6]!, PATH, 'GET')
    })
    run(3000)
    for (const { outcomes } of told) expect(outcomes).to.deep.equal(['answered'])
  })
})
