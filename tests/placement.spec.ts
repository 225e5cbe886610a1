/** Placement of one service's requests, without a network. */
import { expect } from 'chai'
import {
  RequestAgeEstimate, RetryBudget, Scheduler, SlidingCount, WorkEstimate, type Grant, type LoadReport, type PlacementRequest, type Refusal,
  type SchedulerListener, type RegisteredServer
} from '@gooseberryspan/core'

const FRESH_MS = 20
const WORK_MS = 60

function server (id: string, changes: Partial<RegisteredServer> = {}): RegisteredServer {
  return { id, incarnation: '1', service: 's', host: 'h', port: 1, zone: 'a', slots: 2, state: 'ready', coldMs: 0, version: 1, ...changes }
}

class Recorder implements SchedulerListener {
  readonly grants: Grant[] = []
  readonly refusals: Refusal[] = []
  probes: string[] = []

  granted (grant: Grant): void {
    this.grants.push(grant)
  }

  refused (refusal: Refusal): void {
    this.refusals.push(refusal)
  }

  probe ({ id }: RegisteredServer): void {
    this.probes.push(id)
  }

  serverOf (request: string): string | undefined {
    return this.grants.find((grant) => grant.request.id === request)?.server.id
  }
}

describe('scheduler', () => {
  let listener: Recorder
  let scheduler: Scheduler
  let share: number
  let requests: number

  beforeEach(() => {
    share = 1
    requests = 0
    listener = new Recorder()
    scheduler = build()
  })

  function build (): Scheduler {
    return new Scheduler({
      service: 's',
      retry: { ratio: 0.2, slack: 4, windowMs: 10_000 },
      cold: () => ({ perSecond: 4, overage: 1.5, slack: 2 }),
      share: () => share,
      listener
    })
  }

  function request (changes: Partial<PlacementRequest> = {}): PlacementRequest {
    requests += 1
    return {
      id: `r${requests}`,
      label: 'label',
      service: 's',
      cell: 's',
      route: 'check',
      purpose: 'first',
      priority: 1,
      targetAt: 200,
      deadlineAt: 800,
      waitMs: 800,
      targetMs: 200,
      avoid: [],
      zone: 'a',
      bodyBytes: 0,
      ...changes
    }
  }

  function answer (id: string, now: number, load: Partial<LoadReport> = {}, coldMs = 0): void {
    scheduler.probed(id, { healthy: true, coldMs, load: { running: 0, waiting: 0, slots: 2, pace: 1, ...load } }, now)
  }

  /** Fills in what is known of the work, so that estimates are those of the tests. */
  function learn (): void {
    for (let count = 0; count < 40; count++) scheduler.work.recordDuration('check', WORK_MS, { pace: 1, full: false, fullAtEnd: false })
  }

  it('should read the loads of several servers right before it places', () => {
    scheduler.setServers([server('a'), server('b')], 0)
    scheduler.place(request(), 0)
    expect(listener.probes).to.have.members(['a', 'b'])
    expect(listener.grants).to.have.length(0)
    answer('a', 1, { pace: 4 })
    answer('b', 1)
    expect(listener.serverOf('r1')).to.equal('b')
  })

  it('should share readings between requests that come together', () => {
    scheduler.setServers([server('a'), server('b'), server('c')], 0)
    for (const id of ['a', 'b', 'c']) answer(id, 0)
    listener.probes = []
    for (let count = 0; count < 3; count++) scheduler.place(request(), FRESH_MS / 2)
    expect(listener.probes).to.deep.equal([])
    expect(listener.grants.map((grant) => grant.server.id)).to.have.members(['a', 'b', 'c'])
  })

  it('should not wait for a server that does not answer', () => {
    scheduler.setServers([server('a'), server('b')], 0)
    scheduler.place(request(), 0)
    answer('b', 1, { pace: 4 })
    scheduler.tick(7)
    expect(listener.grants).to.have.length(1)
  })

  describe('with a large body', () => {
    /** Places an upload of zone a, whose server runs at the given pace; that of zone b runs at its usual one. */
    function placeUpload (bodyBytes: number, paceAtHome: number): string | undefined {
      learn()
      scheduler.setServers([server('home', { zone: 'a' }), server('abroad', { zone: 'b' })], 0)
      answer('home', 0, { pace: paceAtHome })
      answer('abroad', 0)
      scheduler.place(request({ bodyBytes, targetAt: 400, targetMs: 400, deadlineAt: 1000 }), 1)
      return listener.serverOf('r1')
    }

    it('should keep it in its zone while a server there answers nearly as soon', () => {
      expect(placeUpload(60_000, 1.5)).to.equal('home')
    })

    it('should send it to another zone when its own would answer much later', () => {
      expect(placeUpload(60_000, 4)).to.equal('abroad')
    })

    it('should not weigh zones for a request without a body', () => {
      expect(placeUpload(0, 1.5)).to.equal('abroad')
    })
  })

  it('should count what it sent since a reading', () => {
    scheduler.setServers([server('a')], 0)
    answer('a', 0)
    scheduler.place(request(), 1)
    scheduler.place(request(), 1)
    scheduler.place(request(), 1)
    expect(listener.grants).to.have.length(2)
    scheduler.report('r1', 'a', 'check', { outcome: 'answered', tookMs: 50, load: { running: 1, waiting: 0, slots: 2, pace: 1 } }, 51)
    expect(listener.grants).to.have.length(3)
  })

  it('should look again at a server that others have filled', () => {
    scheduler.setServers([server('a')], 0)
    answer('a', 0, { running: 2 })
    scheduler.place(request(), 1)
    listener.probes = []
    for (let now = 5; now <= 200; now += 5) scheduler.tick(now)
    expect(listener.probes).to.deep.equal(['a'])
    answer('a', 201)
    scheduler.tick(207)
    expect(listener.serverOf('r1')).to.equal('a')
  })

  it('should let a request wait for a server that is about to be free rather than send it to a slow one', () => {
    learn()
    scheduler.setServers([server('fast', { slots: 1 }), server('slow', { slots: 1 })], 0)
    answer('fast', 0, { slots: 1 })
    answer('slow', 0, { slots: 1, pace: 4 })
    scheduler.place(request(), 1)
    expect(listener.serverOf('r1')).to.equal('fast')
    answer('slow', 45, { slots: 1, pace: 4 })
    scheduler.place(request({ targetAt: 245 }), 46)
    expect(listener.serverOf('r2')).to.equal(undefined)
    scheduler.report('r1', 'fast', 'check', { outcome: 'answered', tookMs: 60, load: { running: 0, waiting: 0, slots: 1, pace: 1 } }, 61)
    expect(listener.serverOf('r2')).to.equal('fast')
  })

  it('should leave the last slot empty where it slows the others more than it adds', () => {
    const work = new WorkEstimate()
    for (let count = 0; count < 60; count++) {
      work.recordDuration('check', 60, { pace: 1, full: false, fullAtEnd: false })
      work.recordDuration('check', 102, { pace: 1, full: true, fullAtEnd: true })
    }
    expect(work.usefulSlots(3)).to.equal(2)
    expect(work.usefulSlots(2)).to.equal(2)
  })

  it('should serve what is urgent first when servers are short, and then what came last', () => {
    learn()
    scheduler.setServers([server('a', { slots: 1 })], 0)
    answer('a', 0, { slots: 1 })
    scheduler.place(request({ id: 'running' }), 1)
    scheduler.place(request({ id: 'later', targetAt: 260 }), 2)
    scheduler.place(request({ id: 'sooner', targetAt: 240 }), 3)
    scheduler.place(request({ id: 'urgent', targetAt: 400, priority: 0 }), 4)
    for (let now = 60, last = 'running'; listener.grants.length < 4 && now < 400; now += 60) {
      scheduler.report(last, 'a', 'check', { outcome: 'answered', tookMs: 60, load: { running: 0, waiting: 0, slots: 1, pace: 1 } }, now)
      last = listener.grants.at(-1)!.request.id
    }
    expect(listener.grants.map((grant) => grant.request.id)).to.deep.equal(['running', 'urgent', 'later', 'sooner'])
  })

  it('should serve callers that ask for the first time before those that are back, when servers are short', () => {
    learn()
    scheduler.setServers([server('b', { slots: 1 })], 0)
    for (let index = 0; index < 40; index++) {
      scheduler.place(request({ id: 'usual', waitMs: 700 + 100 * index / 40 }), 0)
      scheduler.withdraw('usual')
      scheduler.report('usual', 'b', 'check', { outcome: 'unused', tookMs: 0 }, 0)
    }
    answer('b', 0, { slots: 1 })
    listener.grants.length = 0
    scheduler.place(request({ id: 'running' }), 1)
    scheduler.place(request({ id: 'new', waitMs: 760 }), 2)
    scheduler.place(request({ id: 'back', waitMs: 660 }), 3)
    scheduler.report('running', 'b', 'check', { outcome: 'answered', tookMs: 60, load: { running: 0, waiting: 0, slots: 1, pace: 1 } }, 20)
    expect(listener.grants.map((grant) => grant.request.id)).to.deep.equal(['running', 'new'])
  })

  it('should count the target of a caller that is back from when it first asked', () => {
    const ages = new RequestAgeEstimate()
    for (let index = 0; index <= 100; index++) ages.recordWait('check', 1700 + 3 * index)
    expect(ages.minAgeMs('check', 1850)).to.equal(0)
    expect(ages.minAgeMs('check', 1400)).to.be.within(300, 320)
    expect(ages.maxAgeMs('check', 1400)).to.equal(600)
    expect(ages.minAgeMs('unknown', 10)).to.equal(0)
  })

  it('should not use servers less because all of them fail alike', () => {
    learn()
    scheduler.setServers([server('a'), server('b'), server('c')], 0)
    for (const id of ['a', 'b', 'c']) answer(id, 0)
    for (let index = 0; index < 12; index++) {
      for (const id of ['a', 'b', 'c']) scheduler.report('x', id, 'check', { outcome: 'shed', tookMs: 1 }, 0)
    }
    for (const id of ['a', 'b', 'c']) answer(id, 1)
    for (let index = 0; index < 6; index++) scheduler.place(request(), 2)
    expect(listener.grants).to.have.length(6)
  })

  it('should refuse at once, and say when to come back, what will find no room in time', () => {
    learn()
    scheduler.setServers([server('a', { slots: 1 })], 0)
    answer('a', 0, { slots: 1 })
    for (let count = 0; count < 40; count++) scheduler.place(request(), 1)
    expect(listener.refusals.length).to.be.greaterThan(20)
    expect(listener.refusals[0]).to.include({ reason: 'overload' })
    expect(listener.refusals[0]!.retryAfterMs).to.be.greaterThan(0)
  })

  it('should refuse what cannot be answered before its deadline', () => {
    learn()
    scheduler.setServers([server('a')], 0)
    scheduler.place(request({ deadlineAt: 30, targetAt: 30 }), 0)
    expect(listener.refusals[0]).to.include({ reason: 'deadline' })
  })

  it('should refuse at once when no server is left', () => {
    scheduler.setServers([], 0)
    scheduler.place(request(), 0)
    expect(listener.refusals[0]).to.include({ reason: 'no-server' })
  })

  it('should not send to a silent server until it has answered', () => {
    scheduler.setServers([server('a'), server('b')], 0)
    scheduler.probed('a', undefined, 0)
    answer('b', 0)
    scheduler.place(request(), 1)
    expect(listener.serverOf('r1')).to.equal('b')
    listener.probes = []
    scheduler.tick(500)
    expect(listener.probes).to.include('a')
    answer('a', 501)
    scheduler.place(request({ avoid: ['b'], targetAt: 700, deadlineAt: 1300 }), 502)
    expect(listener.serverOf('r2')).to.equal('a')
  })

  it('should send a cold server no more than its share of what it bears', () => {
    share = 0.5
    scheduler.setServers([server('a', { slots: 8, coldMs: 3000 })], 0)
    for (let now = 0; now < 1000; now += 10) {
      answer('a', now, {}, 3000 - now)
      scheduler.place(request({ targetAt: now + 200, deadlineAt: now + 800 }), now)
    }
    expect(listener.grants.length).to.be.greaterThan(0).and.to.be.at.most(4)
  })

  it('should treat a server that turned cold without a word to the store as cold', () => {
    scheduler.setServers([server('a')], 0)
    answer('a', 0, {}, 3000)
    expect(scheduler.records.get('a')!.isCold(100)).to.equal(true)
    answer('a', 200, {}, 0)
    expect(scheduler.records.get('a')!.isCold(201)).to.equal(false)
  })

  it('should keep further attempts inside their budget', () => {
    scheduler.setServers(Array.from({ length: 40 }, (_, index) => server(`s${index}`)), 0)
    for (let index = 0; index < 40; index++) answer(`s${index}`, 0)
    for (let count = 0; count < 10; count++) scheduler.place(request(), 1)
    for (let count = 0; count < 10; count++) scheduler.place(request({ purpose: 'retry' }), 2)
    const retries = listener.grants.filter((grant) => grant.request.purpose === 'retry')
    expect(retries.length).to.equal(Math.floor(10 * 0.2 * 0.85 + 4))
    expect(listener.refusals.map(({ reason }) => reason)).to.include('budget')
  })

  it('should hedge only to a server that is free and runs at its usual pace', () => {
    scheduler.setServers([server('a'), server('b')], 0)
    answer('a', 0)
    answer('b', 0, { pace: 4 })
    scheduler.place(request({ purpose: 'hedge', avoid: ['a'] }), 1)
    expect(listener.grants).to.have.length(0)
    expect(listener.refusals).to.have.length(1)
    answer('b', 2)
    scheduler.place(request({ purpose: 'hedge', avoid: ['a'] }), 3)
    expect(listener.serverOf('r2')).to.equal('b')
  })

  it('should avoid a server that fails while its health is good, and try it again later', () => {
    learn()
    scheduler.setServers([server('bad'), server('good')], 0)
    for (let count = 0; count < 6; count++) scheduler.report(`x${count}`, 'bad', 'check', { outcome: 'failed', tookMs: 1 }, count)
    answer('bad', 10)
    answer('good', 10)
    scheduler.place(request(), 11)
    expect(listener.serverOf('r1')).to.equal('good')
    expect(scheduler.records.get('bad')!.blame(30_000)).to.be.below(0.01)
  })

  it('should take a new incarnation under an old id for a new server', () => {
    scheduler.setServers([server('a')], 0)
    answer('a', 0, { running: 2 })
    scheduler.setServers([server('a', { incarnation: '2', coldMs: 3000, version: 2 })], 1)
    expect(scheduler.records.get('a')!.occupancy(2)).to.equal(0)
    expect(scheduler.records.get('a')!.isCold(2)).to.equal(true)
  })
})

describe('budgets', () => {
  it('should never count less than a window holds', () => {
    const count = new SlidingCount(1000)
    const times = [0, 90, 250, 333, 700, 990, 1000, 1240, 1500, 2100]
    for (const [index, at] of times.entries()) {
      count.add(at)
      const inWindow = times.slice(0, index + 1).filter((time) => time > at - 1000).length
      expect(count.total(at)).to.be.at.least(inWindow)
    }
    expect(count.total(5000)).to.equal(0)
  })

  it('should give each scheduler the ratio of its own requests and a share of the slack', () => {
    const budget = new RetryBudget({ ratio: 0.2, slack: 10, windowMs: 10_000 })
    for (let count = 0; count < 100; count++) budget.request(0)
    let granted = 0
    while (budget.allows(0.3, 0)) {
      budget.spend(0)
      granted += 1
    }
    expect(granted).to.equal(20)
  })
})
