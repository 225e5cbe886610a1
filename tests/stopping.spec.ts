import { expect } from 'chai'
import { Deployment, REQUEST_ID, send, smallDocument, useDeployment, waitUntil } from './fixtures/deployment.js'

const LONG = smallDocument({
  kinds: [
    { name: 'check', methods: ['GET'], idempotent: true, targetMs: 200, deadlineMs: 4000 },
    { name: 'place', methods: ['POST'], idempotent: false, targetMs: 200, deadlineMs: 4000 }
  ]
})
const STOP = { lingerSeconds: 1, graceSeconds: 2 }
const DEADLINE = 'gooseberryspan-deadline-ms'
const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

describe('stopping', () => {
  let deployment: Deployment
  useDeployment((created) => {
    deployment = created
    deployment.stopSettings = STOP
  })

  for (const [method, kind] of [['POST', 'an order'], ['GET', 'a lookup']] as const) {
    // Guards against a request that is taken late in the grace time and cut at its end.
    it(`should refuse ${kind} that may not end within the grace time of a stop`, async () => {
      await deployment.start(LONG, [{ meanMs: 3000 }], ['a', 'a'])
      const stopped = deployment.entries[0]!.stop()
      await pause(200)
      const answer = await send(deployment.portOf(0), method, '/orders', { [REQUEST_ID]: 'late' })
      expect(answer.status).to.equal(503)
      expect(answer.headers).to.include({ connection: 'close', 'gooseberryspan-outcome': 'not-run' })
      expect(Number(answer.headers['retry-after'])).to.be.within(0, 0.2)
      expect(await stopped).to.equal(true)
      expect(deployment.truth.runCount('late')).to.equal(0)
    })
  }

  // Guards against a connection that closes without an answer at the end of the grace time.
  it('should tell the caller of an order that outlasts the grace time of a stop that its outcome is unknown', async () => {
    await deployment.start(LONG, [{ meanMs: 6000 }], ['a', 'a'])
    const inFlight = send(deployment.portOf(0), 'POST', '/orders', { [REQUEST_ID]: 'long' })
    await waitUntil(() => deployment.backends[0]!.arrivals.length === 1)
    const stoppedAt = performance.now()
    const stopped = deployment.entries[0]!.stop()
    const answer = await inFlight
    expect(answer.status).to.equal(502)
    expect(answer.headers).to.include({ connection: 'close', 'gooseberryspan-outcome': 'unknown' })
    expect(await stopped).to.equal(false)
    expect(performance.now() - stoppedAt).to.be.below(STOP.graceSeconds * 1000)
    expect(deployment.broken.splice(0)).to.deep.equal(['stop-cuts-nothing: 1 requests at the stop limit'])
  })

  it('should answer an order whose deadline ends within the grace time of a stop', async () => {
    await deployment.start(LONG, [{ meanMs: 100 }], ['a', 'a'])
    const stopped = deployment.entries[0]!.stop()
    const answer = await send(deployment.portOf(0), 'POST', '/orders', { [DEADLINE]: '1000' })
    expect(answer.status).to.equal(200)
    expect(await stopped).to.equal(true)
  })

  // Guards against an exit that waits for the store's answer to a read that it holds back until something changes.
  it('should end soon after its last request when it is stopped', async () => {
    deployment.stopSettings = { lingerSeconds: 0, graceSeconds: 5 }
    await deployment.start(LONG, [{}], ['a'])
    await pause(300)
    const stoppedAt = performance.now()
    expect(await deployment.entries[0]!.stop()).to.equal(true)
    expect(performance.now() - stoppedAt).to.be.below(250)
  })
})
