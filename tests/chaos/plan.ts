/** The faults of a run. The same options always give the same plan. */
import { draw, SeededRandom, type Random } from '@gooseberryspan/core'

/** Ports of an entry that another process may hold. */
export const PORT_NAMES = ['callers', 'ready', 'peers', 'directory', 'metrics'] as const
export type PortName = typeof PORT_NAMES[number]

/** Ways in which the store misbehaves. */
export const STORE_FAULTS = ['silent', 'busy', 'reset', 'slow', 'lost-answers', 'garbage', 'history-lost'] as const
export type StoreFault = typeof STORE_FAULTS[number]

/** Ways in which a backend server misbehaves. */
export const BACKEND_FAULTS = [
  'slow', 'fail', 'shed', 'refuses-early', 'reset', 'hang', 'unresponsive', 'truncate', 'half-head', 'garbage', 'malformed-header', 'extra',
  'extra-late', 'repeated-refusal', 'endless-head', 'endless-body', 'unframed', 'unframed-reset', 'closes', 'leaving', 'crash'
] as const
export type BackendFault = typeof BACKEND_FAULTS[number]

/** Changes that the operator or another writer of the store makes. */
export const CHANGES = ['many-routes', 'few-routes', 'timeouts', 'split', 'series', 'zone-out', 'odd-rows'] as const
export type Change = typeof CHANGES[number]

/** One fault: when it begins, in milliseconds after the entries are ready, and whom it concerns. */
export type Fault = { at: number } & (
  | { kind: 'stop' | 'stop-overlapped' | 'kill', entry: number }
  | { kind: 'pause' | 'slow-log-reader' | 'lost-log-reader' | 'idle-connections', entry: number, forMs: number }
  | { kind: 'hang-up' | 'noise', entry: number, count: number }
  | { kind: 'held-port', entry: number, port: PortName, forMs: number }
  | { kind: 'kill-all' | 'roll' }
  | { kind: 'store', how: StoreFault, forMs: number }
  | { kind: 'backend', server: number, how: BackendFault, forMs: number }
  | { kind: 'change', how: Change }
  | { kind: 'press', forMs: number }
)

/** Options of a run. */
export interface PlanOptions {
  seed: number
  seconds: number
  entries: number
  servers: number
  /** Kinds of faults to leave out, to look for causes behind a known one. */
  without?: readonly string[]
}

/** What happens in a run. */
export interface Plan {
  /** Port numbers of every entry. */
  ports: Record<PortName, number>
  /** The entry whose metrics port another process holds for the whole run. */
  takenMetricsPort?: number
  faults: Fault[]
}

/** Port that the settings template names for metrics. */
const METRICS_PORT = 9464
const PORTS = { callers: 8641, ready: 8640, peers: 8649, directory: 8644, metrics: METRICS_PORT }
/** Spreads the seeds: the first numbers of neighbouring ones are alike. */
const SEED_FACTOR = 0x9E3779B1
/** Faults a second: a constant part and a part for each entry. */
const BASE_RATE = 1.2
const RATE_PER_ENTRY = 0.12
/** Longest duration of a fault. */
const MAX_FAULT_MS = 7000
const MIN_FAULT_MS = 300

const ENTRY_KINDS = [
  'stop', 'stop', 'stop-overlapped', 'kill', 'pause', 'pause', 'hang-up', 'held-port', 'held-port', 'slow-log-reader', 'lost-log-reader',
  'idle-connections', 'noise', 'kill-all', 'roll'
] as const
const OTHER_KINDS = ['store', 'backend', 'backend', 'backend', 'backend', 'backend', 'change', 'press'] as const

/** Draws the faults of a run. */
export function drawPlan ({ seed, seconds, entries, servers, without = [] }: PlanOptions): Plan {
  const random = new SeededRandom(Math.imul(seed, SEED_FACTOR))
  const portsDrawn = drawPorts(random)
  const takesPort = random.next() < 0.4
  const taken = Math.floor(random.next() * entries)
  const isPortFree = without.includes('held-port')
  const ports = isPortFree ? PORTS : portsDrawn
  // An entry whose port for callers is held all the time could never serve.
  const isShared = Object.values(ports).filter((port) => port === METRICS_PORT).length > 1
  const takenMetricsPort = takesPort && !isPortFree && !isShared ? taken : undefined
  const count = Math.ceil(seconds * (BASE_RATE + RATE_PER_ENTRY * entries))
  const faults: Fault[] = []
  for (let index = 0; index < count; index++) {
    const at = Math.round(random.next() * seconds * 1000)
    faults.push({ at, ...drawFault(random, entries, servers) } as Fault)
  }
  const kept = faults.filter(({ kind }) => !without.includes(kind))
  return { ports, takenMetricsPort, faults: kept.sort((a, b) => a.at - b.at) }
}

function drawFault (random: Random, entries: number, servers: number): Record<string, unknown> {
  const kind = random.next() < 0.55 ? draw(ENTRY_KINDS, random)! : draw(OTHER_KINDS, random)!
  const entry = Math.floor(random.next() * entries)
  const server = Math.floor(random.next() * servers)
  // Squared, so that most faults are short.
  const forMs = Math.round(MIN_FAULT_MS + random.next() ** 2 * (MAX_FAULT_MS - MIN_FAULT_MS))
  switch (kind) {
    case 'store': return { kind, how: draw(STORE_FAULTS, random), forMs }
    case 'backend': return { kind, server, how: draw(BACKEND_FAULTS, random), forMs }
    case 'change': return { kind, how: draw(CHANGES, random) }
    case 'press': return { kind, forMs }
    case 'kill-all':
    case 'roll': return { kind }
    case 'held-port': return { kind, entry, port: draw(PORT_NAMES, random), forMs }
    case 'hang-up':
    case 'noise': return { kind, entry, count: 1 + Math.floor(random.next() * 5) }
    default: return { kind, entry, forMs }
  }
}

/** All ports differ, except that the platform may assign the port that the template names for metrics. */
function drawPorts (random: Random): Plan['ports'] {
  const assigned = random.next() < 0.15 ? draw(['callers', 'ready', 'peers', 'directory'] as const, random)! : undefined
  return assigned === undefined ? PORTS : { ...PORTS, [assigned]: METRICS_PORT }
}

/** Formats a fault for the report. */
export function formatFault ({ at, ...fault }: Fault): string {
  return Object.values(fault).join(' ')
}
