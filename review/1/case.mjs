/** An entry stands still for 3.5 s just after callers have connected to it. Looks for orders that are answered 408 and run. */
import { setTimeout as pause } from 'node:timers/promises'
import { Connection, requestBytes } from '../lib/connection.mjs'
import { newId, runCase, trouble } from '../lib/deployment.mjs'

const SERVICE = 'orders'
const PATH = '/orders/'
const SERVERS = 6
const WORK_MS = 80
/** `node_freeze` with the length that the site file names. */
const FROZEN_MS = 3500
const CALLERS = 8
/** Callers connect, and send their orders this long after; the limit `header_timeout_ms` is 3,000. */
const THINKING_MS = 300
const DEADLINE_MS = 5238
/** The links to callers take 1 ms one way: a caller's close reaches the entry this long after the entry has answered. */
const ROUND_TRIP_MS = 2
const PROMISES = new Set([408, 421, 429, 503])

await runCase(import.meta.dirname, async (deployment) => {
  const runs = new Map()
  await deployment.start({
    routes: [{ name: 'r-order', host: 'a.example', prefix: PATH, route_type: 'unsafe', service: SERVICE, timeout_ms: DEADLINE_MS }],
    services: [SERVICE],
    backends: Array.from({ length: SERVERS }, () => ({
      service: SERVICE,
      workMs: WORK_MS,
      onRun: (id, request, backend) => {
        runs.set(id, (runs.get(id) ?? 0) + 1)
        deployment.note(`server ${backend.id} runs request ${id}`)
      }
    }))
  })
  // This entry, front-gampaha-2, is the scheduler of the service: rendezvous hashing of the names chooses it.
  const entry = deployment.entries[1]
  let refusedAndRan = 0
  const connections = Array.from({ length: CALLERS }, () => new Connection(entry))
  await Promise.all(connections.map(({ opened }) => opened))
  deployment.note(`${CALLERS} callers have connected to ${entry.name}`)
  await pause(THINKING_MS / 2)
  if (trouble) {
    entry.process.kill('SIGSTOP')
    deployment.note(`${entry.name} stands still`)
    setTimeout(() => {
      entry.process.kill('SIGCONT')
      deployment.note(`${entry.name} wakes again`)
    }, FROZEN_MS)
  }
  await pause(THINKING_MS / 2)
  const place = async (connection, number, deadlineMs) => {
    const id = newId()
    deployment.note(`caller ${number} sends its order as request ${id}`)
    const body = Buffer.from('12 copies')
    const result = await connection.send(
      requestBytes({ method: 'POST', path: `${PATH}${number}`, id, deadlineMs, body }), { timeoutMs: deadlineMs }
    )
    deployment.note(`request ${id} of caller ${number} is answered: ${result.status ?? (result.lost ? 'connection closed' : 'nothing')}`)
    setTimeout(() => connection.end(), ROUND_TRIP_MS)
    return { id, number, status: result.status }
  }
  const orders = connections.map(async (connection, number) => {
    const until = deployment.now + DEADLINE_MS
    const first = await place(connection, number, DEADLINE_MS)
    // After a promise that the order has not run, a caller sends it once more, on a new connection.
    if (PROMISES.has(first.status)) first.again = await place(new Connection(deployment.entries[0]), number, until - deployment.now)
    return first
  })
  const results = await Promise.all(orders)
  await pause(1500)
  let doubled = 0
  for (const { id, number, status, again } of results) {
    if (!PROMISES.has(status) || !runs.has(id)) continue
    refusedAndRan += 1
    deployment.note(`request ${id} was answered ${status}, which promises that it never runs, and ran ${runs.get(id)} time(s)`)
    if (!again || !runs.has(again.id)) continue
    doubled += 1
    deployment.note(`so the order of caller ${number} ran twice: as ${id} and as ${again.id}`)
  }
  deployment.note(`orders: ${results.length}; answered 200: ${results.filter(({ status }) => status === 200).length}; refused and ran: ${refusedAndRan}; orders that ran twice in this way: ${doubled}`)
  return refusedAndRan === 0
})
