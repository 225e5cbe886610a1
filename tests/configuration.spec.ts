/** The configuration: validated as a whole, accepted as a whole, never taken back. */
import { expect } from 'chai'
import {
  Declarations, deltaBetween, gatewayConfigurationOf, Invariants, parseDocument, ConfigurationError, RouteTable, SeededRandom,
  WeightedPicker, ThrowingReporter,
  type Document, type Route, type StoredRow
} from '@gooseberryspan/core'
import {
  ConfigurationStore, StoreUnavailable, type ChangesResult, type TableSnapshot, type RowName, type Store, type Transaction, type
  TransactionResult
} from '@gooseberryspan/store'
import { RowEngine, trustDocument } from '@gooseberryspan/standins'

const GOOD = `
zones: [{ name: a, region: r }]
services:
  - { name: orders, path: /orders, kinds: [{ name: place, methods: [POST], idempotent: false }] }
`
const ROUTE = 'routes: [{ name: split, path: /split, idempotent: true, split: [{ service: orders, weight: 1 }] }]\n'

function faultsOf (text: string): string[] {
  try {
    parseDocument(text)
  } catch (error) {
    if (error instanceof ConfigurationError) return error.faults.map((fault) => fault.path)
    throw error
  }
  return []
}

function route (changes: Partial<Route> & { prefix: string }): Route {
  return {
    name: changes.prefix,
    shares: [{ service: 's', weight: 1 }],
    repeatable: true,
    timeoutMs: 1000,
    targetMs: 100,
    priority: 1,
    attempts: 2,
    ...changes
  }
}

/** A store whose answers to writes may be lost after, or instead of, their effect. */
class FaultyStore implements Store {
  readonly engine = new RowEngine()
  faults: Array<'lost-after' | 'lost-before'> = []

  async readAll (table: string): Promise<TableSnapshot> {
    return { rows: this.engine.rows(table).rows, version: this.engine.version }
  }

  async readRow ({ table, key }: RowName): Promise<StoredRow | undefined> {
    return this.engine.rows(table).rows.find((row) => row.key === key)
  }

  async waitForChanges (): Promise<ChangesResult> {
    return { kind: 'history-lost' }
  }

  async transact (transaction: Transaction): Promise<TransactionResult> {
    const fault = this.faults.shift()
    if (fault === 'lost-before') throw new StoreUnavailable('lost')
    const end = this.engine.run(transaction)
    if (fault === 'lost-after') throw new StoreUnavailable('lost')
    return end === 'done' ? { kind: 'done', version: this.engine.version } : { kind: 'conflict' }
  }

  async putObject (): Promise<void> {}

  async getObject (): Promise<undefined> {}
}

describe('document', () => {
  it('should fill in defaults', () => {
    const document = parseDocument(GOOD)
    expect(document.services[0]).to.include({ probePath: '/health', coldMs: 3000 })
    expect(document.zones[0]!.state).to.equal('in')
  })

  for (const [title, text, path] of [
    ['text that is not YAML', '{', ''],
    ['an unknown key', GOOD + 'extra: 1\n', ''],
    ['a service declared twice', GOOD + GOOD.split('\n')[3] + '\n', 'services.1.name'],
    ['a wrong unit', GOOD.replace('path: /orders', 'path: /orders, coldMs: 1.5'), 'services.0.coldMs'],
    ['a share of a service that is not declared', GOOD + ROUTE.replace('service: orders', 'service: none'), 'routes.0.split.0.service'],
    ['a share without a weight', GOOD + ROUTE.replace('weight: 1', 'weight: 0'), 'routes.0.split.0.weight']
  ] as Array<[string, string, string]>) {
    it(`should refuse ${title} and name its place`, () => {
      expect(faultsOf(text)).to.include(path)
    })
  }

  it('should name every fault at once', () => {
    const text = GOOD.replace('path: /orders', 'path: orders, connections: 0')
    expect(faultsOf(text)).to.include.members(['services.0.path', 'services.0.connections'])
  })

  it('should declare a route for each kind and each split', () => {
    const { routes, zonesOut } = gatewayConfigurationOf(parseDocument(GOOD + ROUTE), 7)
    expect(routes.map(({ name, prefix, repeatable }) => ({ name, prefix, repeatable }))).to.deep.equal([
      { name: 'place', prefix: '/orders', repeatable: false }, { name: 'split', prefix: '/split', repeatable: true }
    ])
    expect(zonesOut).to.deep.equal([])
  })
})

describe('delta', () => {
  it('should name what a change adds, alters and removes', () => {
    const from = trustDocument()
    const to: Document = { ...from, zones: from.zones.slice(1), services: [{ ...from.services[0]!, coldMs: 9 }, ...from.services.slice(2)] }
    const delta = deltaBetween(from, to)
    expect(delta.removedZones).to.deep.equal([from.zones[0]!.name])
    expect(delta.services.map((service) => service.name)).to.deep.equal([from.services[0]!.name])
    expect(delta.removedServices).to.deep.equal([from.services[1]!.name])
  })
})

describe('route table', () => {
  const table = new RouteTable([
    route({ prefix: '/a/', host: 'one' }), route({ prefix: '/a/b/', host: 'one' }), route({ prefix: '/orders' }),
    route({ prefix: '/orders', name: 'place', methods: ['POST'] }), route({ prefix: '/a/', host: 'two', name: 'other' })
  ])
  const find = (host: string, path: string, method = 'GET'): string | undefined => table.find({ host, path, method })?.name

  it('should take the longest prefix of the host', () => {
    expect([find('one', '/a/b/c'), find('one', '/a/x'), find('two', '/a/b/c')]).to.deep.equal(['/a/b/', '/a/', 'other'])
  })

  it('should match whole path segments only', () => {
    expect([find('x', '/orders'), find('x', '/orders/1'), find('x', '/orders?y'), find('x', '/ordersx')])
      .to.deep.equal(['/orders', '/orders', '/orders', undefined])
  })

  it('should find nothing for an unknown host or path', () => {
    expect([find('three', '/a/b'), find('one', '/b/')]).to.deep.equal([undefined, undefined])
  })
})

describe('share dealer', () => {
  it('should give each service its weight\'s part, to within one request', () => {
    const dealer = new WeightedPicker(new SeededRandom(3))
    const split = route({ prefix: '/', shares: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }] })
    const dealt = Array.from({ length: 200 }, () => dealer.next(split))
    expect(dealt.filter((service) => service === 'b').length).to.be.within(19, 21)
  })

  it('should follow new weights at once', () => {
    const dealer = new WeightedPicker(new SeededRandom(3))
    dealer.next(route({ prefix: '/', shares: [{ service: 'a', weight: 1 }, { service: 'b', weight: 1 }] }))
    const moved = route({ prefix: '/', shares: [{ service: 'b', weight: 1 }] })
    expect(dealer.next(moved)).to.equal('b')
  })
})

describe('declarations', () => {
  it('should never go back to an older gateway', () => {
    const declarations = new Declarations(new Invariants(new ThrowingReporter()))
    expect(declarations.adopt(gatewayConfigurationOf(trustDocument(), 5))).to.equal(true)
    expect(declarations.adopt(gatewayConfigurationOf(trustDocument(), 4))).to.equal(false)
    expect(declarations.adopt(gatewayConfigurationOf(trustDocument(), 5))).to.equal(false)
    expect(declarations.revision).to.equal(5)
  })

  it('should keep a zone out that is taken out by either way', () => {
    const declarations = new Declarations(new Invariants(new ThrowingReporter()))
    const document = trustDocument()
    document.zones[0]!.state = 'out'
    declarations.adopt(gatewayConfigurationOf(document, 1))
    declarations.setEvacuatedZones(new Set(['west-2']))
    expect(['west-1', 'west-2', 'west-3'].map((zone) => declarations.zoneIsIn(zone))).to.deep.equal([false, false, true])
  })
})

describe('configuration store', () => {
  let rows: FaultyStore
  let store: ConfigurationStore

  beforeEach(async () => {
    rows = new FaultyStore()
    store = new ConfigurationStore(rows, async () => {})
    await store.change(trustDocument(), 0, 'first')
  })

  it('should accept a change on the revision in force', async () => {
    expect(await store.change(trustDocument(), 1, 'second')).to.deep.equal({ kind: 'accepted', revision: 2 })
  })

  it('should refuse the later of two racing operators and name the revision that won', async () => {
    const outcomes = await Promise.all([store.change(trustDocument(), 1, 'one'), store.change(trustDocument(), 1, 'other')])
    expect(outcomes).to.have.deep.members([{ kind: 'accepted', revision: 2 }, { kind: 'conflict', revision: 2 }])
  })

  it('should recognise its own change whose answer was lost', async () => {
    rows.faults = ['lost-after']
    expect(await store.change(trustDocument(), 1, 'mine')).to.deep.equal({ kind: 'accepted', revision: 2 })
  })

  it('should recognise its own change behind a later one', async () => {
    await store.change(trustDocument(), 1, 'mine')
    await store.change(trustDocument(), 2, 'later')
    expect(await store.change(trustDocument(), 1, 'mine')).to.deep.equal({ kind: 'accepted', revision: 2 })
  })

  it('should not claim a change that may not have taken effect', async () => {
    rows.faults = ['lost-before']
    expect((await store.change(trustDocument(), 1, 'mine')).kind).to.equal('unsettled')
  })
})
