/** Small processes of an entry: the clock's ticks, its ports, and its reports. */
import { every, settle, sleepForever, sleepUnless, type Child, type Scope, type Steps } from '@gooseberryspan/csp'
import type { StatsD } from 'hot-shots'
import type { EntryNode } from './entryNode.js'
import type { HttpListener } from './httpListener.js'

const BUSY_TICK_MS = 10
const IDLE_TICK_MS = 100

/** Ticks more often while requests are open. */
export function ticker (node: EntryNode): Child {
  return {
    name: 'ticker',
    * run (scope: Scope): Steps<void> {
      while (!scope.stopping.closed) {
        node.handle({ kind: 'tick' })
        yield * sleepUnless(node.open > 0 ? BUSY_TICK_MS : IDLE_TICK_MS, scope.stopping)
      }
    }
  }
}

/** Listens on a port until it is asked to end. */
export function portKeeper (name: string, listener: HttpListener, listening: (port: number) => void = () => {}): Child {
  return {
    name,
    * run (scope: Scope): Steps<void> {
      const port = yield * settle(listener.listen())
      if (!port.ok) throw port.error
      listening(port.value)
      yield * sleepForever(scope)
      yield * settle(listener.close())
    }
  }
}

/** Sends the process's counts and gauges by UDP. */
export function reporter (node: EntryNode, client: StatsD, everyMs: number): Child {
  const last = new Map<string, number>()
  return {
    name: 'metrics',
    * run (scope: Scope): Steps<void> {
      yield * every(everyMs, scope, () => report(node, client, last))
    }
  }
}

function report (node: EntryNode, client: StatsD, last: Map<string, number>): void {
  const status = node.status()
  for (const { name, count } of status.counts) {
    client.increment(`decisions.${name}`, count - (last.get(name) ?? 0))
    last.set(name, count)
  }
  for (const { name, count } of status.broken) client.gauge(`broken.${name}`, count)
  client.gauge('requests.open', status.openRequests)
  client.gauge('servers.held', status.servers.length)
  client.gauge('servers.in_flight', status.servers.reduce((sum, server) => sum + server.inFlight, 0))
  client.gauge('lease.left_ms', status.leaseLeftMs)
  client.gauge('table.silent_ms', status.tableSilentMs)
  client.gauge('configuration.revision', status.revision)
  client.gauge('view.version', status.view)
  client.gauge('process.resident_bytes', status.residentBytes)
}
