/** Roll-outs in a simulated cluster: what gets requests, how a roll-out ends, and what failures of its parts change. */
import { expect } from 'chai'
import { Cluster, ZONES, type Node } from './fixtures/cluster.js'

const SETTLE_MS = 15_000
const CALL_INTERVAL_MS = 10
const PATH = '/orders'
const SECONDS = 12
const DEADLINE_MS = SECONDS * 1000

describe('roll-outs', () => {
  let cluster: Cluster
  let service: string

  beforeEach(() => {
    cluster = new Cluster({ seed: 7, entriesPerZone: 3, serversPerZone: 3, exposure: { share: 0.1, slack: 50 } })
    service = cluster.services[1]!
    cluster.time.runUntil(SETTLE_MS)
  })

  afterEach(() => {
    cluster.restoreLinks()
    cluster.time.runUntil(cluster.time.now + 3000)
    cluster.checker.checkOutcomes()
    expect(cluster.violations).to.deep.equal([])
  })

  const status = (): string | undefined => cluster.rolloutOperator.status(service)
  const decider = (): Node => {
    const { instance } = cluster.aliveNodes()[0]!.core.roles.watchers[0]!
    return cluster.nodes.find((node) => node.instance === instance)!
  }
  const arrivalsAt = (version: string): number => {
    let sum = 0
    for (const { entry, simulated } of cluster.backends.values()) {
      if (entry.service === service && entry.softwareVersion === version) sum += simulated.arrivals
    }
    return sum
  }

  /** Starts the servers of another version beside the present ones. */
  function addVersion (version: string, fault: { failedFraction?: number, slowdown?: number } = {}): void {
    for (const zone of ZONES) {
      for (let index = 0; index < 3; index++) {
        const id = `${service}-${version}-${zone}-${index}`
        cluster.addBackend(id, service, zone, version)
        const backend = cluster.backends.get(id)!
        backend.failedFraction = fault.failedFraction ?? 0
        backend.simulated.slowdownFactor = fault.slowdown ?? 1
      }
    }
  }

  /** Sends calls through random entries, half of them of requests that must not run twice. */
  function press (ms: number): void {
    for (let at = 0; at < ms; at += CALL_INTERVAL_MS) {
      cluster.time.after(at, () => {
        const ready = cluster.ready()
        const method = cluster.random.next() < 0.5 ? 'GET' : 'POST'
        if (ready.length > 0) cluster.call(ready[Math.floor(cluster.random.next() * ready.length)]!, PATH, method)
      })
    }
    cluster.time.runUntil(cluster.time.now + ms)
  }

  it('should give nothing to another version before an order names it', () => {
    addVersion('v2')
    press(4000)
    expect(arrivalsAt('v2')).to.equal(0)
  })

  it('should complete a good version by the deadline, and then use it alone', () => {
    press(2000)
    addVersion('v2')
    cluster.rolloutOperator.order(service, 'v2', SECONDS)
    press(DEADLINE_MS)
    expect(status()).to.equal('completed')
    const former = arrivalsAt('v1')
    const answered = cluster.checker.calls.length
    press(3000)
    expect(arrivalsAt('v1')).to.equal(former)
    const late = cluster.checker.calls.slice(answered).filter(({ outcomes }) => outcomes[0] !== 'answered')
    expect(late.length).to.be.below(30)
  })

  for (const fault of [{ failedFraction: 0.3 }, { failedFraction: 0.1 }, { slowdown: 4 }]) {
    it(`should take back a bad version (${JSON.stringify(fault)}) within its exposure`, () => {
      press(2000)
      addVersion('v2', fault)
      cluster.rolloutOperator.order(service, 'v2', SECONDS)
      press(DEADLINE_MS)
      expect(status()).to.equal('rolled-back')
      expect(cluster.rollouts.targetArrivals(service)).to.be.above(0).and.at.most(SECONDS * 1000 / CALL_INTERVAL_MS * 0.1 + 50)
    })
  }

  it('should take back a version that turns bad during its trial', () => {
    press(2000)
    addVersion('v2')
    cluster.rolloutOperator.order(service, 'v2', SECONDS)
    press(4000)
    for (const backend of cluster.backends.values()) if (backend.entry.softwareVersion === 'v2') backend.failedFraction = 0.5
    press(DEADLINE_MS - 4000)
    expect(status()).to.equal('rolled-back')
  })

  for (const phase of ['trial', 'switching']) {
    it(`should go on when the deciding entry ends during ${phase}`, () => {
      press(2000)
      addVersion('v2')
      cluster.rolloutOperator.order(service, 'v2', SECONDS)
      for (let spent = 0; spent < DEADLINE_MS && phaseAt(decider()) !== phase; spent += 20) press(20)
      cluster.crash(decider())
      press(DEADLINE_MS + 20_000)
      expect(status()).to.equal('completed')
    })
  }

  it('should go on when all entries are restarted amid a trial', () => {
    press(2000)
    addVersion('v2', { failedFraction: 0.3 })
    cluster.rolloutOperator.order(service, 'v2', SECONDS)
    press(1500)
    for (const { instance, zone } of [...cluster.nodes]) {
      cluster.crash(cluster.nodes.find((node) => node.instance === instance)!)
      cluster.startNode(instance, zone)
    }
    press(DEADLINE_MS)
    expect(status()).to.equal('rolled-back')
  })

  it('should wait for an entry that is cut off before the former servers stop', () => {
    press(2000)
    addVersion('v2')
    cluster.rolloutOperator.order(service, 'v2', SECONDS)
    press(2000)
    const cut = cluster.nodes.find((node) => node !== decider())!
    for (const other of cluster.nodes) if (other !== cut) cluster.cut(cut.instance, other.instance, true)
    cluster.platformStore.refused.add(cut.instance)
    press(30_000)
    expect(status()).to.equal('completed')
  })

  it('should wait for an entry that is paused while a request runs', () => {
    press(2000)
    addVersion('v2')
    cluster.rolloutOperator.order(service, 'v2', SECONDS)
    for (let spent = 0; spent < DEADLINE_MS && phaseAt(decider()) !== 'switching'; spent += 20) press(20)
    const paused = cluster.nodes.find((node) => node !== decider())!
    cluster.pause(paused, 6000)
    press(25_000)
    expect(status()).to.equal('completed')
  })

  it('should take back a bad version while the store answers only now and then, and loses answers', () => {
    press(2000)
    addVersion('v2', { failedFraction: 0.3 })
    cluster.rolloutOperator.order(service, 'v2', SECONDS)
    press(300)
    cluster.platformStore.losesWrites = true
    for (let round = 0; round < 6; round++) {
      cluster.setStoreDown(true)
      press(1700)
      cluster.setStoreDown(false)
      press(300)
    }
    press(3000)
    expect(status()).to.equal('rolled-back')
  })

  it('should write one word although two entries take themselves for the deciding one', () => {
    press(2000)
    addVersion('v2')
    cluster.rolloutOperator.order(service, 'v2', SECONDS)
    press(1000)
    const inside = cluster.nodes.filter(({ zone }) => zone === ZONES[0])
    for (const a of inside) for (const b of cluster.nodes) if (b.zone !== ZONES[0]) cluster.cut(a.instance, b.instance, true)
    press(6000)
    cluster.restoreLinks()
    press(25_000)
    expect(status()).to.be.oneOf(['completed', 'rolled-back'])
  })

  it('should take back what an operator withdraws, and what no server runs', () => {
    press(1000)
    cluster.rolloutOperator.order(service, 'v3', 4)
    press(5000)
    expect(status()).to.equal('rolled-back')
    addVersion('v2')
    cluster.rolloutOperator.order(service, 'v2', SECONDS)
    press(2000)
    cluster.rolloutOperator.withdraw(service)
    press(2000)
    expect(status()).to.equal('rolled-back')
  })

  it('should take back at once what has no time, and replace a running order by the next', () => {
    press(1000)
    addVersion('v2')
    cluster.rolloutOperator.order(service, 'v2', 0)
    press(1500)
    expect(status()).to.equal('rolled-back')
    addVersion('v3')
    cluster.rolloutOperator.order(service, 'v3', SECONDS)
    press(2000)
    addVersion('v4')
    cluster.rolloutOperator.order(service, 'v4', SECONDS)
    press(DEADLINE_MS + 2000)
    expect(status()).to.equal('completed')
  })

  it('should send nothing to a zone that is evacuated meanwhile', () => {
    press(1000)
    addVersion('v2')
    cluster.rolloutOperator.order(service, 'v2', SECONDS)
    press(2000)
    cluster.setZone(ZONES[0]!, 'out')
    press(DEADLINE_MS)
    expect(status()).to.equal('completed')
  })

  function phaseAt ({ core }: Node): string | undefined {
    return core.rollouts.versions.record(service)?.phase
  }
})
