/** The store's client against a stand-in that misbehaves, and the copies that entries keep. */
import { expect } from 'chai'
import { Replica, SeededRandom, type StoredRow } from '@gooseberryspan/core'
import { decodeAddressBook, encodeAddressBook } from '@gooseberryspan/entry'
import { HttpClient, HttpStore, DefaultStoreProtocol, DefaultRowReader, StoreUnavailable } from '@gooseberryspan/store'
import { StoreServer } from '@gooseberryspan/standins'

const row = (key: string, version: number, value?: string): StoredRow => ({ key, version, value })

describe('store client', () => {
  let server: StoreServer
  let client: HttpClient
  let store: HttpStore

  beforeEach(async () => {
    server = new StoreServer({ host: '127.0.0.1', port: 0, random: new SeededRandom(1), pageRows: 10 })
    client = new HttpClient({ url: await server.start(), timeoutMs: 100, requestsPerSecond: 1000 })
    store = new HttpStore(client, new DefaultStoreProtocol())
  })

  afterEach(() => {
    client.close()
    server.stop()
  })

  async function failure (call: Promise<unknown>): Promise<Error> {
    return await call.then(() => expect.fail('it was answered'), (error: Error) => error)
  }

  it('should read a table of several pages whole', async () => {
    for (let index = 0; index < 35; index++) server.engine.put('servers', `key-${String(index).padStart(2, '0')}`, 'v')
    const { rows, version } = await store.readAll('servers')
    expect(rows).to.have.length(35)
    expect(version).to.equal(35)
  })

  it('should be told of a change as soon as there is one', async () => {
    server.engine.put('servers', 'a', '1')
    const changes = store.waitForChanges('servers', 1, 2000)
    server.engine.put('declarations', 'x', '1')
    server.engine.remove('servers', 'a')
    expect(await changes).to.deep.equal({ kind: 'changes', rows: [{ key: 'a', version: 3 }], version: 3, era: 1 })
  })

  it('should be told that nothing has changed once the wait is over', async () => {
    expect(await store.waitForChanges('servers', 0, 30)).to.deep.equal({ kind: 'changes', rows: [], version: 0, era: 1 })
  })

  it('should learn that history was dropped', async () => {
    server.engine.put('servers', 'a', '1')
    server.engine.put('servers', 'b', '1')
    server.engine.dropHistory()
    expect(await store.waitForChanges('servers', 1, 0)).to.deep.equal({ kind: 'history-lost', era: 1 })
  })

  it('should learn that the store was restored, and that its versions have gone back', async () => {
    const copy = server.engine.copy()
    server.engine.put('servers', 'a', '1')
    server.engine.restore(copy)
    expect(await store.waitForChanges('servers', 1, 0)).to.deep.equal({ kind: 'history-lost', era: 2 })
    expect(await store.readAll('servers')).to.deep.equal({ rows: [], version: 0, era: 2 })
  })

  it('should make changes on their conditions only', async () => {
    const put = (version: number, value: string) => store.transact({
      conditions: [{ table: 't', key: 'k', version }], puts: [{ table: 't', key: 'k', value }], removes: []
    })
    expect((await put(0, 'one')).kind).to.equal('done')
    expect((await put(0, 'two')).kind).to.equal('conflict')
    expect((await store.readRow({ table: 't', key: 'k' }))?.value).to.equal('one')
    expect(await store.readRow({ table: 't', key: 'other' })).to.equal(undefined)
  })

  for (const outage of ['silent', 'busy', 'reset'] as const) {
    it(`should say so when the store is out of reach (${outage}), and go on when it is back`, async () => {
      await store.readAll('servers')
      server.faults.outage = outage
      expect(await failure(store.readAll('servers'))).to.be.instanceOf(StoreUnavailable)
      server.faults.outage = undefined
      expect((await store.readAll('servers')).rows).to.deep.equal([])
    })
  }

  it('should not call a write done whose answer was lost', async () => {
    server.faults.loseAnswers = 1
    const write = store.transact({ conditions: [], puts: [{ table: 't', key: 'k', value: 'v' }], removes: [] })
    expect(await failure(write)).to.be.instanceOf(StoreUnavailable)
    expect(server.engine.rows('t').rows).to.have.length(1)
  })

  it('should keep to its own budget', async () => {
    const small = new HttpClient({ url: 'http://127.0.0.1:1', timeoutMs: 100, requestsPerSecond: 1 })
    const errors = await Promise.all(Array.from({ length: 10 }, () => failure(small.send('GET', '/'))))
    expect(errors.filter((error) => error.name === 'StoreBudgetSpent' || /more than/.test(error.message))).to.have.length(6)
    small.close()
  })

  // Guards against a read that a stopping process sends while its client closes, and whose answer its exit then awaits.
  it('should send nothing once it is closed', async () => {
    const small = new HttpClient({ url: 'http://127.0.0.1:1', timeoutMs: 100, requestsPerSecond: 10 })
    small.close()
    expect((await failure(small.send('GET', '/'))).message).to.include('closed')
    expect(small.requests).to.equal(0)
  })
})

describe('replica', () => {
  let replica: Replica

  beforeEach(() => {
    replica = new Replica()
    replica.replace([row('a', 3, 'x'), row('b', 5, 'y')], { version: 10 }, 0)
  })

  it('should not take changes that leave others out', () => {
    expect(replica.merge([row('c', 15, 'z')], 12, 15, 1)).to.deep.equal({ kind: 'gap' })
    expect(replica.version).to.equal(10)
  })

  it('should take changes that overlap with what it has, in any order', () => {
    replica.merge([row('a', 12), row('c', 14, 'z')], 10, 14, 1)
    replica.merge([row('a', 11, 'old')], 10, 11, 2)
    expect([...replica.rows.keys()]).to.deep.equal(['b', 'c'])
    expect(replica.version).to.equal(14)
  })

  it('should not let a late whole reading undo anything', () => {
    replica.merge([row('c', 14, 'z')], 10, 14, 1)
    expect(replica.replace([row('a', 3, 'x')], { version: 12 }, 2)).to.deep.equal([])
    expect(replica.rows.has('c')).to.equal(true)
  })

  it('should tell what is gone when it reads the whole table again', () => {
    const changed = replica.replace([row('b', 5, 'y')], { version: 20 }, 1)
    expect(changed).to.deep.equal([{ key: 'a', version: 20 }])
  })

  it('should tell another copy what it lacks, removals too', () => {
    replica.merge([row('a', 12)], 10, 12, 1)
    expect(replica.changesSince({ version: 10 })).to.deep.equal([{ key: 'a', version: 12 }])
    expect(replica.changesSince({ version: 3 })).to.equal(undefined)
  })
})

describe('own rows', () => {
  const reader = new DefaultRowReader()

  it('should name no server for a row that is not one', () => {
    for (const value of [
      '', '{', '[]', '{"service":"s"}', '{"service":1,"host":"h","port":1,"zone":"a","slots":1,"state":"ready","incarnation":"1"}',
      '{"service":"s","host":"h","port":65536,"zone":"a","slots":1,"state":"ready","incarnation":"1"}'
    ]) {
      expect(reader.server(row('k', 1, value))).to.equal(undefined)
    }
  })

  it('should not read a configuration that is not one', () => {
    expect(reader.declaration(row('gateway', 1, '{"revision":1,"document":{},"changes":[]}'))).to.equal(undefined)
    expect(reader.declaration(row('note', 1, 'anything'))).to.deep.equal({ kind: 'other' })
  })
})

describe('registered entries', () => {
  const [first, second] = [{ host: '10.0.1.10', port: 8081 }, { host: '10.0.2.10', port: 8082 }]

  it('should be read as they were written, the leader first', () => {
    const book = { addresses: [first, second], entryCount: 19 }
    expect(decodeAddressBook(encodeAddressBook(book))).to.deep.equal(book)
  })

  it('should name the leader alone in a row of an earlier version', () => {
    expect(decodeAddressBook(JSON.stringify(first))).to.deep.equal({ addresses: [first], entryCount: 1 })
  })

  // Guards against a row of another writer that ends each entry that reads it.
  it('should name nobody in a row with a port that is none', () => {
    for (const port of [0, -1, 65_536, 1e300]) {
      expect(decodeAddressBook(JSON.stringify({ host: '10.0.1.10', port }))).to.equal(undefined)
      expect(decodeAddressBook(JSON.stringify({ ...first, entries: [{ host: 'h', port }] }))).to.equal(undefined)
    }
  })

  it('should name nobody in a row that is not one', () => {
    for (const value of [
      '', '{', '[]', '{"host":1,"port":1}', '{"host":"h","port":1,"entries":["h:1"]}', '{"host":"h","port":1,"count":0}'
    ]) {
      expect(decodeAddressBook(value), value).to.equal(undefined)
    }
  })
})
