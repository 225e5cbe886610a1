/** Another writer puts a row into the table of the backend servers. Counts the requests that are cut off at sound servers. */
import { setTimeout as pause } from 'node:timers/promises'
import { Connection, requestBytes } from '../lib/connection.mjs'
import { newId, runCase, trouble } from '../lib/deployment.mjs'

const SERVICE = 'allocations'
const PATH = '/allocations/'
const SERVERS = 8
const CALLERS_PER_ENTRY = 16
const PAUSE_MS = 150
const WORK_MS = 100
const DEADLINE_MS = 2500
const LENGTH_MS = 10_000
/** More than three of them break the rule. */
const ALLOWED = 3

await runCase(import.meta.dirname, async (deployment) => {
  const ranAt = new Map()
  await deployment.start({
    routes: [{ name: 'r-check', host: 'a.example', prefix: PATH, route_type: 'safe', service: SERVICE, timeout_ms: DEADLINE_MS }],
    services: [SERVICE],
    backends: Array.from({ length: SERVERS }, () => ({
      service: SERVICE, workMs: WORK_MS, onRun: (id, request, backend) => ranAt.set(id, backend)
    }))
  })
  const counts = { sent: 0, served: 0, refused: 0, cutAtSound: 0, otherCuts: 0, servedInLastSeconds: 0 }
  const endAt = performance.now() + LENGTH_MS
  const call = async (entry) => {
    let connection = new Connection(entry)
    while (performance.now() < endAt) {
      if (connection.closed) connection = new Connection(entry)
      const isKept = connection.served > 0
      const id = newId()
      counts.sent += 1
      const result = await connection.send(requestBytes({ path: `${PATH}${id}`, id, deadlineMs: DEADLINE_MS }), { timeoutMs: DEADLINE_MS })
      const server = ranAt.get(id)
      const end = result.status ?? (result.lost ? 'connection closed' : 'no answer')
      deployment.note(`${id} sent to ${entry.name}, ${isKept ? 'kept' : 'new'} connection, ran at ${server?.id ?? '-'}: ${end}`)
      if (result.status === 200) {
        counts.served += 1
        if (result.at > endAt - 4000) counts.servedInLastSeconds += 1
      } else if (!result.lost) counts.refused += 1
      else if (isKept && server) {
        counts.cutAtSound += 1
        deployment.note(`request ${id}, from a kept connection, ran at the sound server ${server.id}; ${entry.name} closed without an answer`)
      } else counts.otherCuts += 1
      if (result.silent) connection.end()
      await pause(PAUSE_MS)
    }
    connection.end()
  }
  const callers = deployment.entries.flatMap((entry) => Array.from({ length: CALLERS_PER_ENTRY }, () => call(entry)))
  await pause(2000)
  if (trouble) {
    const [{ options: { host } }] = deployment.backends
    const row = {
      service: SERVICE,
      address: `${host}:78410`,
      zone: 'colombo',
      config_version: '00000001',
      slots: 2,
      state: 'ready',
      warmup_left_ms: 0,
      sequence: 1,
      born: Date.now()
    }
    deployment.note(`another writer puts the row servers/i-0badc0de: ${JSON.stringify(row)}`)
    deployment.store.put('servers', 'i-0badc0de', row)
  }
  await Promise.all(callers)
  const ends = deployment.entries.map(({ name, ends: each }) => `${name} ${each.length}`)
  deployment.note(`requests: ${JSON.stringify(counts)}; processes that ended by themselves: ${ends.join(', ')}`)
  return counts.cutAtSound <= ALLOWED
})
