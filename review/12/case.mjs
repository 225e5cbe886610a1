/** An entry that has stood still grants servers that have left meanwhile, and the other entries send requests to them. */
import { setTimeout as pause } from 'node:timers/promises'
import { configurationOf } from '../lib-3/configuration.mjs'
import { BOUNDS, hasTrouble, runCase } from '../lib-3/deployment.mjs'

const SERVICES = Array.from({ length: 24 }, (_, index) => `service-${index + 1}`)
/** One of them is frozen, which is a share of 0.11. */
const ENTRY_COUNT = 9
const SENDS_PER_SECOND = 480
/** Under this load, about 3.8 of the 4 slots of a service are busy. */
const WORK_MS = 190
const SLOTS = 2
const FROZEN_MS = 3500
const LEAVING_AFTER_MS = 1000
const OBSERVED_MS = 4000

await runCase(import.meta.dirname, async (deployment) => {
  const { store } = deployment
  const answers = []
  await deployment.start({
    configuration: configurationOf(1, { routes: SERVICES.map((service) => ({ prefix: `/${service}/`, service })), services: SERVICES }),
    backends: SERVICES.flatMap((service) => [{ service, slots: SLOTS, workMs: WORK_MS }, { service, slots: SLOTS, workMs: WORK_MS }]),
    entryCount: ENTRY_COUNT
  })
  const [frozen, ...others] = deployment.entries
  let index = 0
  const startedAt = deployment.now()
  const sender = setInterval(() => {
    for (; index < (deployment.now() - startedAt) * SENDS_PER_SECOND / 1000; index++) {
      const path = `/${SERVICES[index % SERVICES.length]}/${index}`
      deployment.send(others[index % others.length], { path }).then((answer) => answers.push(answer))
    }
  }, 5)
  await pause(2000)

  if (hasTrouble) deployment.signal(frozen, 'SIGSTOP')
  const frozenAt = deployment.now()
  await pause(LEAVING_AFTER_MS)
  for (const service of SERVICES) await deployment.addBackend({ service, slots: SLOTS, workMs: WORK_MS, zone: 'colombo' })
  const leaving = SERVICES.map((service) => deployment.backends.find((backend) => backend.service === service))
  for (const backend of leaving) backend.unregister()
  const leftAt = deployment.now()
  deployment.note(`one server of each service is replaced: it has removed its registration and goes on serving; version ${store.version}`)
  await pause(frozenAt + FROZEN_MS - deployment.now())
  if (hasTrouble) deployment.signal(frozen, 'SIGCONT')
  await pause(OBSERVED_MS)
  clearInterval(sender)
  await pause(2500)

  const late = leaving.flatMap(({ id: server, arrivals }) => {
    return arrivals.filter(({ at }) => at > leftAt + BOUNDS.drain_ms).map((arrival) => ({ ...arrival, server }))
  })
  deployment.noteRequests(answers)
  for (const { id, at, server } of late) {
    const answer = answers.find((each) => each.id === id)
    deployment.note(`${id} reached ${server} ${(at - leftAt).toFixed(0)} ms after the removal; sent at ${answer?.sentAt.toFixed(0)} ms to ` +
      `${answer?.entry}, answered ${answer?.status}`)
  }
  deployment.note(`${late.length} requests reached a server later than ${BOUNDS.drain_ms} ms after its removal was acknowledged`)
  return late.length === 0
})
