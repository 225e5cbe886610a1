/** Changes reach all instances in time though the store no longer answers some of them, also not the reads that already wait. */
import { expect } from 'chai'
import { Cluster, ZONES, type Node } from './fixtures/cluster.js'

const SETTLED_MS = 5000
const CHANGE_COUNT = 9
const CHANGE_INTERVAL_MS = 1300
/** Time within which an accepted change must be in force at every instance that reaches the store. */
const IN_FORCE_MS = { small: 2000, large: 2500 }

type Choice = 'both that read it for all, and others' | 'the highest-ranked'

/** Selects this share of the instances. */
function choose (cluster: Cluster, choice: Choice, share: number): Node[] {
  const count = Math.floor(cluster.nodes.length * share)
  const byRank = [...cluster.nodes].sort((a, b) => a.core.roles.leaderRank - b.core.roles.leaderRank)
  if (choice === 'the highest-ranked') return byRank.slice(0, count)
  const [first, second, ...others] = byRank
  others.sort((a, b) => a.instance < b.instance ? -1 : 1)
  const step = others.length / (count - 2)
  return [first!, second!, ...Array.from({ length: count - 2 }, (_, index) => others[Math.floor(index * step)]!)]
}

describe('silent store', function () {
  for (const [count, share] of [[12, 1 / 3], [12, 0.6], [48, 1 / 3], [48, 0.6], [132, 1 / 3], [132, 0.6]] as const) {
    for (const choice of ['both that read it for all, and others', 'the highest-ranked'] as const) {
      const percentage = Math.round(share * 100)
      it(`should not delay changes for others when it no longer answers ${percentage}% of ${count} instances, ${choice}`, () => {
        const cluster = new Cluster({ seed: 11, entriesPerZone: count / ZONES.length })
        cluster.time.runUntil(SETTLED_MS)
        expect(cluster.ready()).to.have.length(count)
        for (const { instance } of choose(cluster, choice, share)) cluster.platformStore.unanswered.add(instance)
        const served = cluster.nodes.filter(({ instance }) => !cluster.platformStore.unanswered.has(instance))
        const limitMs = count > 25 ? IN_FORCE_MS.large : IN_FORCE_MS.small
        const late: string[] = []
        for (let change = 0; change < CHANGE_COUNT; change++) {
          cluster.time.after(50 + change * CHANGE_INTERVAL_MS, () => {
            cluster.changeDocument(() => {})
            const revision = 2 + change
            cluster.time.after(limitMs, () => {
              const behind = served.filter(({ core }) => core.declarations.revision < revision)
              if (behind.length > 0) late.push(`change ${change + 1}: ${behind.length} of ${served.length}`)
            })
          })
        }
        cluster.time.runUntil(SETTLED_MS + CHANGE_COUNT * CHANGE_INTERVAL_MS + limitMs)
        expect(late).to.deep.equal([])
        expect(cluster.violations).to.deep.equal([])
      })
    }
  }
})

describe('reads of the store in large clusters', function () {
  let cluster: Cluster
  const run = (ms: number): void => cluster.time.runUntil(cluster.time.now + ms)
  /** Instances that call the store while the document changes. */
  const callers = (): string[] => {
    cluster.platformStore.calls.clear()
    for (let change = 0; change < 3; change++) {
      cluster.changeDocument(() => {})
      run(2000)
    }
    return [...cluster.platformStore.calls.keys()]
  }

  beforeEach(() => {
    cluster = new Cluster({ seed: 11, entriesPerZone: 44 })
    run(SETTLED_MS)
  })

  // Guards against changes that make replicas of other tables count as outdated.
  it('should come from the followers only, also while the document changes', () => {
    expect(callers()).to.have.length(2)
  })

  // Guards against entries that go on reading after another one has taken over.
  it('should come from one instance that the store answers, once it is silent for most others', () => {
    for (const { instance } of choose(cluster, 'both that read it for all, and others', 0.6)) cluster.platformStore.unanswered.add(instance)
    run(12_000)
    expect(callers().filter((instance) => !cluster.platformStore.unanswered.has(instance))).to.have.length(1)
  })
})
