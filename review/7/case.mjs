/** The machine that counts a customer's requests is killed twice; the one that stands in for it begins the second time with a full burst. */
import { setTimeout as pause } from 'node:timers/promises'
import { runQuotaCase } from '../lib-2/quota.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const QUOTA = { name: 'cuka620', rate: 20, burst: 200 }
/** The first candidate for this customer's count among the entries of this deployment. */
const KEEPER = 'front-ain-1'
/** As on the users' sheet, a customer usually sends its quota divided by 1.6, and a hot one 7.5 times that. */
const USUAL_PER_SECOND = QUOTA.rate / 1.6
const HOT_PER_SECOND = USUAL_PER_SECOND * 7.5
const DOWN_MS = 3500
/** Time in which a burst that has been used is full again while the customer sends as usual. */
const REFILL_MS = QUOTA.burst / (QUOTA.rate - USUAL_PER_SECOND) * 1000

await runQuotaCase([QUOTA], new URL('record.txt', import.meta.url).pathname, async (deployment) => {
  const keeper = deployment.entry(KEEPER)

  async function kill () {
    if (!HAS_TROUBLE) return pause(DOWN_MS)
    keeper.isDown = true
    await keeper.signal('SIGKILL')
    deployment.forget(keeper)
    deployment.note(`${KEEPER} has been killed`)
    await pause(DOWN_MS)
    keeper.start()
    await keeper.ready()
    keeper.isDown = false
    deployment.note(`${KEEPER} is ready again`)
  }

  await pause(5000)
  const usual = deployment.send(QUOTA.name, USUAL_PER_SECOND, 3000 + 2 * DOWN_MS + REFILL_MS)
  await pause(3000)
  await kill()
  await usual
  deployment.note(`${QUOTA.name} sends ${HOT_PER_SECOND} requests a second`)
  const hot = deployment.send(QUOTA.name, HOT_PER_SECOND, 6500)
  await pause(2700)
  await kill()
  await hot
})
