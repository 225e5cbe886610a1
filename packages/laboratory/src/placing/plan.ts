/** One run of the placing model: a deployment, its load, and what goes wrong. */
import { SeededRandom } from '@gooseberryspan/core'
import type { BackendTraits } from './noisyBackend.js'

/** One kind of request. */
export interface KindPlan {
  name: string
  service: string
  /** Requests a second on a calm day. */
  perSecond: number
  workMs: number
  targetMs: number
  deadlineMs: number
  worth: number
  lateWorth: number
  priority: number
  repeatable: boolean
  /** How often a client tries again. */
  retries: number
}

/** One service. */
export interface ServicePlan {
  name: string
  /** Servers by zone. */
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

/** What goes wrong in a run. */
export type Trouble =
  | 'calm'
  /** Twice the load, a third of the servers taken out, a third dark, and clients that come back at once and often. */
  | 'heavy'
  /** The same with clients that come back when they are told to. */
  | 'short'
  | 'crowded'
  | 'entries-fail'
  | 'slow-third'
  | 'cold-zone'

/** A run. */
export interface RunPlan {
  site: SitePlan
  trouble: Trouble
  load: number
  seed: number
  runMs: number
}

/** One request of a client, the same for every way of placing. */
export interface Arrival {
  at: number
  kind: KindPlan
  zone: number
  workMs: number
  /** Time that the client waits, in milliseconds. */
  waitMs: number
}

const SPREAD = 0.3
/** Part of a kind's deadline by which clients differ. */
const PATIENCE_SPREAD = 0.15
const BURST = 2
const BURST_FROM = 0.25
const BURST_TO = 0.6

/** When the trouble of a run begins and ends, in milliseconds. */
export function troubleSpan (plan: RunPlan): [number, number] {
  return [plan.runMs * BURST_FROM, plan.runMs * BURST_TO]
}

/** Whether two thirds of the servers cannot be used. */
export function isShort (trouble: Trouble): boolean {
  return trouble === 'heavy' || trouble === 'short'
}

/** All arrivals of a run. */
export function drawArrivals (plan: RunPlan): Arrival[] {
  const random = new SeededRandom(plan.seed)
  const patience = new SeededRandom(plan.seed + 2)
  const arrivals: Arrival[] = []
  const [from, to] = troubleSpan(plan)
  const burst = isShort(plan.trouble) || plan.trouble === 'crowded' ? BURST : 1
  for (const kind of plan.site.kinds) {
    const calm = kind.perSecond * plan.load / 1000
    for (let at = 0; at < plan.runMs;) {
      const rate = at >= from && at < to ? calm * burst : calm
      at += -Math.log(1 - random.next()) / rate
      const zone = Math.floor(random.next() * plan.site.entries.length)
      const workMs = kind.workMs * Math.exp(SPREAD * normal(random) - SPREAD * SPREAD / 2)
      const waitMs = kind.deadlineMs * (1 - PATIENCE_SPREAD * patience.next())
      arrivals.push({ at, kind, zone, workMs, waitMs })
    }
  }
  return arrivals.sort((a, b) => a.at - b.at)
}

function normal (random: SeededRandom): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
}

const noise = (slots: number, slowShare: number, coldPerSecond: number): BackendTraits => ({
  slots, queue: 2 * slots, slowShare, slowFactor: 4, spellMs: 300, knee: 0.8, kneeFactor: 1.7, coldPerSecond, coldFactor: 2
})

type Figures = Pick<KindPlan, 'perSecond' | 'workMs' | 'targetMs' | 'deadlineMs' | 'retries'>

function safe (name: string, service: string, figures: Figures): KindPlan {
  return { name, service, worth: 1, lateWorth: 0.1, priority: 2, repeatable: true, ...figures }
}

function once (name: string, service: string, figures: Figures): KindPlan {
  return { name, service, worth: 2, lateWorth: 0.2, priority: 1, repeatable: false, ...figures }
}

/** The Trust's deployment. */
export function trustSite (): SitePlan {
  const traits = noise(2, 0.25, 6.7)
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
      safe('check', 'allocations', { perSecond: 52, workMs: 60, targetMs: 200, deadlineMs: 800, retries: 1 }),
      once('order', 'orders', { perSecond: 20, workMs: 78, targetMs: 250, deadlineMs: 1000, retries: 1 }),
      once('upload', 'sheets', { perSecond: 7, workMs: 72, targetMs: 300, deadlineMs: 1200, retries: 1 }),
      safe('view', 'returns', { perSecond: 12.5, workMs: 240, targetMs: 600, deadlineMs: 2500, retries: 1 })
    ]
  }
}

/** Ruta Verde's deployment. */
export function rutaVerdeSite (): SitePlan {
  const traits = noise(3, 0.35, 7.2)
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
      safe('status', 'status', { perSecond: 83.6, workMs: 90, targetMs: 250, deadlineMs: 2000, retries: 2 }),
      once('submit', 'filing', { perSecond: 41.8, workMs: 120, targetMs: 300, deadlineMs: 2500, retries: 2 }),
      once('invoice', 'intake', { perSecond: 8.5, workMs: 110, targetMs: 400, deadlineMs: 2500, retries: 2 }),
      safe('statement', 'archive', { perSecond: 14.3, workMs: 360, targetMs: 1000, deadlineMs: 6000, retries: 2 })
    ]
  }
}
