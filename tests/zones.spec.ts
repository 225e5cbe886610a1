/** When requests leave their zone, who schedules a zone's servers, and which servers are asked over a connection that is open. */
import { expect } from 'chai'
import {
  CrossingCost, OpenConnections, Roles, Scheduler, type Grant, type Member, type Roster
} from '@gooseberryspan/core'
import { member, placementRequest, registeredServer } from './fixtures/records.js'

const TARGET_MS = 500
const WORK_MS = 100

/** A scheduler for servers in two zones, all idle and known. */
function newScheduler (zones: readonly string[]) {
  const grants: Grant[] = []
  const scheduler = new Scheduler({
    service: 's',
    zone: 'a',
    retry: { ratio: 0.2, slack: 10, windowMs: 10_000 },
    cold: () => ({ perSecond: 5, overage: 1.5, slack: 3 }),
    share: () => 1,
    loadReadingPolicy: () => ({ readings: 0, maxRounds: 0, freshMs: 1e6 }),
    listener: { granted: (grant) => grants.push(grant), refused: () => {}, probe: () => {} }
  })
  const servers = zones.map((zone, index) => registeredServer(`s${index + 1}`, { zone }))
  scheduler.setServers(servers, 0)
  for (const { id } of servers) scheduler.probed(id, answerAt(1), 0)
  return { scheduler, grants }
}

const answerAt = (pace: number) => ({ healthy: true, coldMs: 0, load: { running: 0, waiting: 0, slots: 2, pace } })

describe('leaving the zone', () => {
  it('should cost a part of the target at least, bytes by their number, and never more than a quarter of the target', () => {
    const crossing = new CrossingCost('a')
    expect(crossing.transferMs(placementRequest('1'))).to.equal(TARGET_MS * 0.04)
    expect(crossing.transferMs(placementRequest('1', { bodyBytes: 60_000 }))).to.equal(60)
    expect(crossing.transferMs(placementRequest('1', { bodyBytes: 900_000 }))).to.equal(TARGET_MS / 4)
    for (let index = 0; index < 50; index++) crossing.answered('r', 40_000)
    expect(crossing.transferMs(placementRequest('1'))).to.be.closeTo(40, 0.1)
  })

  it('should take the round trip between zones from what probes took', () => {
    const crossing = new CrossingCost('a')
    const initialMs = crossing.roundTripMs
    for (let index = 0; index < 60; index++) {
      crossing.probed('a', 1.4)
      crossing.probed('b', 10.2)
      if (index === 5) expect(crossing.roundTripMs).to.equal(initialMs)
    }
    expect(crossing.roundTripMs).to.be.closeTo(8.8, 0.01)
  })

  // The load: a zone's servers have room, and those of the other zone are just as good.
  it('should not happen while the zone has room, and share out what is too much for it', () => {
    const { scheduler, grants } = newScheduler(['a', 'a', 'b', 'b'])
    const zoneOf = ({ server }: Grant): string => server.zone
    scheduler.place(placementRequest('1'), 1)
    scheduler.place(placementRequest('2'), 1)
    expect(grants.map(zoneOf)).to.deep.equal(['a', 'a'])
    for (let index = 3; index <= 8; index++) scheduler.place(placementRequest(String(index)), 1)
    expect(grants.map(zoneOf).filter((zone) => zone === 'b').length).to.be.within(2, 4)
  })

  it('should happen when the zone\'s servers are several times slower', () => {
    const { scheduler, grants } = newScheduler(['a', 'b'])
    scheduler.probed('s1', answerAt(4), 0)
    scheduler.place(placementRequest('1'), 1)
    expect(grants.map(({ server }) => server.zone)).to.deep.equal(['b'])
  })
})

describe('schedulers of a zone\'s cell', () => {
  const rolesOf = (members: Member[]): Roles => new Roles({ alive: members, self: members[0]! } as unknown as Roster)
  const members = ['a', 'b', 'c'].flatMap((zone) => [1, 2, 3].map((index) => member({ instance: `${zone}${index}`, zone })))

  it('should be entries of that zone as long as it has some', () => {
    const roles = rolesOf(members)
    for (const zone of ['a', 'b', 'c']) {
      expect(roles.schedulersOf(`s/${zone}/0`).map((each) => each.zone)).to.deep.equal([zone, zone, zone])
    }
    const without = rolesOf(members.filter(({ zone }) => zone !== 'b'))
    expect(without.schedulersOf('s/b/0')).to.have.length(3)
  })

  it('should be drawn from all zones for a cell over several', () => {
    const zones = new Set<string>()
    for (let index = 0; index < 30; index++) zones.add(rolesOf(members).schedulersOf(`service-${index}`)[0]!.zone)
    expect(zones.size).to.equal(3)
  })
})

describe('open connections', () => {
  const server = registeredServer('s1')

  it('should be known from answers, as many as are kept, until they are used, lost or old', () => {
    const connections = new OpenConnections()
    expect(connections.of('s', 0)).to.deep.equal([])
    for (let count = 0; count < 3; count++) connections.ended(server, 'answered', 0)
    connections.ended(registeredServer('s2'), 'shed', 1)
    connections.ended(registeredServer('s3', { service: 'other' }), 'answered', 2)
    expect(connections.of('s', 10)).to.deep.equal(['s2', 's1'])
    connections.dispatched(server)
    connections.dispatched(server)
    expect(connections.of('s', 10)).to.deep.equal(['s2'])
    connections.ended(registeredServer('s2'), 'lost', 20)
    expect(connections.of('s', 30)).to.deep.equal([])
    connections.ended(server, 'failed', 30)
    expect(connections.of('s', 20_000)).to.deep.equal([])
  })

  it('should be preferred among servers that are about as good, and not to one that is slower', () => {
    const { scheduler, grants } = newScheduler(['a', 'a', 'a', 'a'])
    scheduler.place(placementRequest('1', { connected: ['s4'] }), 1)
    expect(grants.at(-1)!.server.id).to.equal('s4')
    scheduler.report('1', 's4', 'r', { outcome: 'answered', tookMs: WORK_MS }, 2)
    scheduler.probed('s3', answerAt(4), 2)
    scheduler.place(placementRequest('2', { connected: ['s3'] }), 3)
    expect(grants.at(-1)!.server.id).to.not.equal('s3')
  })
})
