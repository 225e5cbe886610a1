/** What one run of the load model is made of: a deployment, a load, and what goes wrong. */
import { SeededRandom, type Document, type Kind, type Service } from '@gooseberryspan/core'
import { drawWorkMs, MEAN_WORK_MS, ModelServer } from './modelServer.js'
import type { VirtualTime } from './virtualTime.js'

/** What goes wrong in the middle of a run. */
export type Trouble = 'none' | 'slow-server' | 'sudden-cold' | 'zone-out'

/** One run. */
export interface Scenario {
  deployment: string
  document: Document
  servers: number
  entriesPerZone: number
  /** Offered load as a share of what all slots bear. */
  load: number
  trouble: Trouble
  seed: number
  warmUpMs: number
  runMs: number
}

/** One request of a caller, the same for every policy. */
export interface ModelCall {
  id: number
  at: number
  caller: number
  service: Service
  kind: Kind
  workMs: number
}

const CALLERS = 60

/** Servers of a deployment, dealt over services and zones in turn. */
export function buildServers (scenario: Scenario, time: VirtualTime): ModelServer[] {
  const { services, zones } = scenario.document
  return Array.from({ length: scenario.servers }, (_, index) => {
    const service = services[index % services.length]!
    const zone = zones[Math.floor(index / services.length) % zones.length]!
    return new ModelServer(time, {
      id: `${service.name}-${index}`,
      service: service.name,
      zone: zone.name,
      slots: service.slots,
      coldLimit: service.coldLimit,
      warmAfter: service.warmCompletions,
      warm: true
    })
  })
}

/** Requests a millisecond that all slots together bear. */
export function capacityOf (scenario: Scenario): number {
  let slots = 0
  const { services } = scenario.document
  for (let index = 0; index < scenario.servers; index++) slots += services[index % services.length]!.slots
  return slots / MEAN_WORK_MS
}

/** All arrivals of a run in the order of time. Each service is offered its servers' share. */
export function drawCalls (scenario: Scenario): ModelCall[] {
  const random = new SeededRandom(scenario.seed)
  const rate = capacityOf(scenario) * scenario.load
  const calls: ModelCall[] = []
  const { services } = scenario.document
  for (let at = 0, id = 1; at < scenario.warmUpMs + scenario.runMs; id++) {
    at += -Math.log(1 - random.next()) / rate
    const service = services[Math.floor(random.next() * scenario.servers) % services.length]!
    const kind = service.kinds[Math.floor(random.next() * service.kinds.length)]!
    calls.push({ id, at, caller: Math.floor(random.next() * CALLERS), service, kind, workMs: drawWorkMs(random) })
  }
  return calls
}

/** Lets the trouble happen a third of the way into the measured time, and end at two thirds. */
export function arrangeTrouble (scenario: Scenario, servers: ModelServer[], time: VirtualTime): void {
  const start = scenario.warmUpMs + scenario.runMs / 3
  const firsts = scenario.document.services.map((service) => servers.find((server) => server.service === service.name)!)
  if (scenario.trouble === 'slow-server') {
    time.after(start, () => { firsts[0]!.slowFactor = 5 })
    time.after(start + scenario.runMs / 3, () => { firsts[0]!.slowFactor = 1 })
  }
  if (scenario.trouble === 'sudden-cold') {
    time.after(start, () => {
      for (const server of firsts) server.turnCold()
    })
  }
}
