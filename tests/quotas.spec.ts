/** Quotas of customers hold over all entries, whichever of them fails, and refuse nothing below them. */
import { expect } from 'chai'
import { QuotaBuckets } from '@gooseberryspan/core'
import { Cluster, ZONES, type Node } from './fixtures/cluster.js'

const WINDOW_MS = 5000
/** What deployments tolerate beyond a quota: a fraction of it, and a number of requests in a window. */
const OVERAGE = 0.1
const SLACK = 20
const RATE_PER_SECOND = 8
const BURST = 8
const PATHS = ['/allocations', '/orders', '/returns']

describe('quotas', () => {
  let cluster: Cluster

  beforeEach(() => {
    cluster = new Cluster({ seed: 3, entriesPerZone: 6, serversPerZone: 3 })
    declare(RATE_PER_SECOND)
    cluster.time.runUntil(4000)
  })

  afterEach(() => {
    cluster.restoreLinks()
    cluster.time.runUntil(cluster.time.now + 3000)
    cluster.checker.checkOutcomes()
    expect(cluster.violations).to.deep.equal([])
  })

  const digest = (name: string): string => Buffer.from(name.padEnd(32, '.')).toString('hex')
  const allowed = (rate = RATE_PER_SECOND): number => (rate * WINDOW_MS / 1000 + BURST) * (1 + OVERAGE) + SLACK
  const runs = (customer: string, after = 0): number => cluster.checker.mostRuns(customer, WINDOW_MS, after)
  const refused = (customer: string, after = 0): number =>
    cluster.checker.calls.filter((call) => call.customer === customer && call.at >= after && call.outcomes[0] === 'not-run').length
  /** The entry that counts for most customers. */
  const keeper = (): Node => cluster.ready().reduce((best, node) => node.core.quotas.kept > best.core.quotas.kept ? node : best)

  function declare (ratePerSecond: number): void {
    cluster.changeDocument((document) => {
      document.customers = ['hot', 'calm', 'free'].map((name) => ({
        name, keyDigests: [digest(name)], ratePerSecond: name === 'free' ? 0 : ratePerSecond, burst: BURST
      }))
    })
  }

  /** Sends requests of a customer through random entries, evenly over time. */
  function press (customer: string, perSecond: number, ms: number, nodes = (): Node[] => cluster.ready()): void {
    for (let at = 0; at < ms; at += 1000 / perSecond) {
      cluster.time.after(at, () => {
        const ready = nodes()
        if (ready.length === 0) return
        const path = PATHS[Math.floor(cluster.random.next() * PATHS.length)]!
        cluster.call(ready[Math.floor(cluster.random.next() * ready.length)]!, path, 'GET', customer)
      })
    }
  }

  const run = (ms: number): void => cluster.time.runUntil(cluster.time.now + ms)

  it('should be used up by a customer that asks for several times as much, and by nobody else', () => {
    press('hot', 60, 10_000)
    press('calm', 5, 10_000)
    press('free', 30, 10_000)
    run(10_000)
    expect(runs('hot')).to.be.at.most(allowed()).and.at.least(RATE_PER_SECOND * 5 * 0.9)
    expect(refused('calm')).to.equal(0)
    expect(refused('free')).to.equal(0)
  })

  it('should refuse nothing that a burst allows', () => {
    press('calm', 4, 4000)
    run(4000)
    press('calm', 1000, BURST)
    run(2000)
    expect(refused('calm')).to.equal(0)
  })

  it('should tell callers to return one after the other', () => {
    const buckets = new QuotaBuckets(() => 0)
    const customer = { name: 'hot', keyDigests: [], ratePerSecond: RATE_PER_SECOND, burst: BURST }
    const decisions = [1, 2, 3].map(() => buckets.take(customer, 1, 1000))
    const wait = 1000 / RATE_PER_SECOND
    expect(decisions).to.deep.equal([1, 2, 3].map((place) => ({ kind: 'exceeded', retryAfterMs: place * wait })))
  })

  // Guards against requests that wait for a server while the bucket fills up, and are returned on top of that.
  it('should take back no more than if the requests had not been counted', () => {
    const buckets = new QuotaBuckets(() => 10)
    const customer = { name: 'hot', keyDigests: [], ratePerSecond: 10, burst: 10 }
    let at = 0
    for (; at < 10; at++) buckets.take(customer, 1, at)
    for (; at <= 1500; at += 10) buckets.take(customer, 1, at)
    for (let count = 0; count < 25; count++) buckets.refund('hot', 1, 1300, at)
    let taken = 0
    while (taken < 100 && buckets.take(customer, 1, at).kind === 'within') taken += 1
    expect(taken).to.be.at.most(10).and.at.least(9)
    for (; at < 3000; at += 10) buckets.take(customer, 1, at)
    buckets.refund('hot', 1, 200, at)
    buckets.refund('hot', 1, 4100, at)
    expect([1, 2].map(() => buckets.take(customer, 1, at).kind)).to.deep.equal(['within', 'exceeded'])
  })

  for (const how of ['ends', 'freezes', 'stops']) {
    it(`should hold when the entry that counts ${how}, again and again`, () => {
      press('hot', 60, 16_000)
      press('calm', 4, 16_000)
      for (let round = 0; round < 3; round++) {
        run(4000)
        const node = keeper()
        if (how === 'ends') cluster.crash(node)
        else if (how === 'freezes') cluster.pause(node, 1500)
        else cluster.stop(node)
      }
      run(4000)
      expect(runs('hot')).to.be.at.most(allowed())
      expect(refused('calm')).to.be.at.most(6)
    })
  }

  it('should hold when all entries start anew', () => {
    press('hot', 60, 12_000)
    press('calm', 4, 12_000)
    run(4000)
    for (const { instance, zone } of [...cluster.nodes]) {
      cluster.crash(cluster.nodes.find((node) => node.instance === instance)!)
      cluster.startNode(instance, zone)
    }
    run(8000)
    expect(runs('hot')).to.be.at.most(allowed())
  })

  it('should hold on both sides while a zone is cut off, and afterwards', () => {
    press('hot', 60, 16_000)
    run(3000)
    for (const inside of cluster.nodes.filter(({ zone }) => zone === ZONES[0])) {
      for (const other of cluster.nodes) if (other.zone !== ZONES[0]) cluster.cut(inside.instance, other.instance, true)
    }
    run(7000)
    cluster.restoreLinks()
    run(6000)
    expect(runs('hot')).to.be.at.most(allowed())
  })

  it('should hold while entries reach none of the others', () => {
    const alone = cluster.nodes.slice(0, 4)
    for (const node of alone) for (const other of cluster.nodes) if (other !== node) cluster.cut(node.instance, other.instance, true)
    press('hot', 60, 10_000)
    run(10_000)
    expect(runs('hot')).to.be.at.most(allowed())
  })

  it('should follow a lower limit within the time of a change, and a higher one', () => {
    press('hot', 60, 20_000)
    run(6000)
    declare(2)
    run(7000)
    expect(runs('hot', cluster.time.now - WINDOW_MS)).to.be.at.most(allowed(2))
    declare(20)
    run(7000)
    expect(runs('hot', cluster.time.now - WINDOW_MS)).to.be.at.least(20 * 5 * 0.8)
  })

  it('should not count requests that did not run', () => {
    for (const backend of cluster.backends.values()) backend.simulated.isUnreachable = true
    press('calm', 6, 4000)
    run(4500)
    for (const backend of cluster.backends.values()) backend.simulated.isUnreachable = false
    run(1500)
    const since = cluster.time.now
    press('calm', 1000, BURST)
    run(3000)
    expect(refused('calm', since)).to.equal(0)
  })
})
