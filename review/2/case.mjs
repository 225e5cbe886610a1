/** Some backend servers of a service spoil a fiftieth of their answers. Counts the requests that are cut off at sound servers. */
import { setTimeout as pause } from 'node:timers/promises'
import { Connection, requestBytes } from '../lib/connection.mjs'
import { newId, runCase, trouble } from '../lib/deployment.mjs'

const SERVICE = 'allocations'
const PATH = '/allocations/'
const SERVERS = 12
/** `garble` at its default share, .5, and x, .02, for 5 s. */
const SPOILT_SHARE = 0.5
const SPOILT_EVERY = 50
const SPOILT_FOR_MS = 5000
const CALLERS_PER_ENTRY = 12
const PAUSE_MS = 150
const WORK_MS = 100
const DEADLINE_MS = 2500
const LENGTH_MS = 9000
/** More than three of them break the rule. */
const ALLOWED = 3

await runCase(import.meta.dirname, async (deployment) => {
  const faulty = new Set()
  const ranAt = new Map()
  let spoiling = false
  let answers = 0
  let spoilt = 0
  const answer = ({ response, id, body, backend }) => {
    if (!spoiling || !faulty.has(backend)) return false
    answers += 1
    if (answers % SPOILT_EVERY !== 0) return false
    spoilt += 1
    deployment.note(`server ${backend.id} spoils its answer to ${id}: one byte of its head becomes a space`)
    const head = [
      'HTTP/1.1 200 OK', `Request-Id: ${id}`, `Server-Stamp: stamp.${id}`, 'Content Type: text/plain', `Content-Length: ${body.length}`
    ]
    response.socket.write(`${head.join('\r\n')}\r\n\r\n${body}`)
    setTimeout(() => response.socket?.end(), 20)
    return true
  }
  await deployment.start({
    routes: [{ name: 'r-check', host: 'a.example', prefix: PATH, route_type: 'safe', service: SERVICE, timeout_ms: DEADLINE_MS }],
    services: [SERVICE],
    backends: Array.from({ length: SERVERS }, () => ({
      service: SERVICE, workMs: WORK_MS, answer, onRun: (id, request, backend) => ranAt.set(id, backend)
    }))
  })
  for (const backend of deployment.backends.slice(0, SERVERS * SPOILT_SHARE)) faulty.add(backend)

  const counts = { sent: 0, served: 0, refused: 0, cutAtSound: 0, otherCuts: 0 }
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
      if (result.status === 200) counts.served += 1
      else if (!result.lost) counts.refused += 1
      else if (isKept && server && !faulty.has(server)) {
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
    spoiling = true
    deployment.note(`from now on ${faulty.size} of ${SERVERS} servers spoil one in ${SPOILT_EVERY} of their answers`)
  }
  await pause(SPOILT_FOR_MS)
  spoiling = false
  deployment.note('the servers are sound again')
  await Promise.all(callers)
  const ends = deployment.entries.flatMap(({ ends: each }) => each)
  deployment.note(`requests: ${JSON.stringify(counts)}; spoilt answers: ${spoilt}; entry processes that ended by themselves: ${ends.length}`)
  return counts.cutAtSound <= ALLOWED
})
