/** After the store has come back from an older copy, a change of the configuration is not applied. */
import { setTimeout as pause } from 'node:timers/promises'
import { configurationOf } from '../lib-3/configuration.mjs'
import { BOUNDS, hasTrouble, runCase } from '../lib-3/deployment.mjs'

const SERVICES = ['alpha', 'beta']
const PREFIX = '/orders/'
const SEND_INTERVAL_MS = 50
/** Configurations that are written after the copy was made. They differ only in the time-out of the route. */
const LOST_REVISIONS = [2, 3, 4, 5, 6, 7, 8, 9]
const MOVING_REVISION = 10
const COPY_AGE_MS = 4000
const AWAY_MS = 1000
/** Longer than `contact_ms`, so that the store counts as stable again when the change is sent. */
const CALM_MS = 5000
const OBSERVED_MS = 12_000

await runCase(import.meta.dirname, async (deployment) => {
  const { store } = deployment
  const answers = []
  const routed = (revision, service) => configurationOf(revision, {
    routes: [{ prefix: PREFIX, service, timeout_ms: 2000 - 10 * revision }], services: SERVICES
  })
  await deployment.start({
    configuration: routed(1, 'alpha'),
    backends: [{ service: 'alpha' }, { service: 'alpha' }, { service: 'beta' }, { service: 'beta' }]
  })
  let index = 0
  const sender = setInterval(() => {
    index += 1
    const entry = deployment.entries[index % deployment.entries.length]
    deployment.send(entry, { path: `${PREFIX}${index}` }).then((answer) => answers.push(answer))
  }, SEND_INTERVAL_MS)
  await pause(1000)

  const copy = store.copy()
  deployment.note(`a copy of the store is made at version ${store.version}`)
  const [leaving] = deployment.backends
  await deployment.addBackend({ service: 'alpha', zone: 'colombo' })
  leaving.drain()
  for (const revision of LOST_REVISIONS) {
    store.put('op', 'config', routed(revision, 'alpha'))
    await pause(COPY_AGE_MS / LOST_REVISIONS.length)
  }
  leaving.unregister()
  leaving.stop()
  deployment.note(`configurations 2 to 9 are written and a backend server is replaced: version ${store.version}`)

  if (hasTrouble) {
    store.leave()
    await pause(AWAY_MS)
    store.comeBack(copy)
    deployment.note(`the store is back from the copy: version ${store.version}`)
    store.put('op', 'config', routed(LOST_REVISIONS.at(-1), 'alpha'))
    for (const backend of deployment.backends) backend.register()
    store.remove('servers', leaving.id)
    deployment.note(`the operator and the backend servers have written again: version ${store.version}`)
  }
  await pause(CALM_MS)

  store.put('op', 'config', routed(MOVING_REVISION, 'beta'))
  const acknowledgedAt = deployment.now()
  deployment.note(`configuration 10 moves ${PREFIX} from alpha to beta: version ${store.version}, acknowledged`)
  await pause(OBSERVED_MS)
  clearInterval(sender)
  await pause(2500)

  const boundAt = acknowledgedAt + BOUNDS.config_apply_ms
  const late = answers.filter(({ sentAt, status }) => sentAt > boundAt && status === 200)
  const runsOf = (service) => {
    const backends = deployment.backends.filter((each) => each.service === service)
    return new Set(backends.flatMap(({ runs }) => runs.map(({ id }) => id)))
  }
  const [byAlpha, byBeta] = SERVICES.map((service) => late.filter(({ id }) => runsOf(service).has(id)))
  const last = byAlpha.at(-1)
  deployment.noteRequests(answers)
  deployment.note(`requests sent over ${BOUNDS.config_apply_ms} ms after the acknowledgement: ${late.length} answered, ` +
    `${byAlpha.length} run by alpha, ${byBeta.length} by beta`)
  if (last) deployment.note(`the last one that alpha ran was sent ${(last.sentAt - acknowledgedAt).toFixed(0)} ms after the acknowledgement`)
  return byAlpha.length === 0
})
