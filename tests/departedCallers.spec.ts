/** Callers that leave before the answer, or stop sending, and what they leave behind. */
import { expect } from 'chai'
import { openRaw, REQUEST_ID, smallDocument, useDeployment, waitUntil, type Deployment } from './fixtures/deployment.js'

describe('departed caller', () => {
  let deployment: Deployment
  useDeployment((provided) => {
    deployment = provided
  })

  // Guards against a process that keeps each body whose caller has left, until it exceeds the memory of its instance.
  it('should keep nothing of requests whose callers left while they waited for a server', async () => {
    await deployment.start(smallDocument(), [{ slots: 1, queue: 0, meanMs: 400 }], ['a'])
    const { node } = deployment.entries[0]!
    const text = 'POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\norder'
    const callers = Array.from({ length: 4 }, () => openRaw(deployment.portOf(0), text))
    await waitUntil(() => node.open > 1)
    for (const { socket } of callers) socket.destroy()
    await waitUntil(() => node.core.requests.open === 0)
    expect(node.open).to.equal(0)
  })

  // Guards against a healthy server that gets no more requests since callers left before its answers.
  it('should not blame a server for orders whose callers left', async () => {
    await deployment.start(smallDocument(), [{ meanMs: 150 }], ['a'])
    const { node } = deployment.entries[0]!
    for (const name of ['l1', 'l2', 'l3']) {
      const head = `POST /orders HTTP/1.1\r\nHost: a\r\n${REQUEST_ID}: ${name}\r\nContent-Length: 5\r\n\r\n`
      const { socket } = openRaw(deployment.portOf(0), `${head}order`)
      await waitUntil(() => deployment.truth.runCount(name) === 1)
      socket.destroy()
      await waitUntil(() => node.open === 0)
    }
    const [, scheduler] = node.core.host.schedulers[0]!
    expect(scheduler.records.get('orders-0')!.blame(node.now)).to.equal(0)
  })

  // Guards against a few stalled uploads that keep the memory for all others.
  it('should not wait for a body beyond the time of its route', async () => {
    const kinds = [{ name: 'place', methods: ['POST'], idempotent: false, targetMs: 200, deadlineMs: 300 }]
    await deployment.start(smallDocument({ kinds }), [{}], ['a'])
    const head = 'POST /orders HTTP/1.1\r\nHost: a\r\ngooseberryspan-deadline-ms: 900000\r\nContent-Length: 500\r\n\r\n'
    const { ended } = openRaw(deployment.portOf(0), head)
    expect(await ended).to.match(/^HTTP\/1.1 408 /)
  })
})
