import { expect } from 'chai'
import { Deployment, openRaw, REQUEST_ID, send, smallDocument, useDeployment, waitUntil } from './fixtures/deployment.js'

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

  // Guards against an upload whose connection closes without an answer because its caller is slow.
  it('should refuse an upload that has not been read at the end of the grace time of a stop', async () => {
    await deployment.start(smallDocument(), [{}], ['a', 'a'])
    const upload = `POST /orders HTTP/1.1\r\nhost: x\r\n${REQUEST_ID}: upload\r\ncontent-length: 100\r\n\r\nhalf`
    const { ended } = openRaw(deployment.portOf(0), upload)
    await pause(100)
    const stopped = deployment.entries[0]!.stop()
    const answer = await ended
    expect(answer).to.match(/^HTTP\/1\.1 503 /)
    expect(answer).to.include('gooseberryspan-outcome: not-run').and.include('connection: close')
    expect(await stopped).to.equal(true)
  })

  it('should take an upload that began before a stop and is read in time', async () => {
    await deployment.start(smallDocument(), [{}], ['a', 'a'])
    const upload = `POST /orders HTTP/1.1\r\nhost: x\r\n${DEADLINE}: 1200\r\ncontent-length: 8\r\n\r\nhalf`
    const { socket, ended } = openRaw(deployment.portOf(0), upload)
    await pause(100)
    const stopped = deployment.entries[0]!.stop()
    await pause(200)
    socket.write('rest')
    expect(await ended).to.match(/^HTTP\/1\.1 200 /)
    expect(await stopped).to.equal(true)
  })

  it('should count what it refuses while it stops', async () => {
    await deployment.start(LONG, [{}], ['a', 'a'])
    const entry = deployment.entries[0]!
    const stopped = entry.stop()
    await send(deployment.portOf(0), 'POST', '/orders')
    const { text } = await send(entry.ports.metrics!, 'GET', '/metrics')
    expect(text).to.include('gooseberryspan_decisions_total{decision="refused",reason="not-run: stopping"} 1')
    expect(await stopped).to.equal(true)
  })

  // Guards against an exit that waits for a client which has connected and sends nothing.
  it('should end soon after its last request though a client sends nothing', async () => {
    deployment.stopSettings = { lingerSeconds: 0, graceSeconds: 5 }
    await deployment.start(LONG, [{}], ['a'])
    const entry = deployment.entries[0]!
    const silent = openRaw(entry.ports.metrics!)
    await pause(100)
    const stoppedAt = performance.now()
    expect(await entry.stop()).to.equal(true)
    expect(performance.now() - stoppedAt).to.be.below(500)
    await silent.ended
  })
})
