/** Which backend servers may be sent work. */
import { expect } from 'chai'
import { Catalog } from '@gooseberryspan/core'
import { registeredServer } from './fixtures/records.js'

const LAPSE_MS = 2300

describe('catalog', () => {
  let catalog: Catalog

  beforeEach(() => {
    catalog = new Catalog({ lapseMs: LAPSE_MS, isDeclared: (service) => service !== 'undeclared' })
    catalog.apply([registeredServer('s1'), registeredServer('s2')].map((item) => ({ id: item.id, version: 1, entry: item })), 0)
  })

  const ready = (service = 's'): string[] => catalog.readyOf(service).map(({ id }) => id)

  it('should leave out a server that is leaving or removed', () => {
    const leaving = registeredServer('s1', { state: 'draining', version: 2 })
    catalog.apply([{ id: 's1', version: 2, entry: leaving }, { id: 's2', version: 3 }], 10)
    expect(ready()).to.deep.equal([])
  })

  it('should keep a registration that vanished in an outage until it had time to come back', () => {
    catalog.storeRecovered(1000)
    catalog.apply([{ id: 's1', version: 2 }], 1001)
    expect(ready()).to.deep.equal(['s1', 's2'])
    catalog.expire(1000 + LAPSE_MS - 1)
    expect(ready()).to.deep.equal(['s1', 's2'])
    expect([...catalog.expire(1000 + LAPSE_MS)]).to.deep.equal(['s'])
    expect(ready()).to.deep.equal(['s2'])
  })

  it('should take a registration back that returned in time', () => {
    catalog.storeRecovered(1000)
    catalog.apply([{ id: 's1', version: 2 }], 1001)
    catalog.apply([{ id: 's1', version: 3, entry: registeredServer('s1', { version: 3 }) }], 2000)
    catalog.expire(10_000)
    expect(ready()).to.deep.equal(['s2', 's1'].sort())
  })

  it('should not keep a leaving server, nor a row that names none, after an outage', () => {
    catalog.apply([{ id: 's1', version: 2, entry: registeredServer('s1', { state: 'draining' }) }], 0)
    catalog.storeRecovered(1000)
    catalog.apply([{ id: 's1', version: 3 }, { id: 's2', version: 3, unreadable: true }], 1001)
    expect(catalog.size).to.equal(0)
  })

  // Guards against a row of another writer that takes a live server out of use.
  it('should not let a registration for a service that is not declared take an address', () => {
    catalog.apply([{ id: 's9', version: 5, entry: registeredServer('s9', { port: 1, service: 'undeclared', version: 5 }) }], 0)
    expect(ready()).to.deep.equal(['s1', 's2'])
  })

  it('should give an address back when its newest registration is removed', () => {
    catalog.apply([{ id: 's9', version: 5, entry: registeredServer('s9', { port: 1, service: 'other', version: 5 }) }], 0)
    const affected = catalog.apply([{ id: 's9', version: 6 }], 1)
    expect([...affected]).to.have.members(['s', 'other'])
    expect(ready()).to.deep.equal(['s1', 's2'])
  })

  it('should give an address to its newest registration', () => {
    catalog.apply([{ id: 's9', version: 5, entry: registeredServer('s9', { port: 1, service: 'other', version: 5 }) }], 0)
    expect(ready()).to.deep.equal(['s2'])
    expect(ready('other')).to.deep.equal(['s9'])
  })
})
