/** What one backend server is given, whatever it says or does. */
import { expect } from 'chai'
import { BackendServer, Invariants, SeededRandom, ServiceHolder, ThrowingWatcher, type Service } from '@gooseberryspan/core'
import { smallDocument } from './fixtures/deployment.js'

const PLACE = { id: 's', service: 'orders', zone: 'a', host: 'h', port: 1 }
const SILENCE_BASE_MS = 10

describe('backend server', () => {
  let service: Service
  let server: BackendServer
  let attempts: number

  const invariants = new Invariants(new ThrowingWatcher())
  const room = (now: number): number => server.room(now, SILENCE_BASE_MS)

  function answer (now: number, status = 200, extra = {}): void {
    attempts += 1
    server.begin(attempts, now)
    server.end(attempts, { outcome: 'answered', latencyMs: 5, status, ...extra }, now)
  }

  function warmUp (now: number): void {
    while (server.state !== 'warm') answer(now)
  }

  beforeEach(() => {
    service = smallDocument({ slots: 3 }).services[0]!
    server = new BackendServer(PLACE, service, 0, invariants)
    attempts = 0
  })

  it('should begin cold with its cold limit', () => {
    expect(server.state).to.equal('cold')
    expect(room(0)).to.equal(1)
  })

  it('should earn one more for each few good answers', () => {
    for (let count = 0; count < service.warmCompletions; count++) answer(1)
    expect(room(1)).to.equal(2)
    expect(server.state).to.equal('warming')
    warmUp(1)
    expect(room(1)).to.equal(3)
  })

  it('should count as cold again after a time without answers', () => {
    warmUp(1)
    expect(room(service.warmForMs + 2)).to.equal(1)
    expect(server.state).to.equal('cold')
  })

  it('should turn cold at once when it has started anew', () => {
    answer(1, 200, { report: { epoch: '1' } })
    warmUp(1)
    answer(2, 200, { report: { epoch: '2', capacity: 1 } })
    expect(room(2)).to.equal(1)
  })

  it('should turn cold and pause after it sheds', () => {
    warmUp(1)
    server.begin(99, 2)
    server.end(99, { outcome: 'shed', latencyMs: 1 }, 2)
    expect(room(3)).to.equal(0)
    expect(room(100)).to.equal(1)
  })

  it('should not be raised by its own word', () => {
    server.hear({ capacity: 3 }, 1)
    expect(room(1)).to.equal(1)
  })

  it('should be lowered by its own word', () => {
    warmUp(1)
    server.hear({ capacity: 2 }, 1)
    expect(room(1)).to.equal(2)
  })

  it('should get nothing while it drains, and begin cold when it is back', () => {
    warmUp(1)
    server.hear({ draining: true }, 1)
    expect(room(1)).to.equal(0)
    server.hear({ draining: false }, 2)
    expect(room(2)).to.equal(1)
  })

  it('should be given one request at a time after it failed fast', () => {
    warmUp(1)
    for (let count = 0; count < 3; count++) answer(2, 500)
    expect(server.state).to.equal('suspect')
    expect(room(2)).to.equal(0)
    expect(room(1000)).to.equal(1)
  })

  it('should not be blamed for a failure below it', () => {
    warmUp(1)
    for (let count = 0; count < 9; count++) answer(2, 502, { fromBelow: true })
    expect(server.state).to.equal('warm')
  })

  it('should be given up on after refusals, until a probe finds it well', () => {
    for (let attempt = 0; attempt < 6; attempt++) {
      server.begin(100 + attempt, 1)
      server.end(100 + attempt, { outcome: 'refused', latencyMs: 1 }, 1)
    }
    expect(server.state).to.equal('gone')
    expect(room(60_000)).to.equal(0)
    server.probed(true, undefined, 60_000)
    expect(room(60_000)).to.equal(1)
  })

  it('should get no more while it is silent', () => {
    warmUp(1)
    server.begin(99, 2)
    expect(room(3)).to.equal(2)
    expect(room(2 + 20 * SILENCE_BASE_MS + 1)).to.equal(0)
  })

  it('should keep the slot of a request that was given up until the server has noticed', () => {
    warmUp(1)
    server.begin(99, 2)
    server.end(99, { outcome: 'cancelled', latencyMs: 1 }, 3)
    expect(server.occupied(4)).to.equal(1)
    expect(server.occupied(20)).to.equal(0)
  })

  it('should count the former holder\'s requests until they end', () => {
    warmUp(1)
    server.begin(99, 2)
    const next = new BackendServer(PLACE, service, 0, invariants)
    next.takeOver(server.handOver(() => 500, 2), 2)
    expect(next.room(3, SILENCE_BASE_MS)).to.equal(2)
    next.formerEnded(0, 10)
    expect(next.room(30, SILENCE_BASE_MS)).to.equal(3)
  })

  it('should count a crashed holder\'s unknown requests until their deadlines', () => {
    server.assume(3, 2000)
    expect(room(1999)).to.equal(0)
    expect(room(2001)).to.equal(1)
  })
})

describe('service holder', () => {
  const service = smallDocument({ slots: 2 }).services[0]!

  function holderOf (latencies: number[]): ServiceHolder {
    const holder = new ServiceHolder(service, new SeededRandom(1))
    for (const [index, latencyMs] of latencies.entries()) {
      const id = `s${index}`
      const server = new BackendServer({ ...PLACE, id }, service, 0, new Invariants(new ThrowingWatcher()))
      holder.servers.set(id, server)
      for (let attempt = 0; attempt < 20; attempt++) {
        server.begin(attempt, attempt)
        holder.ended(server, attempt, { outcome: 'answered', latencyMs }, attempt)
      }
    }
    return holder
  }

  it('should lower a server that is far slower than its peers', () => {
    const holder = holderOf([5, 5, 50])
    expect(holder.servers.get('s2')!.state).to.equal('suspect')
  })

  it('should never lower more than half of its servers', () => {
    const holder = holderOf([5, 60, 60, 60])
    const suspects = [...holder.servers.values()].filter((server) => server.state === 'suspect')
    expect(suspects.length).to.be.at.most(2)
  })
})
