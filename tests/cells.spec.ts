/** Services that are larger than one scheduler: how servers are divided, who is asked, and what is passed on. */
import { expect } from 'chai'
import { Cells, Overflow, SeededRandom, type Catalog, type Declarations, type RegisteredServer } from '@gooseberryspan/core'
import { Cluster, ZONES } from './fixtures/cluster.js'

const PATH = '/allocations'

function serversIn (zones: Record<string, number>): RegisteredServer[] {
  const servers: RegisteredServer[] = []
  for (const [zone, count] of Object.entries(zones)) {
    for (let index = 0; index < count; index++) {
      servers.push({
        id: `${zone}-${index}`,
        incarnation: '1',
        service: 's',
        host: 'h',
        port: servers.length,
        zone,
        slots: 2,
        state: 'ready',
        coldMs: 0,
        version: 1
      })
    }
  }
  return servers
}

describe('cells', function () {
  let servers: RegisteredServer[]
  let zonesOut: string[]
  const divided = (): Cells => new Cells({
    catalog: { readyOf: () => servers } as unknown as Catalog,
    declarations: { zoneIsIn: (zone: string) => !zonesOut.includes(zone) } as unknown as Declarations
  })
  const homes = (cells: Cells): Map<string, string> => new Map(servers.map((server) => [server.id, cells.cellOf(server)]))

  beforeEach(() => {
    zonesOut = []
  })

  it('should leave a small service whole', () => {
    servers = serversIn({ a: 11, b: 10, c: 11 })
    expect(divided().of('s').map(({ name }) => name)).to.deep.equal(['s'])
  })

  it('should give each zone cells of its own, every server in one of them', () => {
    servers = serversIn({ a: 47, b: 43, c: 50, d: 42, e: 47 })
    const cells = divided().of('s')
    expect(cells).to.have.length(10)
    expect(cells.flatMap((cell) => cell.servers.map(({ id }) => id)).sort()).to.deep.equal(servers.map(({ id }) => id).sort())
    for (const cell of cells) {
      expect(cell.servers.length).to.be.within(12, 36)
      for (const { zone } of cell.servers) expect(zone).to.equal(cell.zone)
    }
  })

  it('should let cells span zones that have few servers each', () => {
    servers = serversIn({ a: 8, b: 8, c: 7, d: 7, e: 6 })
    const cells = divided().of('s')
    expect(cells.map(({ zone }) => zone)).to.deep.equal([undefined, undefined])
  })

  it('should move no server to another cell for one that comes or leaves', () => {
    servers = serversIn({ a: 47, b: 43 })
    const before = homes(divided())
    servers = servers.slice(1)
    for (const [id, cell] of homes(divided())) expect(cell).to.equal(before.get(id))
  })

  it('should move no server while a zone is out, and use none of it', () => {
    servers = serversIn({ a: 47, b: 43 })
    const before = homes(divided())
    zonesOut = ['a']
    const cells = divided()
    expect(homes(cells)).to.deep.equal(before)
    for (const { name, zone } of cells.of('s')) expect(cells.usable('s', name).length > 0).to.equal(zone === 'b')
  })
})

describe('overflow between cells', function () {
  const overflow = (): Overflow => new Overflow({ random: new SeededRandom(1) })
  const diverted = (from: Overflow, pressure: number): number => {
    let count = 0
    for (let request = 0; request < 1000; request++) if (from.divert(pressure, 100) !== undefined) count += 1
    return count
  }

  it('should keep requests while there is room', () => {
    const cell = overflow()
    cell.updateLoad({ cell: 'free', pressure: 0.1, servers: 20 }, 0)
    expect(diverted(cell, 0.7)).to.equal(0)
  })

  it('should pass on about as much as brings both to the same pressure', () => {
    const cell = overflow()
    cell.updateLoad({ cell: 'free', pressure: 0.5, servers: 20 }, 0)
    expect(diverted(cell, 1.5)).to.be.within(280, 390)
  })

  it('should pass nothing on to a cell that is as pressed, or that was not heard of lately', () => {
    const cell = overflow()
    cell.updateLoad({ cell: 'full', pressure: 1.2, servers: 20 }, 0)
    cell.updateLoad({ cell: 'silent', pressure: 0.1, servers: 20 }, -2000)
    expect(diverted(cell, 1.5)).to.equal(0)
    expect(cell.fallbackCell(100)).to.equal(undefined)
  })

  it('should not send all to the one cell that has the least to do', () => {
    const cell = overflow()
    for (const [name, pressure] of [['a', 0.2], ['b', 0.3], ['c', 0.4], ['d', 0.5]] as const) {
      cell.updateLoad({ cell: name, pressure, servers: 20 }, 0)
    }
    const counts = new Map<string, number>()
    for (let request = 0; request < 1000; request++) {
      const to = cell.fallbackCell(100)!
      counts.set(to, (counts.get(to) ?? 0) + 1)
    }
    expect(Math.max(...counts.values())).to.be.below(600)
  })
})

describe('a service in cells', function () {
  let cluster: Cluster

  beforeEach(() => {
    cluster = new Cluster({ seed: 5, entriesPerZone: 3, serversPerZone: 20 })
    cluster.time.runUntil(3000)
  })

  const run = (ms: number): void => cluster.time.runUntil(cluster.time.now + ms)
  /** A while of few requests at every entry. */
  const warmUp = (): void => {
    for (let index = 0; index < 90; index++) {
      cluster.call(cluster.nodes[index % cluster.nodes.length]!, PATH, 'GET')
      run(10)
    }
  }
  const service = 'standing-allocations'
  const cellsOf = (): Cells => cluster.nodes[0]!.core.cells

  it('should be divided the same at every entry', () => {
    for (const { core } of cluster.nodes) {
      expect(core.cells.of(service).map(({ name }) => name)).to.deep.equal(ZONES.map((zone) => `${service}/${zone}/0`))
    }
  })

  it('should answer from the entry\'s own zone while there is room', () => {
    warmUp()
    run(1000)
    expect(cluster.checker.calls.every(({ outcomes }) => outcomes[0] === 'answered')).to.equal(true)
    for (const { core, zone } of cluster.nodes) {
      for (const [cell] of core.host.schedulers) expect(cellsOf().get(service, cell)?.zone ?? zone).to.be.oneOf(ZONES)
    }
  })

  it('should pass requests on when a zone\'s own servers are too few', () => {
    warmUp()
    const near = cluster.nodes.filter(({ zone }) => zone === ZONES[0])
    for (let index = 0; index < 600; index++) {
      cluster.call(near[index % near.length]!, PATH, 'GET')
      run(1)
    }
    run(2000)
    const answered = cluster.checker.calls.filter(({ outcomes }) => outcomes[0] === 'answered').length
    expect(answered).to.be.above(90 + 560)
    expect(cluster.violations).to.deep.equal([])
  })

  it('should serve a zone whose own servers are all out, dark or gone', () => {
    cluster.setZone(ZONES[0]!, 'out')
    run(1000)
    for (const { entry, simulated } of cluster.backends.values()) if (entry.zone === ZONES[1]) simulated.isUnreachable = true
    const told = cluster.nodes.map((node) => cluster.call(node, PATH, 'GET'))
    run(2000)
    for (const { outcomes } of told) expect(outcomes).to.deep.equal(['answered'])
    expect(cluster.violations).to.deep.equal([])
  })

  it('should go on when a cell\'s scheduler dies', () => {
    const [cell] = cellsOf().of(service)
    const [scheduler] = cluster.nodes[0]!.core.roles.schedulersOf(cell!.name)
    cluster.crash(cluster.nodes.find(({ instance }) => instance === scheduler!.instance)!)
    const told = cluster.aliveNodes().map((node) => cluster.call(node, PATH, 'GET'))
    run(1000)
    for (const { outcomes, at, endedAt } of told) {
      expect(outcomes).to.deep.equal(['answered'])
      expect(endedAt - at).to.be.below(300)
    }
  })

  it('should be divided anew while servers are cold without giving them more than they bear', () => {
    for (const zone of ZONES) {
      for (let index = 20; index < 40; index++) {
        const id = `${service}-${zone}-${index}`
        cluster.addBackend(id, service, zone)
        cluster.backends.get(id)!.simulated.makeCold(3000)
        cluster.backends.get(id)!.entry = { ...cluster.backends.get(id)!.entry, coldMs: 3000 }
        cluster.register(id)
      }
      for (let index = 0; index < 300; index++) {
        cluster.call(cluster.nodes[index % cluster.nodes.length]!, PATH, 'GET')
        run(2)
      }
    }
    run(2000)
    expect(cellsOf().of(service).length).to.be.above(3)
    expect(cluster.violations).to.deep.equal([])
    cluster.checker.checkOutcomes()
  })
})
