/** After the open connections to the store have gone silent, the entries go on using servers that have left. */
import { setTimeout as pause } from 'node:timers/promises'
import { configurationOf } from '../lib-3/configuration.mjs'
import { BOUNDS, hasTrouble, runCase } from '../lib-3/deployment.mjs'

const SERVICES = Array.from({ length: 8 }, (_, index) => `service-${index + 1}`)
const SENDS_PER_SECOND = 220
const WORK_MS = 190
const SLOTS = 2
/** The feed of the configuration has been read for so long without a change when the connections go silent. */
const FEED_AGE_MS = 380
/** From its start to the removal of its predecessor's registration, a new server takes so long. */
const RELEASE_MS = 200
/** Servers that are leaving go on serving for so long. */
const OBSERVED_MS = 8000

await runCase(import.meta.dirname, async (deployment) => {
  const { store } = deployment
  const answers = []
  const server = (service) => ({ service, slots: SLOTS, workMs: WORK_MS })
  await deployment.start({
    configuration: configurationOf(1, { routes: SERVICES.map((service) => ({ prefix: `/${service}/`, service })), services: SERVICES }),
    backends: SERVICES.flatMap((service) => [server(service), server(service)])
  })
  let index = 0
  const startedAt = deployment.now()
  const sender = setInterval(() => {
    for (; index < (deployment.now() - startedAt) * SENDS_PER_SECOND / 1000; index++) {
      const path = `/${SERVICES[index % SERVICES.length]}/${index}`
      deployment.send(deployment.entries[index % deployment.entries.length], { path }).then((answer) => answers.push(answer))
    }
  }, 5)
  await pause(2000)

  while (store.feedAgeMs('op') < FEED_AGE_MS) await pause(5)
  const leaving = SERVICES.map((service) => deployment.backends.find((backend) => backend.service === service))
  for (const service of SERVICES) await deployment.addBackend({ ...server(service), zone: 'colombo' })
  await pause(RELEASE_MS / 2)
  const silentAt = deployment.now()
  if (hasTrouble) deployment.note(`${store.silence()} open connections to the store go silent; new ones work`)
  await pause(RELEASE_MS / 2)
  for (const backend of leaving) backend.unregister()
  const leftAt = deployment.now()
  deployment.note(`one server of each service is replaced: it has removed its registration and goes on serving; version ${store.version}`)
  await pause(OBSERVED_MS)
  clearInterval(sender)
  await pause(2500)

  /** From then on, the rule binds all machines: the silence counts as a reset of their connections. */
  const boundAt = Math.max(leftAt + BOUNDS.drain_ms, silentAt + BOUNDS.contact_ms)
  const late = leaving.flatMap(({ id: server, arrivals }) => {
    return arrivals.filter(({ at }) => at > boundAt).map((arrival) => ({ ...arrival, server }))
  }).filter(({ id }) => answers.find((answer) => answer.id === id)?.sentAt > silentAt + BOUNDS.contact_ms)
  deployment.noteRequests(answers)
  for (const { id, at, server } of late) {
    const answer = answers.find((each) => each.id === id)
    deployment.note(`${id} reached ${server} ${(at - leftAt).toFixed(0)} ms after the removal; sent at ${answer.sentAt.toFixed(0)} ms to ` +
      `${answer.entry}, answered ${answer.status}`)
  }
  deployment.note(`${late.length} requests reached a server later than ${BOUNDS.drain_ms} ms after its removal was acknowledged`)
  return late.length === 0
})
