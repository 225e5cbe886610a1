/** The configuration: validated as a whole, accepted as a whole, never taken back. */
import { expect } from 'chai'
import {
  applyDelta, deltaBetween, Invariants, parseDocument, RefusedDocument, Revisions, ThrowingWatcher, type AcceptedChange, type Document,
  type Transaction, type TransactionResult
} from '@gooseberryspan/core'
import { ConfigurationStore, PlatformUnavailable, type TableService } from '@gooseberryspan/platform'
import { TableEngine, trustDocument } from '@gooseberryspan/standins'

const GOOD = `
zones: [{ name: a, region: r }]
services:
  - { name: orders, path: /orders, kinds: [{ name: place, methods: [POST], idempotent: false }] }
`

function faultsOf (text: string): string[] {
  try {
    parseDocument(text)
  } catch (error) {
    if (error instanceof RefusedDocument) return error.faults.map((fault) => fault.path)
    throw error
  }
  return []
}

/** A table whose answers may be lost after, or instead of, their effect. */
class FaultyTables implements TableService {
  readonly engine = new TableEngine()
  faults: Array<'lost-after' | 'lost-before'> = []

  async transact (transactions: Transaction[]): Promise<TransactionResult[]> {
    const writes = transactions.some((transaction) => transaction.writes.length > 0)
    const fault = writes ? this.faults.shift() : undefined
    if (fault === 'lost-before') throw new PlatformUnavailable('lost')
    const results = transactions.map((transaction) => this.engine.run(transaction))
    if (fault === 'lost-after') throw new PlatformUnavailable('lost')
    return results
  }
}

describe('document', () => {
  it('should fill in defaults', () => {
    const document = parseDocument(GOOD)
    expect(document.services[0]).to.include({ slots: 2, coldLimit: 1, queueLength: 64 })
    expect(document.zones[0]!.state).to.equal('in')
  })

  for (const [title, text, path] of [
    ['text that is not YAML', '{', ''],
    ['an unknown key', GOOD + 'extra: 1\n', ''],
    ['a service declared twice', GOOD + GOOD.split('\n')[3] + '\n', 'services.1.name'],
    ['a wrong unit', GOOD.replace('path: /orders', 'path: /orders, queueMs: 1.5'), 'services.0.queueMs'],
    ['a cold limit above the slots', GOOD.replace('path: /orders', 'path: /orders, coldLimit: 3'), 'services.0.coldLimit'],
    ['a hedge of a request that must not run twice', GOOD.replace('idempotent: false', 'idempotent: false, hedgeAfterMs: 5'),
      'services.0.kinds.0.hedgeAfterMs']
  ] as Array<[string, string, string]>) {
    it(`should refuse ${title} and name its place`, () => {
      expect(faultsOf(text)).to.include(path)
    })
  }

  it('should name every fault at once', () => {
    const text = GOOD.replace('path: /orders', 'path: orders, slots: 0')
    expect(faultsOf(text)).to.include.members(['services.0.path', 'services.0.slots'])
  })
})

describe('delta', () => {
  it('should lead from one document to the other', () => {
    const from = trustDocument()
    const to: Document = { ...from, zones: from.zones.slice(1), services: [{ ...from.services[0]!, slots: 9 }, ...from.services.slice(2)] }
    const result = applyDelta(from, deltaBetween(from, to))
    expect(result.zones).to.have.deep.members(to.zones)
    expect(result.services).to.have.deep.members(to.services)
  })
})

describe('revisions', () => {
  let revisions: Revisions
  const change = (revision: number): AcceptedChange => ({
    revision, changeId: `c${revision}`, delta: { zones: [], removedZones: [], services: [], removedServices: [] }
  })

  beforeEach(() => {
    revisions = new Revisions(new Invariants(new ThrowingWatcher()))
    revisions.adopt({ revision: 5, document: trustDocument() })
  })

  it('should never go back to an older document', () => {
    expect(revisions.adopt({ revision: 4, document: trustDocument() })).to.equal(false)
    expect(revisions.revision).to.equal(5)
  })

  it('should take late and doubled changes without going back', () => {
    revisions.follow([change(6), change(7)])
    revisions.follow([change(6)])
    expect(revisions.revision).to.equal(7)
  })

  it('should not skip a change it has not seen', () => {
    expect(revisions.follow([change(7)])).to.equal(false)
    expect(revisions.revision).to.equal(5)
  })
})

describe('configuration store', () => {
  let tables: FaultyTables
  let store: ConfigurationStore

  beforeEach(async () => {
    tables = new FaultyTables()
    store = new ConfigurationStore(tables, async () => {})
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
    tables.faults = ['lost-after']
    expect(await store.change(trustDocument(), 1, 'mine')).to.deep.equal({ kind: 'accepted', revision: 2 })
  })

  it('should not claim a change that may not have taken effect', async () => {
    tables.faults = ['lost-before']
    expect((await store.change(trustDocument(), 1, 'mine')).kind).to.equal('unsettled')
  })

  it('should settle a repeated change by its id', async () => {
    await store.change(trustDocument(), 1, 'mine')
    expect(await store.change(trustDocument(), 1, 'mine')).to.deep.equal({ kind: 'accepted', revision: 2 })
  })

  it('should accept a change while entries join', async () => {
    const view = tables.engine.run({ conditions: [], writes: [], reads: [{ kind: 'row', table: 'view', key: 'current' }] }).rows[0]!
    const document = trustDocument()
    document.services[0]!.holdersPerZone = 2
    const run = tables.engine.run.bind(tables.engine)
    let joins = 1
    tables.engine.run = (transaction) => {
      if (transaction.writes.length > 0 && joins-- > 0) {
        const conditions = [{ table: 'view' as const, key: 'current', version: view.version }]
        run({ conditions, writes: [{ table: 'view', key: 'current', value: { version: 1, splits: [] } }], reads: [] })
      }
      return run(transaction)
    }
    expect(await store.change(document, 1, 'split')).to.deep.equal({ kind: 'accepted', revision: 2 })
  })
})
