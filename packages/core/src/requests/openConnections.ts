/** Servers to which this entry probably has an idle connection that a repeatable request may use. */
import type { RegisteredServer } from '../discovery/registeredServer.js'
import type { AttemptOutcome } from '../placement/placementRequest.js'

interface IdleConnections {
  service: string
  count: number
  usedAt: number
}

/** Idle connections are closed after about this time. */
const IDLE_MS = 7000
/** Connections that are kept for one server. */
const MAX_PER_SERVER = 2
/** Servers that are named to a scheduler, the ones used last first: a longer list would cost more bytes than connections save. */
const MAX_NAMED = 6
/** Outcomes after which the connection is whole: the answer was read to its end. */
const WHOLE: ReadonlySet<AttemptOutcome> = new Set<AttemptOutcome>(['answered', 'failed', 'failed-below', 'shed'])

export class OpenConnections {
  private readonly _byServer = new Map<string, IdleConnections>()

  /** Records that an attempt is sent on an idle connection, if there is one. */
  dispatched ({ id }: RegisteredServer): void {
    const idle = this._byServer.get(id)
    if (idle && idle.count > 0) idle.count -= 1
  }

  /** Records how an attempt ended that was sent on a connection which may be kept. */
  ended ({ id, service }: RegisteredServer, outcome: AttemptOutcome, now: number): void {
    // A server that has lost one connection has probably lost the others too.
    if (outcome === 'lost' || outcome === 'unreachable') this._byServer.delete(id)
    if (!WHOLE.has(outcome)) return
    const count = Math.min(MAX_PER_SERVER, (this._byServer.get(id)?.count ?? 0) + 1)
    this._byServer.delete(id)
    this._byServer.set(id, { service, count, usedAt: now })
  }

  /** Ids of servers of a service with an idle connection, the one used last first. */
  of (service: string, now: number): string[] {
    const servers: string[] = []
    for (const [id, idle] of [...this._byServer].reverse()) {
      if (now - idle.usedAt > IDLE_MS) {
        this._byServer.delete(id)
        continue
      }
      if (idle.service === service && idle.count > 0 && servers.length < MAX_NAMED) servers.push(id)
    }
    return servers
  }
}
