/** An entry that is cut off from the store and from the other zones goes on scheduling for its zone, with the servers that it knew. */
import { setTimeout as pause } from 'node:timers/promises'
import { configurationOf } from '../lib-3/configuration.mjs'
import { BOUNDS, hasTrouble, runCase } from '../lib-3/deployment.mjs'

const SERVICES = Array.from({ length: 24 }, (_, index) => `service-${index + 1}`)
const ENTRY_COUNT = 9
const SENDS_PER_SECOND = 500
/** Under this load, about 4 of the 4 slots of a service are busy. */
const WORK_MS = 190
const SLOTS = 2
/** It schedules some services, and the entry that reads the store is in another zone. */
const CUT_ENTRY = 'front-gampaha-5'
const CUT_MS = 5500
const LEAVING_AFTER_MS = 500
const OBSERVED_MS = 3000

await runCase(import.meta.dirname, async (deployment) => {
  const { store, links, entries } = deployment
  const answers = []
  const server = (service) => ({ service, slots: SLOTS, workMs: WORK_MS })
  await deployment.start({
    configuration: configurationOf(1, { routes: SERVICES.map((service) => ({ prefix: `/${service}/`, service })), services: SERVICES }),
    backends: SERVICES.flatMap((service) => [server(service), server(service)]),
    entryCount: ENTRY_COUNT,
    hasLinks: true
  })
  const cutOff = entries.find(({ name }) => name === CUT_ENTRY)
  const others = entries.filter((entry) => entry !== cutOff)
  /** No link of these entries is cut. Only requests that they took are judged. */
  const sameZone = new Set(others.filter(({ zone }) => zone === cutOff.zone).map(({ name }) => name))
  const otherZones = others.filter(({ zone }) => zone !== cutOff.zone)
  let index = 0
  const startedAt = deployment.now()
  const sender = setInterval(() => {
    for (; index < (deployment.now() - startedAt) * SENDS_PER_SECOND / 1000; index++) {
      const path = `/${SERVICES[index % SERVICES.length]}/${index}`
      deployment.send(others[index % others.length], { path }).then((answer) => answers.push(answer))
    }
  }, 5)
  await pause(2000)

  if (hasTrouble) {
    deployment.note(`${cutOff.name} is cut off from the store and from the entries of the other zones`)
    links.cut(cutOff.name, otherZones.map(({ name }) => name))
  }
  const cutAt = deployment.now()
  await pause(LEAVING_AFTER_MS)
  const leaving = SERVICES.map((service) => deployment.backends.find((backend) => backend.service === service))
  for (const service of SERVICES) await deployment.addBackend({ ...server(service), zone: 'colombo' })
  for (const backend of leaving) backend.unregister()
  const leftAt = deployment.now()
  deployment.note(`one server of each service is replaced: it has removed its registration and goes on serving; version ${store.version}`)
  await pause(cutAt + CUT_MS - deployment.now())
  links.heal()
  if (hasTrouble) deployment.note(`the cut has healed; ${links.dropped} datagrams were dropped`)
  await pause(OBSERVED_MS)
  clearInterval(sender)
  await pause(2500)

  const late = leaving.flatMap(({ id, arrivals }) => {
    return arrivals.filter(({ at }) => at > leftAt + BOUNDS.drain_ms).map((arrival) => ({ ...arrival, server: id }))
  }).filter(({ id }) => sameZone.has(answers.find((answer) => answer.id === id)?.entry))
  deployment.noteRequests(answers)
  for (const { id, at, server } of late) {
    const answer = answers.find((each) => each.id === id)
    deployment.note(`${id} reached ${server} ${(at - leftAt).toFixed(0)} ms after the removal; sent at ${answer?.sentAt.toFixed(0)} ms to ` +
      `${answer?.entry}, answered ${answer?.status}`)
  }
  deployment.note(`${late.length} requests reached a server later than ${BOUNDS.drain_ms} ms after its removal was acknowledged`)
  return late.length === 0
})
