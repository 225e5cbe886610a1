/** What an entry says of itself. */
import type { EntryCore, ServerState } from '@gooseberryspan/core'
import type { Counters } from './counters.js'

/** One count by its name. */
export interface Count {
  name: string
  count: number
}

/** One backend server as its holder sees it. */
export interface ServerStatus {
  id: string
  service: string
  zone: string
  state: ServerState
  limit: number
  inFlight: number
  latencyMs: number
}

/** What control has used since start. */
export interface ControlUse {
  platformRequests: number
  /** Bytes to and from the platform, headers included. */
  platformBytes: number
  peerMessages: number
  /** Bytes of messages to peers, headers not included. */
  peerBytes: number
}

/** The state of an entry at one moment. */
export interface Status {
  instance: string
  incarnation: string
  phase: string
  /** The zones' and services' revision in force. */
  revision: number
  view: number
  members: number
  /** Time the right to dispatch still holds, in milliseconds; not above 0 when it has lapsed. */
  leaseLeftMs: number
  /** Time since the table service last answered, in milliseconds. */
  tableSilentMs: number
  openRequests: number
  shards: number
  servers: ServerStatus[]
  /** Broken invariants; empty in a sound process. */
  broken: Count[]
  counts: Count[]
  control: ControlUse
  residentBytes: number
}

/** Reads the state of an entry. */
export function statusOf (core: EntryCore, now: number, counters: Counters, control: ControlUse): Status {
  const { membership } = core
  return {
    instance: membership.identity.instance,
    incarnation: membership.incarnation,
    phase: membership.phase,
    revision: core.revisions.revision,
    view: membership.view.version,
    members: membership.view.members.length,
    leaseLeftMs: finite(membership.lease.validUntil - now),
    tableSilentMs: finite(membership.tableSilentMs(now)),
    openRequests: core.router.open,
    shards: core.ownership.active.length,
    servers: serversOf(core),
    broken: [...core.invariants.counts].map(([name, count]) => ({ name, count })),
    counts: [...counters.entries()].map(([name, count]) => ({ name, count })),
    control,
    residentBytes: process.memoryUsage.rss()
  }
}

function serversOf (core: EntryCore): ServerStatus[] {
  const servers: ServerStatus[] = []
  for (const server of core.holdings.servers.values()) {
    const { id, service, zone } = server.place
    servers.push({
      id, service, zone, state: server.state, limit: server.limit, inFlight: server.inFlight, latencyMs: server.latencyMs
    })
  }
  return servers
}

function finite (value: number): number {
  return Number.isFinite(value) ? Math.round(value) : -1
}
