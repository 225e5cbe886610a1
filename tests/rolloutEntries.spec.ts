/** A roll-out with real entries, backend servers and the operator's commands, on loopback. */
import { expect } from 'chai'
import { EXIT, run } from '@gooseberryspan/operator'
import { HOST, OPERATOR_TOKEN, send, smallDocument, useDeployment, waitUntil, type Deployment } from './fixtures/deployment.js'

const ENTRIES = 3

describe('roll-out with real entries', () => {
  let deployment: Deployment
  useDeployment((fresh) => {
    deployment = fresh
    deployment.entrySettings = { rollouts: { exposureShare: 0.1, exposureSlack: 50 } }
  })

  beforeEach(() => { process.env.GOOSEBERRYSPAN_TOKEN = OPERATOR_TOKEN })
  afterEach(() => { delete process.env.GOOSEBERRYSPAN_TOKEN })

  const order = (version: string, seconds: number): Promise<number> => {
    const entry = `http://${HOST}:${deployment.entries[0]!.ports.operators}`
    return run(['--entry', entry, 'rollout', 'order', 'orders', version, '--seconds', String(seconds), '--wait'])
  }

  /** Starts servers of a version as if they had started well after the others. */
  async function addVersion (softwareVersion: string): Promise<void> {
    for (const id of ['x', 'y']) {
      const backend = await deployment.startBackend(smallDocument(), { id: `${softwareVersion}-${id}`, softwareVersion })
      const later = { ...backend.registration(), bornAt: Date.now() + 60_000 }
      deployment.store.engine.put('servers', backend.id, JSON.stringify(later))
    }
  }

  /** Sends requests through all entries until the returned function is called. Each of them has to be answered. */
  function press (): () => Promise<Set<string>> {
    const servers = new Set<string>()
    const over = new AbortController()
    const callers = Array.from({ length: ENTRIES * 2 }, async (_, index) => {
      while (!over.signal.aborted) {
        const answer = await send(deployment.portOf(index % ENTRIES), index < ENTRIES ? 'GET' : 'POST', '/orders')
        if (answer.status === 200) servers.add((JSON.parse(answer.text) as { server: string }).server)
        await new Promise((resolve) => setTimeout(resolve, 10))
      }
    })
    return async () => {
      over.abort()
      await Promise.all(callers)
      return servers
    }
  }

  const arrivals = (version: string): number =>
    deployment.backends.filter(({ id }) => id.startsWith(version)).reduce((sum, backend) => sum + backend.arrivals.length, 0)

  for (const isBad of [false, true]) {
    it(`should ${isBad ? 'take back a version that fails half of its requests' : 'move all requests to a good version'}`, async () => {
      const document = smallDocument({ coldMs: 0 })
      const old = [{ id: 'v1-x', softwareVersion: 'v1' }, { id: 'v1-y', softwareVersion: 'v1' }]
      await deployment.start(document, old, Array.from({ length: ENTRIES }, () => 'a'))
      const finish = press()
      await addVersion('v2')
      await waitUntil(() => arrivals('v1') > 100)
      expect(arrivals('v2')).to.equal(0)
      if (isBad) for (const backend of deployment.backends) if (backend.id.startsWith('v2')) backend.faults.fail = true
      expect(await order('v2', 8)).to.equal(isBad ? EXIT.refused : EXIT.done)
      if (isBad) expect(arrivals('v2')).to.be.above(0).and.at.most((arrivals('v1') + arrivals('v2')) * 0.1 + 50)
      const loser = isBad ? 'v2' : 'v1'
      const before = arrivals(loser)
      await waitUntil(() => arrivals(isBad ? 'v1' : 'v2') > 200)
      await finish()
      expect(arrivals(loser)).to.equal(before)
    })
  }
})
