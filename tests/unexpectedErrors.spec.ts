/** Unexpected errors in the core of an entry, and what they cost. */
import { expect } from 'chai'
import type { Event } from '@gooseberryspan/core'
import type { EntryProcess } from '@gooseberryspan/entry'
import { REQUEST_ID, send, smallDocument, useDeployment, waitUntil, type Deployment } from './fixtures/deployment.js'

/** Failures within a minute that a supervised process may have. */
const MAX_FAILURES = 5
const DEADLINE = { 'gooseberryspan-deadline-ms': '800' }

/** The method of the core that passes an event to the part that handles it. */
interface EventHandler {
  _handleEvent (event: Event, now: number): void
}

/** Makes the core throw at events of a kind, after it has handled them or instead. */
function failAt ({ node }: EntryProcess, kind: string, when: 'after' | 'instead', times = 1): () => boolean {
  const core = node.core as unknown as EventHandler
  const handle = core._handleEvent.bind(core)
  let left = times
  core._handleEvent = (event, now) => {
    const fails = event.kind === kind && left > 0
    if (!fails || when === 'after') handle(event, now)
    if (!fails) return
    left -= 1
    throw new Error('unforeseen')
  }
  return () => left === 0
}

describe('unexpected error in the core', () => {
  let deployment: Deployment
  useDeployment(async (created) => {
    deployment = created
    await created.start(smallDocument(), [{}, {}], ['a', 'a'])
  })

  // Guards against one error that ends the process, and with it the requests of all its callers.
  for (const kind of ['tick', 'received', 'probed', 'table-read', 'attempt-ended', 'request-arrived']) {
    for (const when of ['after', 'instead'] as const) {
      it(`should cost no more than one event (${when === 'after' ? 'after' : 'instead of'} handling ${kind})`, async () => {
        // The leader reads the store.
        const entry = deployment.entries.find(({ node }) => node.core.roles.leaderRank === 0)
        let ended = false
        entry!.ended.finally(() => { ended = true }).catch(() => {})
        const hasFailed = failAt(entry!, kind, when)
        const path = '/orders'
        const first = await send(entry!.ports.callers, 'POST', path, DEADLINE, 'x').catch((error: Error) => error)
        if (!(first instanceof Error)) expect(first.status).to.not.equal(503)
        deployment.store.engine.put('servers', 'odd', 'odd')
        await waitUntil(hasFailed)
        for (let count = 0; count < 6; count++) expect((await send(entry!.ports.callers, 'POST', path, DEADLINE, 'x')).status).to.equal(200)
        expect(ended).to.equal(false)
      })
    }
  }

  it('should end the entry when it comes again and again', async () => {
    const [entry] = deployment.entries
    failAt(entry!, 'tick', 'instead', MAX_FAILURES + 1)
    const error = await entry!.ended.catch((reason: Error) => reason)
    expect((error as Error).message).to.contain('unforeseen')
  })

  // Guards against a caller that repeats an order which a server has run.
  it('should not make an order count as not run whose server ran it', async () => {
    const [entry] = deployment.entries
    const requests = entry!.node.core.requests as unknown as { _report: () => void }
    requests._report = () => {
      throw new Error('unforeseen')
    }
    for (const { faults } of deployment.backends) {
      faults.answerFault = 'cut-reset'
      faults.cutAtByte = 0
    }
    const headers = { ...DEADLINE, [REQUEST_ID]: 'ran' }
    const answer = await send(entry!.ports.callers, 'POST', '/orders', headers, 'x').catch((error: Error) => error)
    expect(deployment.truth.runCount('ran')).to.equal(1)
    if (!(answer instanceof Error)) expect(answer.status).to.be.oneOf([502, 504])
  })

  // Guards against a caller without an answer, and a request that is kept for ever.
  it('should not leave a request open whose end it interrupted', async () => {
    const [entry] = deployment.entries
    const { node } = entry!
    const requests = node.core.requests as unknown as { _report: (...values: unknown[]) => void }
    const report = requests._report.bind(requests)
    let failed = false
    requests._report = (...values) => {
      if (failed) return report(...values)
      failed = true
      throw new Error('unforeseen')
    }
    for (const { faults } of deployment.backends) faults.answerFault = 'hang'
    const answer = await send(entry!.ports.callers, 'POST', '/orders', DEADLINE, 'x')
    expect([answer.status, failed]).to.deep.equal([504, true])
    await waitUntil(() => node.open === 0)
  })
})
