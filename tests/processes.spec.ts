/** Supervised processes and the ledger that runs in them. */
import { expect } from 'chai'
import { Channel, put, spawn, Supervisor, take, type Child, type RestartPolicy, type SupervisorWatcher } from '@gooseberryspan/csp'
import { ClaimLedger } from '@gooseberryspan/entry'
import type { ClaimResult, Transaction, TransactionResult } from '@gooseberryspan/core'
import { PlatformUnavailable, type TableService } from '@gooseberryspan/platform'
import { TableEngine } from '@gooseberryspan/standins'

const POLICY: RestartPolicy = { mostFailures: 2, windowMs: 60_000, firstPauseMs: 1, longestPauseMs: 2 }
const SILENT: SupervisorWatcher = { failed: () => {}, gaveUp: () => {} }

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

describe('claim ledger', () => {
  let engine: TableEngine
  let lose: number
  let answers: Map<number, ClaimResult>
  let ledger: ClaimLedger
  let supervisor: Supervisor

  beforeEach(() => {
    engine = new TableEngine()
    lose = 0
    answers = new Map()
    const tables: TableService = {
      async transact (transactions: Transaction[]): Promise<TransactionResult[]> {
        const results = transactions.map((transaction) => engine.run(transaction))
        if (lose-- > 0) throw new PlatformUnavailable('lost')
        return results
      }
    }
    let id = 0
    ledger = new ClaimLedger({
      tables, instance: 'i', newId: () => `claim-${id++}`, wallClock: () => 0, answered: (request, result) => answers.set(request, result)
    })
    const children = [ledger.claimWorker('claims'), ledger.outcomeWorker('outcomes')]
    supervisor = new Supervisor({ name: 's', children, policy: POLICY, watcher: SILENT })
    void supervisor.start()
  })

  afterEach(() => supervisor.stop())

  async function answerTo (request: number): Promise<ClaimResult> {
    while (!answers.has(request)) await new Promise((resolve) => setTimeout(resolve, 1))
    return answers.get(request)!
  }

  it('should grant a key once', async () => {
    ledger.claim(1, 'orders', 'k')
    ledger.claim(2, 'orders', 'k')
    expect([await answerTo(1), await answerTo(2)]).to.deep.equal(['claimed', 'duplicate'])
  })

  it('should grant a key anew after its request did not run', async () => {
    ledger.claim(1, 'orders', 'k')
    await answerTo(1)
    ledger.settle(1, 'orders', 'k', 'not-run')
    while (!JSON.stringify(engine.rows('claims')).includes('not-run')) await new Promise((resolve) => setTimeout(resolve, 1))
    ledger.claim(2, 'orders', 'k')
    expect(await answerTo(2)).to.equal('claimed')
  })

  it('should recognise its own claim whose answer was lost', async () => {
    lose = 1
    ledger.claim(1, 'orders', 'k')
    expect(await answerTo(1)).to.equal('claimed')
  })

  it('should grant nothing while the table service does not answer', async () => {
    lose = 2
    ledger.claim(1, 'orders', 'k')
    expect(await answerTo(1)).to.equal('unavailable')
  })
})
