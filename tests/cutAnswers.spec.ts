/** Answers that a backend server cuts off anywhere, in the head or in the body. */
import { expect } from 'chai'
import type { AnswerFault } from '@gooseberryspan/standins'
import { type Deployment, type HttpResponse, REQUEST_ID, send, smallDocument, useDeployment } from './fixtures/deployment.js'

/** Longer than any of the answers. */
const MAX_ANSWER_BYTES = 400

describe('cut answer', () => {
  let deployment: Deployment

  useDeployment((each) => {
    deployment = each
  })

  /** Sends an order, again after each refusal that says it has not run, as a caller may do. Such a refusal must be true. */
  async function sendUntilRun (name: string): Promise<HttpResponse> {
    for (;;) {
      const answer = await send(deployment.portOf(0), 'POST', '/orders', { [REQUEST_ID]: name }, 'order')
      if (answer.status !== 503) {
        expect(deployment.truth.runCount(name)).to.equal(1)
        return answer
      }
      expect(JSON.parse(answer.text)).to.include({ outcome: 'not-run' })
      expect(deployment.truth.runCount(name)).to.equal(0)
      await new Promise((resolve) => setTimeout(resolve, Number(answer.headers['retry-after']) * 1000))
    }
  }

  for (const fault of ['cut', 'cut-chunked', 'cut-reset'] as AnswerFault[]) {
    // Guards against a success with an empty or short body, framed as a whole answer.
    it(`should never reach the caller as a success, wherever it ends (${fault})`, async () => {
      const place = { name: 'place', methods: ['POST'], idempotent: false, targetMs: 200, deadlineMs: 20_000 }
      await deployment.start(smallDocument({ kinds: [place] }), [{}], ['a'])
      const { faults } = deployment.backends[0]!
      faults.answerFault = fault
      let wholeAt: number | undefined
      for (let bytes = 0; bytes < MAX_ANSWER_BYTES && wholeAt === undefined; bytes++) {
        faults.cutAtByte = bytes
        const name = `m${String(bytes).padStart(3, '0')}`
        const answer = await sendUntilRun(name)
        if (answer.status === 200) {
          expect(JSON.parse(answer.text)).to.include({ request: name, bytes: 5 })
          wholeAt = bytes
        } else {
          expect(answer.status).to.equal(502)
          expect(JSON.parse(answer.text)).to.include({ outcome: 'unknown' })
        }
      }
      expect(wholeAt).to.be.above(200)
    })
  }
})
