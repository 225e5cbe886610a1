/** Who calls the store, and how often, while it is well and while it is not. */
import { expect } from 'chai'
import { Cluster } from './fixtures/cluster.js'

const SETTLED_MS = 5000
const TROUBLE_MS = 10_000
/** Instances that may call within such a time, and their calls a second; many instances call no more than few do. */
const MOST_CALLERS = 15
const MOST_CALLS_PER_SECOND = 30

type State = 'well' | 'away' | 'slow' | 'forgetful' | 'turning a third away'

const begin: Record<State, (cluster: Cluster) => void> = {
  well: () => {},
  away: (cluster) => cluster.setStoreDown(true),
  slow: (cluster) => {
    cluster.platformStore.delayMs = 240
  },
  forgetful: (cluster) => {
    for (const after of [500, 1500, 2500]) cluster.time.after(after, () => cluster.store.dropHistory())
  },
  'turning a third away': (cluster) => {
    for (const [index, { instance }] of cluster.nodes.entries()) if (index % 3 === 0) cluster.platformStore.refused.add(instance)
  }
}

describe('store calls', function () {
  for (const entriesPerZone of [7, 35]) {
    for (const state of Object.keys(begin) as State[]) {
      it(`should come from a few of ${entriesPerZone * 3} instances while the store is ${state}`, function () {
        const cluster = new Cluster({ seed: 11, entriesPerZone })
        cluster.time.runUntil(SETTLED_MS)
        expect(cluster.ready()).to.have.length(entriesPerZone * 3)
        cluster.platformStore.calls.clear()
        begin[state](cluster)
        cluster.time.runUntil(SETTLED_MS + TROUBLE_MS)
        const calls = [...cluster.platformStore.calls.values()].reduce((sum, count) => sum + count, 0)
        expect(cluster.platformStore.calls.size, 'callers').to.be.at.most(MOST_CALLERS)
        expect(calls / TROUBLE_MS * 1000, 'calls a second').to.be.at.most(MOST_CALLS_PER_SECOND)
        expect(cluster.violations).to.deep.equal([])
      })
    }
  }
})
