/** Supervised processes and the channels between them. */
import { expect } from 'chai'
import {
  Channel, put, spawn, Supervisor, take, takeWithTimeout, type Child, type RestartPolicy, type SupervisorListener
} from '@gooseberryspan/csp'

const POLICY: RestartPolicy = { maxFailures: 2, windowMs: 60_000, initialPauseMs: 1, maxPauseMs: 2 }
const SILENT: SupervisorListener = { failed: () => {}, gaveUp: () => {} }

describe('channel', () => {
  it('should pass values on in order', async () => {
    const channel = new Channel<number>()
    const sum = spawn((function * () {
      let total = ''
      for (let value = yield * take(channel); value !== null; value = yield * take(channel)) total += value
      return total
    })())
    await spawn((function * () {
      for (const value of [1, 2, 3]) yield * put(channel, value)
      channel.close()
    })())
    expect(await sum).to.equal('123')
  })

  it('should stop waiting for a value after a time', async () => {
    const channel = new Channel<number>()
    expect(await spawn(takeWithTimeout(channel, 5, new Channel<never>()))).to.equal(null)
  })

  it('should refuse a value for which there is no room', () => {
    const channel = new Channel<number>(1)
    expect([channel.offer(1), channel.offer(2)]).to.deep.equal([true, false])
  })
})

describe('supervisor', () => {
  it('should start a failed process again', async () => {
    const starts: number[] = []
    const child: Child = {
      name: 'c',
      * run (scope) {
        starts.push(starts.length)
        if (starts.length === 1) throw new Error('first')
        yield * take(scope.stopping)
      }
    }
    const supervisor = new Supervisor({ name: 's', children: [child], policy: POLICY, watcher: SILENT })
    void supervisor.start()
    while (starts.length < 2) await new Promise((resolve) => setTimeout(resolve, 1))
    await supervisor.stop()
    expect(starts).to.have.length(2)
  })

  it('should give up after too many failures and say so', async () => {
    const told: string[] = []
    const child: Child = {
      name: 'c',
      * run () {
        throw new Error('always')
      }
    }
    const watcher = { failed: (name: string) => told.push(name), gaveUp: () => told.push('gave up') }
    const supervisor = new Supervisor({ name: 's', children: [child], policy: POLICY, watcher })
    const error = await supervisor.start().catch((reason: Error) => reason)
    expect(error).to.be.instanceOf(Error)
    expect(told).to.deep.equal(['c', 'c', 'gave up'])
  })
})
