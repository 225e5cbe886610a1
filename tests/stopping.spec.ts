import { expect } from 'chai'
import { Deployment, smallDocument, useDeployment } from './fixtures/deployment.js'

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

describe('stopping', () => {
  let deployment: Deployment
  useDeployment((created) => {
    deployment = created
  })

  // Guards against an exit that waits for the store's answer to a read that it holds back until something changes.
  it('should end soon after its last request when it is stopped', async () => {
    deployment.stopSettings = { lingerSeconds: 0, graceSeconds: 5 }
    await deployment.start(smallDocument(), [{}], ['a'])
    await pause(300)
    const stoppedAt = performance.now()
    expect(await deployment.entries[0]!.stop()).to.equal(true)
    expect(performance.now() - stoppedAt).to.be.below(250)
  })
})
