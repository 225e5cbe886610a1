/** The store comes back from an older copy: its versions go back and are given out again, in a new era. */
import { expect } from 'chai'
import {
  Catalog, Declarations, Invariants, Outbox, Replica, RowApplier, type RegisteredServer, type Rollouts, type StoredRow, type TableReadResult
} from '@gooseberryspan/core'
import { Cluster, ZONES } from './fixtures/cluster.js'
import { registeredServer } from './fixtures/records.js'
import { restart } from './fixtures/simulatedServer.js'

const SETTLED_MS = 5000
const COPY_AGE_MS = 4000
const AWAY_MS = 1000
/** More than the rows that are written again, so that the store has given out fewer versions after the restore than before. */
const LOST_CHANGES = 60
/** Time within which an accepted change must be in force at every instance. */
const IN_FORCE_MS = 2000

/** Lets the store lose the changes of some seconds. Operators and servers write again what they wrote since the copy. */
function restoreStore (cluster: Cluster, lostChanges: number): void {
  const copy = cluster.store.copy()
  for (let change = 0; change < lostChanges; change++) {
    cluster.time.after(change * COPY_AGE_MS / lostChanges, () => cluster.changeDocument(() => {}))
  }
  cluster.time.runUntil(cluster.time.now + COPY_AGE_MS)
  cluster.setStoreDown(true)
  cluster.time.runUntil(cluster.time.now + AWAY_MS)
  cluster.store.restore(copy)
  cluster.setStoreDown(false)
  cluster.rewriteDocument()
  for (const id of cluster.backends.keys()) cluster.register(id)
}

describe('store that comes back from an older copy', function () {
  // Guards against changes that are lost because the store gives them versions that entries have seen before.
  for (const count of [12, 48]) {
    it(`should put changes into force at ${count} instances after each of two restores`, () => {
      const cluster = new Cluster({ seed: 5, entriesPerZone: count / ZONES.length })
      cluster.time.runUntil(SETTLED_MS)
      for (let restore = 0; restore < 2; restore++) {
        restoreStore(cluster, LOST_CHANGES)
        cluster.time.runUntil(cluster.time.now + SETTLED_MS)
        cluster.changeDocument(() => {})
        cluster.time.runUntil(cluster.time.now + IN_FORCE_MS)
        cluster.checkPropagated()
        expect(cluster.violations).to.deep.equal([])
      }
    })
  }

  // Guards against entries that only learn of a restore from the store itself.
  it('should put changes into force at instances that the store no longer answers', () => {
    const cluster = new Cluster({ seed: 7, entriesPerZone: 4 })
    cluster.time.runUntil(SETTLED_MS)
    for (const { instance } of cluster.nodes.slice(0, 4)) cluster.platformStore.refused.add(instance)
    restoreStore(cluster, LOST_CHANGES)
    cluster.time.runUntil(cluster.time.now + SETTLED_MS)
    cluster.changeDocument(() => {})
    cluster.time.runUntil(cluster.time.now + IN_FORCE_MS)
    expect(cluster.nodes.map(({ core }) => core.declarations.revision)).to.deep.equal(Array(12).fill(LOST_CHANGES + 2))
    expect(cluster.nodes.map(({ core }) => core.replication.era)).to.deep.equal(Array(12).fill(2))
  })

  // Guards against a server that left, was removed, and is used again because the copy still has its registration.
  it('should not bring back a server that has left', () => {
    const cluster = new Cluster({ seed: 9, entriesPerZone: 2, serversPerZone: 2 })
    cluster.time.runUntil(SETTLED_MS)
    const [id, backend] = [...cluster.backends][0]!
    const copy = cluster.store.copy()
    cluster.drain(id)
    cluster.time.runUntil(cluster.time.now + 1000)
    cluster.store.remove('servers', id)
    cluster.time.runUntil(cluster.time.now + 1000)
    cluster.store.restore(copy)
    cluster.time.runUntil(cluster.time.now + 1000)
    for (const { core } of cluster.nodes) {
      expect(core.replication.era).to.equal(2)
      expect(core.catalog.get(id)?.state).to.not.equal('ready')
    }
    restart(backend)
    backend.entry.state = 'ready'
    cluster.register(id)
    cluster.time.runUntil(cluster.time.now + 1000)
    for (const { core } of cluster.nodes) expect(core.catalog.get(id)?.state).to.equal('ready')
  })

  // Guards against servers in good health that are dropped because they started after the copy was made.
  it('should keep servers that the copy lacks until they have had time to register again', () => {
    const cluster = new Cluster({ seed: 9, entriesPerZone: 2 })
    cluster.time.runUntil(SETTLED_MS)
    const copy = cluster.store.copy()
    for (const id of ['alive', 'gone']) cluster.addBackend(id, cluster.services[0]!, ZONES[0]!)
    cluster.time.runUntil(cluster.time.now + 1000)
    cluster.store.restore(copy)
    cluster.time.runUntil(cluster.time.now + 1900)
    const known = (): boolean[][] => ['alive', 'gone'].map((id) => cluster.nodes.map(({ core }) => core.catalog.get(id) !== undefined))
    expect(known()).to.deep.equal([Array(6).fill(true), Array(6).fill(true)])
    cluster.register('alive')
    cluster.time.runUntil(cluster.time.now + 2000)
    expect(known()).to.deep.equal([Array(6).fill(true), Array(6).fill(false)])
  })

  // Guards against entries that read whole tables again and again, or follow no change any more, after a wrong era in one answer.
  for (const odd of [999, 0, undefined]) {
    it(`should follow changes after one answer with the era ${odd}`, () => {
      const cluster = new Cluster({ seed: 3, entriesPerZone: 4 })
      cluster.time.runUntil(SETTLED_MS)
      const readTable = cluster.platformStore.readTable.bind(cluster.platformStore)
      let changed = 0
      let wholeReads = 0
      cluster.platformStore.readTable = (instance, effect, answer) => {
        if (effect.after === undefined) wholeReads += 1
        readTable(instance, effect, (reading: TableReadResult) => {
          changed += 1
          answer(changed === 1 && reading.kind !== 'unavailable' ? { ...reading, era: odd } : reading)
        })
      }
      cluster.time.runUntil(cluster.time.now + SETTLED_MS)
      cluster.changeDocument(() => {})
      cluster.time.runUntil(cluster.time.now + IN_FORCE_MS)
      cluster.checkPropagated()
      expect(cluster.violations).to.deep.equal([])
      expect(wholeReads).to.be.at.most(2)
      expect(cluster.nodes[0]!.core.replication.era).to.equal(1)
    })
  }
})

describe('replica across eras', () => {
  const row = (key: string, version: number, value?: string): StoredRow => ({ key, version, value })
  let replica: Replica

  beforeEach(() => {
    replica = new Replica()
    replica.replace([row('a', 30, 'x'), row('b', 50, 'y')], { era: 1, version: 100 }, 0)
    replica.replace([row('a', 30, 'x'), row('c', 40, 'z')], { era: 2, version: 60 }, 1)
  })

  it('should go back to lower versions in a later era', () => {
    expect(replica.position).to.deep.equal({ era: 2, version: 60 })
    expect([...replica.rows.keys()]).to.deep.equal(['a', 'c'])
    expect(replica.merge([row('c', 61)], 60, 61, 2, 2).kind).to.equal('merged')
  })

  // Guards against an answer that the store has sent before it was restored.
  it('should not take anything from an older era', () => {
    expect(replica.merge([row('b', 120, 'late')], 100, 120, 2, 1)).to.deep.equal({ kind: 'outdated' })
    expect(replica.replace([row('b', 120, 'late')], { era: 1, version: 120 }, 2)).to.deep.equal([])
    expect([...replica.rows.keys()]).to.deep.equal(['a', 'c'])
    expect(replica.changesSince({ era: 1, version: 100 })).to.equal(undefined)
  })
})

describe('catalog across eras', () => {
  const server = (changes: Partial<RegisteredServer>): RegisteredServer => {
    return registeredServer('s1', { incarnation: '1000', bornAt: 1000, service: 'orders', era: 1, ...changes })
  }
  let catalog: Catalog

  beforeEach(() => {
    catalog = new Catalog({ lapseMs: 1000, isDeclared: () => true })
    catalog.apply([{ id: 's1', version: 50, entry: server({ version: 50, sequence: 5, state: 'draining' }) }], 0)
  })

  // Guards against earlier words of a server, written late or restored, that replace its later ones.
  for (const [title, row] of [
    ['an earlier statement that was written late', { version: 60, sequence: 4 }],
    ['a restored statement', { era: 2, version: 40, sequence: 4 }],
    ['a restored statement of an earlier start', { era: 2, version: 30, sequence: 90, incarnation: '500', bornAt: 500 }]
  ] as const) {
    it(`should not take ${title}`, () => {
      catalog.apply([{ id: 's1', version: row.version, entry: server(row) }], 1)
      expect(catalog.get('s1')?.state).to.equal('draining')
      catalog.apply([{ id: 's1', version: 70 }], 2)
      catalog.apply([{ id: 's1', version: row.version, entry: server(row) }], 3)
      expect(catalog.get('s1')).to.equal(undefined)
    })
  }

  it('should take a later statement of a server, also in a later era with a lower version', () => {
    catalog.apply([{ id: 's1', version: 70 }], 1)
    catalog.apply([{ id: 's1', version: 45, entry: server({ era: 2, version: 45, sequence: 6 }) }], 2)
    expect(catalog.get('s1')?.state).to.equal('ready')
  })

  it('should give an address to its newest registration, also in a later era with a lower version', () => {
    catalog.apply([{ id: 's1', version: 55, entry: server({ version: 55, sequence: 6 }) }], 1)
    catalog.apply([{ id: 'other', version: 20, entry: server({ id: 'other', service: 'returns', era: 2, version: 20 }) }], 2)
    expect(catalog.readyOf('orders')).to.deep.equal([])
    expect(catalog.readyOf('returns')).to.have.length(1)
  })
})

describe('evacuation that a restored store lacks', () => {
  // Guards against requests to a zone that operators have evacuated before the store lost their order.
  it('should hold until it is withdrawn after it was written again, or not written again in time', () => {
    const zonesOut = new Declarations(new Invariants({ broken: () => {} }))
    const applier = new RowApplier({
      reader: {
        declaration: ({ key }) => ({ kind: 'zone-out', zone: key }),
        server: () => undefined
      },
      declarations: zonesOut,
      catalog: new Catalog({ lapseMs: 1000, isDeclared: () => true }),
      outbox: new Outbox(),
      rollouts: { withdrawn: () => {} } as unknown as Rollouts,
      serversChanged: () => {}
    })
    const apply = (rows: StoredRow[], era: number, isRestored: boolean, now: number): void => {
      applier.apply({ table: 'declarations', rows, era, isRestored }, now)
    }
    apply([{ key: 'west', version: 9, value: '' }, { key: 'east', version: 9, value: '' }], 1, false, 0)
    apply([{ key: 'west', version: 5 }, { key: 'east', version: 5 }], 2, true, 1000)
    expect(['west', 'east'].map((zone) => zonesOut.zoneIsIn(zone))).to.deep.equal([false, false])
    apply([{ key: 'west', version: 6, value: '' }], 2, false, 1100)
    applier.tick(70_000)
    expect(['west', 'east'].map((zone) => zonesOut.zoneIsIn(zone))).to.deep.equal([false, true])
    apply([{ key: 'west', version: 7 }], 2, false, 71_000)
    expect(zonesOut.zoneIsIn('west')).to.equal(true)
  })
})
