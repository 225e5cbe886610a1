/** Queueing, forwarding and the truth about each request, on one core with a hand-made world. */
import { expect } from 'chai'
import {
  changeTransaction, configurationRows, EntryCore, LEASE_TIMES, newRequest, readConfiguration, RequestQueue, SeededRandom, ThrowingWatcher,
  type Document, type Effect, type Event, type Request, type RequestSpec
} from '@gooseberryspan/core'
import { TableEngine } from '@gooseberryspan/standins'
import { smallDocument } from './fixtures/deployment.js'

function spec (id: number, changes: Partial<RequestSpec> = {}): RequestSpec {
  return {
    id,
    service: 'orders',
    kind: 'check',
    idempotent: true,
    replayable: true,
    weight: 1,
    deadlineAt: 1_000_000,
    depth: 0,
    retrySpent: false,
    caller: 'c',
    hops: 0,
    claims: 'refuse',
    ...changes
  }
}

/** One core that alone holds the servers of zone a. */
class OneCore {
  now = 0
  readonly core: EntryCore
  private readonly _table = new TableEngine()

  constructor (document: Document, servers: number) {
    const identity = { instance: 'one', zone: 'a', region: 'r', host: 'h', port: 1, peerPort: 2 }
    this.core = new EntryCore({ identity, times: LEASE_TIMES, random: new SeededRandom(1), watcher: new ThrowingWatcher() })
    this.change(document)
    const listed = Array.from({ length: servers }, (_, index) => ({
      id: `s${index}`, service: 'orders', zone: 'a', host: 'h', port: 1, state: 'live' as const
    }))
    this.give({ kind: 'listed', change: { whole: true, servers: listed, removed: [] } })
    this.pass(2000)
  }

  change (document: Document): void {
    const rows = configurationRows(this._table.run(readConfiguration()))
    this._table.run(changeTransaction(rows, document, `c${rows.revision.version}`))
  }

  /** Gives an event; transactions are answered at once. */
  give (event: Event): Effect[] {
    const rest: Effect[] = []
    for (const effect of this.core.handle(event, this.now)) {
      if (effect.kind !== 'transact') {
        if (effect.kind !== 'log') rest.push(effect)
        continue
      }
      const results = effect.transactions.map((transaction) => this._table.run(transaction))
      rest.push(...this.give({ kind: 'transacted', id: effect.id, results }))
    }
    return rest
  }

  pass (ms: number): Effect[] {
    const effects: Effect[] = []
    for (const end = this.now + ms; this.now < end;) {
      this.now += 10
      effects.push(...this.give({ kind: 'tick' }))
    }
    return effects
  }

  arrive (id: number, changes: Partial<RequestSpec> = {}): Effect[] {
    return this.give({ kind: 'request-arrived', request: spec(id, { deadlineAt: this.now + 2000, ...changes }) })
  }

  end (attempt: number, outcome: 'answered' | 'shed' | 'refused' | 'lost'): Effect[] {
    return this.give({ kind: 'attempt-ended', attempt, end: { outcome, latencyMs: 5, status: 200 } })
  }
}

function dispatchOf (effects: Effect[]) {
  return effects.find((effect) => effect.kind === 'dispatch')
}

function refusalOf (effects: Effect[]) {
  const effect = effects.find((item) => item.kind === 'refuse')
  return effect && { outcome: effect.outcome, reason: effect.reason }
}

describe('router', () => {
  let one: OneCore

  beforeEach(() => {
    one = new OneCore(smallDocument({ retryRatio: 1 }), 2)
  })

  it('should dispatch each request to a server with room', () => {
    expect(dispatchOf(one.arrive(1))!.server.id).to.not.equal(dispatchOf(one.arrive(2))!.server.id)
  })

  it('should let a request wait while no server has room, and dispatch it when one has', () => {
    const first = dispatchOf(one.arrive(1))!
    one.arrive(2)
    expect(dispatchOf(one.arrive(3))).to.equal(undefined)
    expect(dispatchOf(one.end(first.attempt, 'answered'))!.request).to.equal(3)
  })

  it('should refuse at once what cannot make its deadline', () => {
    one.arrive(1)
    one.arrive(2)
    expect(refusalOf(one.arrive(3, { deadlineAt: one.now + 1 }))).to.deep.equal({ outcome: 'not-run', reason: 'full' })
  })

  it('should retry an idempotent request whose connection was lost, at another server', () => {
    const first = dispatchOf(one.arrive(1))!
    const second = dispatchOf(one.end(first.attempt, 'lost'))!
    expect(second.server.id).to.not.equal(first.server.id)
  })

  it('should say unknown when a request that must not run twice loses its connection', () => {
    const first = dispatchOf(one.arrive(1, { idempotent: false, kind: 'place' }))!
    const effects = one.end(first.attempt, 'lost')
    expect(dispatchOf(effects)).to.equal(undefined)
    expect(refusalOf(effects)).to.deep.equal({ outcome: 'unknown', reason: 'lost' })
  })

  it('should try a request that must not run twice again after a truthful refusal', () => {
    const first = dispatchOf(one.arrive(1, { idempotent: false, kind: 'place' }))!
    expect(dispatchOf(one.end(first.attempt, 'refused'))).to.not.equal(undefined)
  })

  it('should not retry what a level above has retried', () => {
    const first = dispatchOf(one.arrive(1, { retrySpent: true }))!
    expect(refusalOf(one.end(first.attempt, 'lost'))).to.deep.equal({ outcome: 'unknown', reason: 'lost' })
  })

  it('should not retry a body that it no longer has', () => {
    const first = dispatchOf(one.arrive(1, { replayable: false }))!
    expect(refusalOf(one.end(first.attempt, 'refused'))).to.deep.equal({ outcome: 'not-run', reason: 'refused' })
  })

  it('should say unknown and cancel when the deadline passes', () => {
    one.arrive(1, { deadlineAt: one.now + 100 })
    const effects = one.pass(150)
    expect(effects.some((effect) => effect.kind === 'cancel')).to.equal(true)
    expect(refusalOf(effects)).to.deep.equal({ outcome: 'unknown', reason: 'expired' })
  })

  it('should hedge a late idempotent request and cancel the loser', () => {
    const first = dispatchOf(one.arrive(1, { hedgeAfterMs: 50 }))!
    const second = dispatchOf(one.pass(70))!
    expect(second.server.id).to.not.equal(first.server.id)
    const effects = one.end(second.attempt, 'answered')
    expect(effects).to.deep.include({ kind: 'cancel', attempt: first.attempt })
    expect(effects).to.deep.include({ kind: 'answer', request: 1, attempt: second.attempt })
  })

  it('should drop a late answer of a cancelled attempt', () => {
    const first = dispatchOf(one.arrive(1, { hedgeAfterMs: 50 }))!
    const second = dispatchOf(one.pass(70))!
    one.end(second.attempt, 'answered')
    expect(one.end(first.attempt, 'answered')).to.deep.equal([])
  })

  it('should let a request that must not run twice end although its caller has gone', () => {
    one.arrive(1, { idempotent: false, kind: 'place' })
    expect(one.give({ kind: 'request-cancelled', request: 1 })).to.deep.equal([])
  })

  it('should dispatch nothing after its process has slept past its lease', () => {
    one.now += LEASE_TIMES.termMs + 1
    expect(dispatchOf(one.arrive(1))).to.equal(undefined)
  })

  it('should refuse a chain of calls that is too deep', () => {
    expect(refusalOf(one.arrive(1, { depth: 33 }))).to.deep.equal({ outcome: 'not-run', reason: 'too-deep' })
  })

  it('should dispatch nothing to a zone that is out', () => {
    const document = smallDocument()
    document.zones[0]!.state = 'out'
    one.change(document)
    one.pass(3000)
    expect(dispatchOf(one.arrive(1))).to.equal(undefined)
  })

  it('should begin with cold servers when a zone is back in', () => {
    const document = smallDocument()
    document.zones[0]!.state = 'out'
    one.change(document)
    one.pass(3000)
    one.change(smallDocument())
    one.pass(3000)
    const limits = [...one.core.holdings.servers.values()].map((server) => server.limit)
    expect(limits).to.deep.equal([1, 1])
  })

  it('should free the key of a request that did not run', () => {
    one.arrive(1, { idempotent: false, kind: 'place', idempotencyKey: 'k' })
    one.arrive(8)
    one.arrive(9)
    const effects = one.give({ kind: 'claim-answered', request: 1, result: 'claimed' })
    expect(dispatchOf(effects)).to.equal(undefined)
    const outcome = one.pass(2100).find((effect) => effect.kind === 'settle-claim')!.outcome
    expect(outcome).to.equal('not-run')
  })

  it('should refuse while keys cannot be claimed, unless it was declared otherwise', () => {
    const changes = { idempotent: false, kind: 'place', idempotencyKey: 'k' }
    one.arrive(1, changes)
    expect(refusalOf(one.give({ kind: 'claim-answered', request: 1, result: 'unavailable' })))
      .to.deep.equal({ outcome: 'unknown', reason: 'claims-unavailable' })
    one.arrive(2, { ...changes, claims: 'local' })
    expect(dispatchOf(one.give({ kind: 'claim-answered', request: 2, result: 'unavailable' }))).to.not.equal(undefined)
  })
})

describe('request queue', () => {
  let queue: RequestQueue
  const request = (id: number, changes: Partial<RequestSpec> = {}): Request => newRequest(spec(id, changes))
  const order = (): number[] => [...queue].map(({ id }) => id)

  beforeEach(() => {
    queue = new RequestQueue()
  })

  it('should take turns between callers', () => {
    for (let id = 1; id <= 3; id++) queue.push(request(id, { caller: 'noisy' }))
    queue.push(request(4, { caller: 'quiet' }))
    expect(order().indexOf(4)).to.equal(1)
  })

  it('should serve heavier kinds sooner', () => {
    for (let id = 1; id <= 3; id++) queue.push(request(id))
    for (let id = 4; id <= 6; id++) queue.push(request(id, { weight: 4, caller: 'd' }))
    expect(order().slice(0, 3)).to.deep.equal([4, 5, 6])
  })

  it('should serve deeper calls before new ones', () => {
    queue.push(request(1))
    queue.push(request(2, { depth: 9, caller: 'd' }))
    expect(order()).to.deep.equal([2, 1])
  })

  it('should not let deep calls starve the others', () => {
    queue.push(request(1))
    for (let id = 2; id <= 20; id++) queue.push(request(id, { depth: 29, caller: 'd' }))
    expect(order().indexOf(1)).to.be.below(8)
  })

  it('should leave each caller its part', () => {
    for (let id = 1; id <= 5; id++) queue.push(request(id, { caller: 'noisy' }))
    queue.push(request(6, { caller: 'quiet' }))
    expect(queue.allows('noisy', 10)).to.equal(false)
    expect(queue.allows('quiet', 10)).to.equal(true)
  })
})
