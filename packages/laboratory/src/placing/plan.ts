/** The input of one run of the placing model: a deployment, its load, and the faults that occur. */
import { SeededRandom } from '@gooseberryspan/core'
import type { BackendTraits } from './noisyBackend.js'

/** One kind of request. */
export interface KindPlan {
  name: string
  service: string
  /** Requests per second without a burst, at load factor 1. */
  perSecond: number
  workMs: number
  targetMs: number
  deadlineMs: number
  credit: number
  lateCredit: number
  priority: number
  repeatable: boolean
  /** How often a client sends the request again after it was refused or failed. */
  maxClientRetries: number
}

/** One service. */
export interface ServicePlan {
  name: string
  /** Number of servers in each zone. */
  servers: number[]
  traits: BackendTraits
}

/** A deployment. */
export interface SitePlan {
  name: string
  entries: number[]
  kinds: KindPlan[]
  services: ServicePlan[]
}

/** The faults and the load of a run. */
export type Scenario =
  | 'calm'
  /** Twice the load, one zone evacuated, the servers of another zone unreachable, and clients that retry at once and often. */
  | 'heavy'
  /** The same, but clients retry after the time that the response states. */
  | 'short'
  | 'crowded'
  | 'entries-fail'
  | 'slow-third'
  | 'cold-zone'

/** The parameters of a run. */
export interface RunPlan {
  site: SitePlan
  scenario: Scenario
  load: number
  seed: number
  runDurationMs: number
}

/** One client request. All placement strategies get the same requests. */
export interface Arrival {
  at: number
  kind: KindPlan
  zone: number
  workMs: number
  /** Time until the client gives up, in milliseconds. */
  waitMs: number
}

const WORK_LOG_STDDEV = 0.3
/** Largest fraction of a kind's deadline by which a client gives up earlier. */
const CLIENT_TIMEOUT_SPREAD_FRACTION = 0.15
const BURST_LOAD_FACTOR = 2
const FAULT_START_FRACTION = 0.25
const FAULT_END_FRACTION = 0.6

/** Start and end of the faults and the burst of a run, in milliseconds. */
export function faultPeriod (plan: RunPlan): [number, number] {
  return [plan.runDurationMs * FAULT_START_FRACTION, plan.runDurationMs * FAULT_END_FRACTION]
}

/** Whether the servers of two of the three zones cannot be used during the fault period. */
export function lacksServers (trouble: Scenario): boolean {
  return trouble === 'heavy' || trouble === 'short'
}

/** Generates all arrivals of a run, in the order of their times. */
export function drawArrivals (plan: RunPlan): Arrival[] {
  const random = new SeededRandom(plan.seed)
  const clientTimeoutRandom = new SeededRandom(plan.seed + 2)
  const arrivals: Arrival[] = []
  const [from, to] = faultPeriod(plan)
  const burst = lacksServers(plan.scenario) || plan.scenario === 'crowded' ? BURST_LOAD_FACTOR : 1
  for (const kind of plan.site.kinds) {
    const normalRate = kind.perSecond * plan.load / 1000
    for (let at = 0; at < plan.runDurationMs;) {
      const rate = at >= from && at < to ? normalRate * burst : normalRate
      at += -Math.log(1 - random.next()) / rate
      const zone = Math.floor(random.next() * plan.site.entries.length)
      const workMs = kind.workMs * Math.exp(WORK_LOG_STDDEV * drawNormal(random) - WORK_LOG_STDDEV * WORK_LOG_STDDEV / 2)
      const waitMs = kind.deadlineMs * (1 - CLIENT_TIMEOUT_SPREAD_FRACTION * clientTimeoutRandom.next())
      arrivals.push({ at, kind, zone, workMs, waitMs })
    }
  }
  return arrivals.sort((a, b) => a.at - b.at)
}

function drawNormal (random: SeededRandom): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
}

const noisyTraits = (slots: number, slowShare: number, coldPerSecond: number): BackendTraits => ({
  slots,
  maxWaiting: 2 * slots,
  slowRatio: slowShare,
  slowFactor: 4,
  periodMs: 300,
  busyRatio: 0.8,
  busyFactor: 1.7,
  coldPerSecond,
  coldFactor: 2
})

type KindFigures = Pick<KindPlan, 'perSecond' | 'workMs' | 'targetMs' | 'deadlineMs' | 'maxClientRetries'>

function repeatableKind (name: string, service: string, figures: KindFigures): KindPlan {
  return { name, service, credit: 1, lateCredit: 0.1, priority: 2, repeatable: true, ...figures }
}

function nonRepeatableKind (name: string, service: string, figures: KindFigures): KindPlan {
  return { name, service, credit: 2, lateCredit: 0.2, priority: 1, repeatable: false, ...figures }
}

/** A model of the Trust's deployment. */
export function trustSite (): SitePlan {
  const traits = noisyTraits(2, 0.25, 6.7)
  return {
    name: 'trust',
    entries: [6, 3, 3],
    services: [
      { name: 'allocations', servers: [4, 2, 3], traits },
      { name: 'orders', servers: [2, 3, 1], traits },
      { name: 'sheets', servers: [2, 3, 1], traits },
      { name: 'returns', servers: [3, 3, 3], traits }
    ],
    kinds: [
      repeatableKind('check', 'allocations', { perSecond: 52, workMs: 60, targetMs: 200, deadlineMs: 800, maxClientRetries: 1 }),
      nonRepeatableKind('order', 'orders', { perSecond: 20, workMs: 78, targetMs: 250, deadlineMs: 1000, maxClientRetries: 1 }),
      nonRepeatableKind('upload', 'sheets', { perSecond: 7, workMs: 72, targetMs: 300, deadlineMs: 1200, maxClientRetries: 1 }),
      repeatableKind('view', 'returns', { perSecond: 12.5, workMs: 240, targetMs: 600, deadlineMs: 2500, maxClientRetries: 1 })
    ]
  }
}

/** A model of Ruta Verde's deployment. */
export function rutaVerdeSite (): SitePlan {
  const traits = noisyTraits(3, 0.35, 7.2)
  return {
    name: 'ruta-verde',
    entries: [6, 6, 6],
    services: [
      { name: 'status', servers: [6, 4, 5], traits },
      { name: 'filing', servers: [4, 3, 3], traits },
      { name: 'intake', servers: [3, 2, 1], traits },
      { name: 'archive', servers: [4, 4, 2], traits }
    ],
    kinds: [
      repeatableKind('status', 'status', { perSecond: 83.6, workMs: 90, targetMs: 250, deadlineMs: 2000, maxClientRetries: 2 }),
      nonRepeatableKind('submit', 'filing', { perSecond: 41.8, workMs: 120, targetMs: 300, deadlineMs: 2500, maxClientRetries: 2 }),
      nonRepeatableKind('invoice', 'intake', { perSecond: 8.5, workMs: 110, targetMs: 400, deadlineMs: 2500, maxClientRetries: 2 }),
      repeatableKind('statement', 'archive', { perSecond: 14.3, workMs: 360, targetMs: 1000, deadlineMs: 6000, maxClientRetries: 2 })
    ]
  }
}
