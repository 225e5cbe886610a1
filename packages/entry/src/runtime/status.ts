/** The status that an entry reports about itself. */
import type { EntryCore, MemberUpdate, Reachability, RolloutProgress } from '@gooseberryspan/core'

/** A count with its name. */
export interface NamedCount {
  name: string
  count: number
}

/** One backend server as seen by a scheduler of this entry. */
export interface ServerStatus {
  id: string
  service: string
  zone: string
  reach: Reachability
  cold: boolean
  inFlight: number
  /** Fraction of the server's recent requests that failed, between 0 and 1. */
  blame: number
}

/** Traffic to the store and to other entries since the process started. */
export interface ControlTraffic {
  storeRequests: number
  /** Bytes sent to and received from the store, including headers. */
  storeBytes: number
  peerMessages: number
  /** Bytes of datagrams sent to other entries, excluding headers. */
  peerBytes: number
  peerPulls: number
}

/** The state of an entry at one moment. */
export interface Status {
  instance: string
  incarnation: number
  phase: string
  revision: number
  members: Array<{ instance: string, zone: string, phase: string, standing: MemberUpdate['standing'], reachesStore: boolean }>
  /** The change-feed leader: the entry that follows the store's change feed for all entries. */
  watcher: string | undefined
  /** Age of the oldest replica of a store table, in milliseconds; -1 while a table has not been read yet. */
  copyAgeMs: number
  listedServers: number
  /** Number of servers that want no requests from this entry now. */
  heldServers: number
  /** Number of backend servers that have stated how many requests a second they take. */
  limitedServers: number
  openRequests: number
  /** Roll-outs, with the requests that schedulers of this entry have placed. */
  rollouts: RolloutProgress[]
  servers: ServerStatus[]
  /** Number of violations of each invariant; empty while no invariant has been violated. */
  broken: NamedCount[]
  control: ControlTraffic
  residentBytes: number
}

/** Returns the status of an entry. */
export function statusOf (core: EntryCore, now: number, control: ControlTraffic, openRequests: number): Status {
  const { roster, roles, replication, declarations, catalog } = core
  const age = replication.maxAgeMs(now)
  return {
    instance: roster.self.instance,
    incarnation: roster.self.incarnation,
    phase: core.phase,
    revision: declarations.revision,
    members: roster.news.map(({ member, standing }) => ({
      instance: member.instance, zone: member.zone, phase: member.phase, standing, reachesStore: member.reachesStore
    })),
    watcher: roles.watchers[0]?.instance,
    copyAgeMs: Number.isFinite(age) ? Math.round(age) : -1,
    listedServers: catalog.size,
    heldServers: core.holds.count(now),
    limitedServers: core.limits.count,
    openRequests,
    rollouts: core.rollouts.progress(),
    servers: serversOf(core, now),
    broken: [...core.invariants.counts].map(([name, count]) => ({ name, count })),
    control,
    residentBytes: process.memoryUsage.rss()
  }
}

function serversOf (core: EntryCore, now: number): ServerStatus[] {
  const servers: ServerStatus[] = []
  for (const [service, scheduler] of core.host.schedulers) {
    for (const record of scheduler.records.values()) {
      const { id, zone } = record.entry
      servers.push({
        id, service, zone, reach: record.reach, cold: record.isCold(now), inFlight: record.occupancy(now), blame: record.blame(now)
      })
    }
  }
  return servers
}
