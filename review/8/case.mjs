/** The store performs a heartbeat of a server seconds late, after the server has reported that it leaves: the server gets new orders. */
import { writeFileSync } from 'node:fs'
import { setTimeout as pause } from 'node:timers/promises'
import { Backend } from '../lib-2/backend.mjs'
import { Callers } from '../lib-2/caller.mjs'
import { addressBlock, BOUNDS, Entry, freePort } from '../lib-2/deployment.mjs'
import { Store } from '../lib-2/store.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const ZONES = ['colombo', 'gampaha', 'kalutara']
const HOST = 'jepu9.example'
const SERVICE = 'wuno96b'
const DRAIN_MS = 2000
const CONTACT_MS = 3000
const DEADLINE_MS = 1000
const PER_SECOND = 60
/** The answer of one heartbeat is lost at this time after the start of the disruption, and the write is performed so much later. */
const LOST_AT_MS = 500
const LATE_MS = 5900
const DISRUPTION_MS = 1000
/** The server leaves when the store has been without disruption for `CONTACT_MS`, and ends a little later than `DRAIN_MS` after that. */
const DRAIN_AT_MS = DISRUPTION_MS + CONTACT_MS + 300
const END_AT_MS = DRAIN_AT_MS + DRAIN_MS + 900

const address = addressBlock()
const store = new Store()
const callers = new Callers()
const backends = []
const entries = []
const requests = new Map()
const lines = []
const startedAt = performance.now()
const seconds = (at) => at === undefined ? '-' : ((at - startedAt) / 1000).toFixed(3)
const note = (text) => lines.push(`${seconds(performance.now())} s  ${text}`)

async function startAll () {
  const storeAddress = await store.listen(address(1))
  store.put('op', 'config', {
    config_version: '00000007',
    routes: [{
      name: 'r-juaq75k',
      host: HOST,
      prefix: '/puka111/',
      route_type: 'unsafe',
      timeout_ms: 2500,
      target_latency_ms: 250,
      priority: 1,
      service: SERVICE,
      max_attempts: 2,
      auth_exempt: false
    }],
    services: [{ name: SERVICE, health_path: '/health', max_connections: 220, protocol: 'h1', tls: false, warmup_s: 3, warmup_per_s: 1.8 }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
  })
  for (const [index, zone] of [...ZONES, ZONES[0]].entries()) {
    const backend = new Backend({
      id: `i-7f3a91c${index}`,
      host: address(100 + index),
      service: SERVICE,
      zone,
      store,
      workMs: 200,
      arrived: ({ backend: id, request, at }) => requests.get(request).runs.push({ id, at }),
      reported: ({ state, sequence }) => index === 0 && note(`the store performs: servers/${backend.id} ${state}, sequence ${sequence}`)
    })
    backends.push(backend)
    await backend.start()
  }
  const ports = {}
  for (const name of ['front', 'ready', 'control', 'directory']) ports[name] = await freePort(address(10))
  for (const [index, zone] of ZONES.entries()) {
    const ip = address(10 + index)
    const listen = Object.fromEntries(Object.entries(ports).map(([name, port]) => [name, `${ip}:${port}`]))
    entries.push(new Entry({
      node_name: `front-${zone}-1`,
      zone,
      ip,
      seeds: ZONES.map((_, each) => `${address(10 + each)}:${ports.control}`),
      bootstrap: true,
      bounds: { ...BOUNDS, drain_ms: DRAIN_MS, contact_ms: CONTACT_MS },
      limits: { cpu_share: 1, cores: 1, memory_mb: 350, max_fds: 4100 },
      listen,
      platform_config: { address: storeAddress }
    }))
  }
  for (const entry of entries) entry.start()
  await Promise.all(entries.map((entry) => entry.ready()))
  note('all entries are ready')
}

async function send (forMs) {
  const from = performance.now()
  for (let sent = 0; ; sent++) {
    const dueAt = from + sent * 1000 / PER_SECOND
    if (dueAt >= from + forMs) return
    if (dueAt > performance.now()) await pause(dueAt - performance.now())
    const id = sent.toString(16).padStart(16, '0')
    const request = { sentAt: performance.now(), runs: [] }
    requests.set(id, request)
    callers.send(entries[sent % entries.length], { id, path: '/puka111/2f', host: HOST, method: 'POST', deadlineMs: DEADLINE_MS })
      .then((status) => { request.status = status })
  }
}

async function play () {
  await pause(3000)
  const sent = send(END_AT_MS + 3500)
  await pause(500)
  const [leaving] = backends
  note(HAS_TROUBLE ? 'the answers of some writes to the store are lost from here' : 'no answer of the store is lost')
  const from = performance.now()
  const until = (ms) => pause(Math.max(0, from + ms - performance.now()))
  await until(LOST_AT_MS)
  if (HAS_TROUBLE) leaving.delayNextBeat(LATE_MS)
  leaving.beatNow()
  await until(DISRUPTION_MS)
  note('the store has no disruption from here')
  await until(DRAIN_AT_MS)
  const acknowledgedAt = leaving.drain()
  note(`the store has acknowledged that ${leaving.id} leaves`)
  await until(END_AT_MS)
  leaving.leave()
  note(`${leaving.id} has ended`)
  await sent
  await pause(DEADLINE_MS)
  return { leaving, acknowledgedAt }
}

function judge ({ leaving, acknowledgedAt }) {
  const after = [...requests.values()]
    .filter(({ sentAt, runs }) => sentAt > acknowledgedAt + DRAIN_MS && runs.some(({ id }) => id === leaving.id))
  const verdict = [
    `requests that were sent later than ${DRAIN_MS / 1000} s after the acknowledgement and reached ${leaving.id}: ${after.length}`,
    `of these without an answer of a server: ${after.filter(({ status }) => status !== 200).length}`,
    `run twice: ${[...requests.values()].filter(({ runs }) => runs.length > 1).length}`,
    after.length > 0 ? 'DRAIN is broken' : 'DRAIN holds'
  ]
  for (const [id, { sentAt, runs, status }] of requests) {
    lines.push(`${seconds(sentAt)} s  ${id}: answered ${status}, ${runs.map((run) => `run by ${run.id} at ${seconds(run.at)}`).join(', ') || 'not run'}`)
  }
  writeFileSync(new URL('record.txt', import.meta.url), [...verdict, '', ...lines, ''].join('\n'))
  process.stdout.write(`${verdict.join('\n')}\n`)
  const served = [...requests.values()].filter(({ status }) => status === 200).length
  if (served < requests.size / 2) return 2
  return after.length > 0 ? 1 : 0
}

let code = 2
try {
  await startAll()
  code = judge(await play())
} catch (error) {
  process.stderr.write(`${error.stack}\n`)
}
callers.close()
await Promise.all(entries.map((entry) => entry.end()))
for (const backend of backends) backend.stop()
store.close()
process.exit(code)
