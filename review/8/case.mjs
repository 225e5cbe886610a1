/** A zone is cut off from the others: the larger side counts the whole rate of a customer, the smaller one its part of it besides. */
import { setTimeout as pause } from 'node:timers/promises'
import { runQuotaCase } from '../lib-2/quota.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const QUOTA = { name: 'cuka620', rate: 100, burst: 20 }
const USUAL_PER_SECOND = QUOTA.rate / 1.6
const HOT_PER_SECOND = USUAL_PER_SECOND * 4.4
const HOT_MS = 6500
const CUT_MS = 5000

await runQuotaCase([QUOTA], new URL('record.txt', import.meta.url).pathname, async (deployment) => {
  await pause(5000)
  await deployment.send(QUOTA.name, USUAL_PER_SECOND, 4000)
  deployment.note(`${QUOTA.name} sends ${HOT_PER_SECOND} requests a second`)
  const hot = deployment.send(QUOTA.name, HOT_PER_SECOND, HOT_MS)
  await pause(500)
  if (HAS_TROUBLE) {
    for (const zone of ['cas-sidi', 'cas-bouskoura']) deployment.relays.cut('cas-ain', zone)
    deployment.note('cas-ain is cut off from the other zones')
  }
  await pause(CUT_MS)
  deployment.relays.heal()
  if (HAS_TROUBLE) deployment.note('cas-ain reaches the other zones')
  await hot
})
