/** Two zones cannot reach each other, while a third reaches both: both sides count the requests of one customer, each up to its quota. */
import { setTimeout as pause } from 'node:timers/promises'
import { runQuotaCase } from '../lib-2/quota.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const QUOTA = { name: 'cuka620', rate: 40, burst: 40 }
/** As on the users' sheet, a customer usually sends its quota divided by 1.6, and a hot one 7.5 times that. */
const USUAL_PER_SECOND = QUOTA.rate / 1.6
const HOT_PER_SECOND = USUAL_PER_SECOND * 7.5
const HOT_MS = 6500
const CUT_MS = 5500

await runQuotaCase([QUOTA], new URL('record.txt', import.meta.url).pathname, async (deployment) => {
  await pause(5000)
  await deployment.send(QUOTA.name, USUAL_PER_SECOND, 8000)
  deployment.note(`${QUOTA.name} sends ${HOT_PER_SECOND} requests a second`)
  const hot = deployment.send(QUOTA.name, HOT_PER_SECOND, HOT_MS)
  await pause(500)
  if (HAS_TROUBLE) {
    deployment.relays.cut('cas-ain', 'cas-sidi')
    deployment.note('cas-ain and cas-sidi cannot reach each other')
  }
  await pause(CUT_MS)
  deployment.relays.heal()
  if (HAS_TROUBLE) deployment.note('cas-ain and cas-sidi reach each other')
  await hot
  deployment.note(`${QUOTA.name} sends ${USUAL_PER_SECOND} requests a second`)
  await deployment.send(QUOTA.name, USUAL_PER_SECOND, 4000)
})
