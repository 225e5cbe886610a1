/** What single decisions cost the core, by size: a view change, the placement of all shards, a handover. */
import {
  BackendServer, Directory, Invariants, Placement, Revisions, SeededRandom, ThrowingWatcher, watchersOf, type Member
} from '@gooseberryspan/core'
import { destination, pino } from 'pino'
import { capacityDocument, ZONES } from './capacityDocument.js'
import { fit, type Line } from './fit.js'

/** One cost against one size. */
export interface CoreCost {
  what: string
  against: string
  points: Array<{ x: number, y: number }>
  line: Line
}

const REPEATS = 200
const SERVERS = 880
const SERVICES = 99
const ENTRIES = [8, 15, 30, 60]

/** Measures each cost at four sizes, in microseconds. */
export function coreCosts (): CoreCost[] {
  const view = ENTRIES.map((entries) => ({ x: entries, y: viewChangeUs(entries) }))
  const watchers = ENTRIES.map((entries) => ({ x: entries, y: watchersUs(entries) }))
  const lines = [100, 200, 400, 800].map((count) => ({ x: count, y: logLinesUs(count) }))
  const handover = [2, 8, 15, 30].map((servers) => ({ x: servers, y: handoverUs(servers) }))
  return [
    { what: 'view change: placement of 880 servers', against: 'entries', points: view, line: fit(view) },
    { what: 'view change: watchers of all entries', against: 'entries', points: watchers, line: fit(watchers) },
    { what: 'handover of servers', against: 'servers', points: handover, line: fit(handover) },
    { what: 'log lines', against: 'lines', points: lines, line: fit(lines) }
  ]
}

function members (count: number): Member[] {
  return Array.from({ length: count }, (_, index) => ({
    ...ZONES[index % ZONES.length]!,
    zone: ZONES[index % ZONES.length]!.name,
    instance: `entry-${index}`,
    incarnation: `i${index}`,
    host: 'h',
    port: 1,
    peerPort: 2,
    state: 'confirmed' as const,
    joinedView: 1
  }))
}

function viewChangeUs (entries: number): number {
  const revisions = new Revisions(new Invariants(new ThrowingWatcher()))
  revisions.adopt({ revision: 1, document: capacityDocument(SERVICES) })
  const view = { version: 1, members: members(entries), splits: [] }
  const directory = new Directory(revisions, new Placement(view))
  const random = new SeededRandom(1)
  const servers = Array.from({ length: SERVERS }, (_, index) => ({
    id: `server-${index}`,
    service: `service-${index % SERVICES}`,
    zone: ZONES[Math.floor(random.next() * ZONES.length)]!.name,
    host: 'h',
    port: 1,
    state: 'live' as const
  }))
  directory.update({ whole: true, servers, removed: [] })
  return timed(() => {
    directory.replace(new Placement(view))
    directory.shardsOf('entry-1')
  })
}

function watchersUs (entries: number): number {
  const all = members(entries)
  return timed(() => {
    for (const member of all) watchersOf(all, member)
  })
}

/** Decision lines as an entry writes them, into a file that keeps nothing. */
function logLinesUs (count: number): number {
  const log = pino({ name: 'measured' }, destination({ dest: '/dev/null', sync: true, minLength: 8192 }))
  return timed(() => {
    for (let line = 0; line < count; line++) {
      log.info({ decision: 'dispatched', request: line, service: 'service-1', server: 'server-1', figure: 1 })
    }
  })
}

function handoverUs (count: number): number {
  const service = capacityDocument(1).services[0]!
  const invariants = new Invariants(new ThrowingWatcher())
  const place = { id: 's', service: service.name, zone: 'r1-a', host: 'h', port: 1 }
  const from = Array.from({ length: count }, () => new BackendServer(place, service, 0, invariants))
  return timed(() => {
    for (const server of from) new BackendServer(place, service, 0, invariants).takeOver(server.handOver(() => 1000, 0), 0)
  })
}

function timed (act: () => void): number {
  for (let warm = 0; warm < REPEATS; warm++) act()
  const startedAt = performance.now()
  for (let repeat = 0; repeat < REPEATS; repeat++) act()
  return (performance.now() - startedAt) * 1000 / REPEATS
}
