/** Simulates the placement of one run's requests in virtual time, with one of several strategies and the product's scheduler. */
import {
  FREQUENT_READINGS, Scheduler, SeededRandom, REDUCED_READINGS, type AttemptOutcome, type Grant, type LoadReport, type PlacementRequest,
  type Purpose, type Refusal, type RegisteredServer
} from '@gooseberryspan/core'
import { VirtualTime } from '../model/virtualTime.js'
import { SimulatedBackend, type Job } from './noisyBackend.js'
import { drawArrivals, lacksServers, faultPeriod, type Arrival, type RunPlan, type ServicePlan } from './plan.js'
import { OutcomeRecorder, type PlacingOutcome } from './tallySheet.js'

/** A placement strategy: which schedulers place requests, and which load readings they use. */
export interface PlacementStrategy {
  name: string
  /** Whether each service has one scheduler, or each entry schedules for itself. */
  schedulers: 'service' | 'entry'
  /** Number of load readings before each placement. */
  readings: number
  /** Whether the scheduler uses the less frequent readings of large deployments. */
  readsSeldom?: boolean
  /** Time in milliseconds after which an entry asks the next scheduler if the first does not answer. */
  schedulerTimeoutMs: number
  /** Whether the entry of the scheduler forwards the request to the server, which adds a network hop. */
  forwards: boolean
  hedges: boolean
}

/** The placement strategies that are compared. */
export const PLACEMENT_STRATEGIES: PlacementStrategy[] = [
  { name: 'own in flight, last answer', schedulers: 'entry', readings: 0, schedulerTimeoutMs: 0, forwards: false, hedges: false },
  { name: 'each entry reads 5 loads', schedulers: 'entry', readings: 5, schedulerTimeoutMs: 0, forwards: false, hedges: false },
  { name: 'strict holders', schedulers: 'service', readings: 0, schedulerTimeoutMs: 4600, forwards: true, hedges: false },
  { name: 'grants without readings', schedulers: 'service', readings: 0, schedulerTimeoutMs: 30, forwards: false, hedges: false },
  { name: 'grants after readings', schedulers: 'service', readings: 6, schedulerTimeoutMs: 30, forwards: false, hedges: false },
  { name: 'grants after readings, hedged', schedulers: 'service', readings: 6, schedulerTimeoutMs: 30, forwards: false, hedges: true },
  {
    name: 'grants after fewer readings',
    schedulers: 'service',
    readings: 4,
    readsSeldom: true,
    schedulerTimeoutMs: 30,
    forwards: false,
    hedges: true
  }
]

interface Entry {
  index: number
  zone: number
  frozenUntil: number
}

interface Call {
  arrival: Arrival
  deadlineAt: number
  arrivedAt: number
  clientRetries: number
  entry: Entry
  attempts: number
  open: Set<Attempt>
  done: boolean
  triedServers: string[]
  hedged: boolean
}

interface Attempt {
  id: string
  call: Call
  purpose: Purpose
  scheduler: Scheduler
  host: Entry
  backend?: SimulatedBackend
  job?: Job
  sentAt: number
  ended: boolean
}

const CLIENT_DELAY_MS = 1
const IN_ZONE_DELAY_MS = 0.2
const CROSS_ZONE_DELAY_MS = 1.5
const HEALTH_CHECK_MS = 1
const TICK_INTERVAL_MS = 5
const CONNECT_TIMEOUT_MS = 100
const PROBE_TIMEOUT_MS = 40
const HEDGE_FACTOR = 1.3
const FREEZE_DURATION_MS = 3500
const MAX_EAGER_CLIENT_RETRIES = 3
const UNREACHABLE_SCHEDULER_MS = 1000

/** Simulates one run. */
export class PlacingModel {
  private readonly _time = new VirtualTime()
  private readonly _random: SeededRandom
  private readonly _recorder: OutcomeRecorder
  private readonly _arrivals: Arrival[]
  private readonly _normalPaceMsDuringFault = new Map<string, number>()
  private readonly _entries: Entry[] = []
  private readonly _backends = new Map<string, SimulatedBackend>()
  private readonly _servers = new Map<string, RegisteredServer[]>()
  private readonly _schedulers = new Map<string, Scheduler>()
  private readonly _attempts = new Map<string, Attempt>()
  private readonly _skippedUntil = new Map<string, number>()
  private _evacuatedZone: number | undefined
  private _lastAttemptId = 0

  constructor (private readonly _plan: RunPlan, private readonly _strategy: PlacementStrategy) {
    this._random = new SeededRandom(_plan.seed + 1)
    this._recorder = new OutcomeRecorder(_plan)
    this._arrivals = drawArrivals(_plan)
    for (const [zone, count] of _plan.site.entries.entries()) {
      for (let index = 0; index < count; index++) this._entries.push({ index: this._entries.length, zone, frozenUntil: 0 })
    }
    for (const service of _plan.site.services) this._addService(service)
  }

  run (): PlacingOutcome {
    this._scheduleFaults()
    this._trackCapacity()
    for (const arrival of this._arrivals) {
      this._time.after(arrival.at, () => {
        this._recorder.arrived(arrival)
        this._arrive(arrival, arrival.at + arrival.waitMs, 0)
      })
    }
    this._tick()
    this._time.runUntil(this._plan.runDurationMs + 10_000)
    const overCold = [...this._backends.values()].reduce((total, backend) => total + backend.overCold, 0)
    return this._recorder.outcome(this._strategy.name, this._capacityPerSecond(), overCold)
  }

  private _addService (service: ServicePlan): void {
    const entries: RegisteredServer[] = []
    for (const [zone, count] of service.servers.entries()) {
      for (let index = 0; index < count; index++) {
        const id = `${service.name}-${zone}-${index}`
        const random = new SeededRandom(Math.floor(this._random.next() * 2 ** 31))
        this._backends.set(id, new SimulatedBackend(id, String(zone), service.traits, this._time, random))
        const place = { id, service: service.name, host: 'h', port: 1, zone: String(zone), slots: service.traits.slots }
        entries.push({ ...place, incarnation: '1', state: 'ready', coldMs: 0, version: 1 })
      }
    }
    this._servers.set(service.name, entries)
  }

  private _scheduleFaults (): void {
    const [from, to] = faultPeriod(this._plan)
    const { scenario } = this._plan
    const byZone = (zone: string): SimulatedBackend[] => [...this._backends.values()].filter((backend) => backend.zone === zone)
    if (lacksServers(scenario)) {
      this._time.after(from, () => {
        this._evacuatedZone = 1
        for (const scheduler of this._schedulers.values()) this._setServers(scheduler)
        for (const backend of byZone('2')) backend.isUnreachable = true
      })
      this._time.after(to, () => {
        for (const backend of byZone('2')) backend.isUnreachable = false
      })
    }
    if (scenario === 'entries-fail') {
      this._time.after(from, () => {
        for (const entry of this._entries) if (entry.index % 3 === 0) entry.frozenUntil = this._time.now + FREEZE_DURATION_MS
      })
    }
    if (scenario === 'slow-third') {
      for (const [at, slowness] of [[from, 8], [to, 1]] as const) {
        this._time.after(at, () => {
          for (const [index, backend] of [...this._backends.values()].entries()) if (index % 3 === 0) backend.slowdownFactor = slowness
        })
      }
    }
    if (scenario === 'cold-zone') this._time.after(from, () => byZone('0').forEach((backend) => backend.makeCold(3000)))
  }

  /** Answers per second that the reachable servers could have given in the fault period at their actual speeds with all slots in use. */
  private _capacityPerSecond (): number {
    const [from, to] = faultPeriod(this._plan)
    let capacity = 0
    for (const service of this._plan.site.services) {
      const kind = this._plan.site.kinds.find((item) => item.service === service.name)!
      const { slots, busyFactor } = service.traits
      const normalPaceMs = this._servers.get(service.name)!.reduce((total, { id }) => total + this._normalPaceMsDuringFault.get(id)!, 0)
      const arrivalCount = this._arrivals.filter((arrival) => arrival.kind === kind && arrival.at >= from && arrival.at < to).length
      capacity += Math.min(normalPaceMs * slots / (kind.workMs * busyFactor), arrivalCount) / (to - from) * 1000
    }
    return capacity
  }

  /** Records how much the reachable servers could have worked in the fault period. */
  private _trackCapacity (): void {
    const [from, to] = faultPeriod(this._plan)
    const reachable = (zone: string): boolean => !lacksServers(this._plan.scenario) || zone === '0'
    for (const [id, backend] of this._backends) {
      const before = { normalPaceMs: 0 }
      this._normalPaceMsDuringFault.set(id, 0)
      if (!reachable(backend.zone)) continue
      this._time.after(from, () => { before.normalPaceMs = backend.normalPaceMs() })
      this._time.after(to, () => this._normalPaceMsDuringFault.set(id, backend.normalPaceMs() - before.normalPaceMs))
    }
  }

  private _tick (): void {
    for (const scheduler of this._schedulers.values()) scheduler.tick(this._time.now)
    this._time.after(TICK_INTERVAL_MS, () => this._tick())
  }

  private _arrive (arrival: Arrival, deadlineAt: number, clientRetries: number): void {
    const entriesInZone = this._entries.filter((entry) => entry.zone === arrival.zone)
    const entry = entriesInZone[Math.floor(this._random.next() * entriesInZone.length)]!
    const startMs = Math.max(CLIENT_DELAY_MS, entry.frozenUntil - this._time.now)
    const arrivedAt = this._time.now + startMs
    const call: Call = {
      arrival, deadlineAt, arrivedAt, clientRetries, entry, attempts: 0, open: new Set(), done: false, triedServers: [], hedged: false
    }
    this._time.after(startMs, () => this._place(call, 'first'))
    this._time.after(deadlineAt - this._time.now, () => this._finish(call, 'failed'))
  }

  private _place (call: Call, purpose: Purpose, rank = 0): void {
    if (call.done) return
    const host = this._strategy.schedulers === 'entry' ? call.entry : this._schedulerEntry(call.arrival.kind.service, rank)
    this._lastAttemptId += 1
    const scheduler = this._schedulerAt(host, call.arrival.kind.service)
    const attempt: Attempt = { id: String(this._lastAttemptId), call, purpose, host, scheduler, sentAt: 0, ended: false }
    this._attempts.set(attempt.id, attempt)
    call.open.add(attempt)
    const delayMs = networkDelayMs(call.entry.zone, host.zone, call.entry === host)
    const frozen = host.frozenUntil > this._time.now
    if (frozen) {
      const schedulerTimeoutMs = Math.min(this._strategy.schedulerTimeoutMs, host.frozenUntil - this._time.now)
      this._skippedUntil.set(`${host.index}`, this._time.now + UNREACHABLE_SCHEDULER_MS)
      this._time.after(schedulerTimeoutMs, () => {
        if (attempt.ended) return
        this._endAttempt(attempt)
        this._place(call, purpose, rank + 1)
      })
      return
    }
    this._time.after(delayMs, () => attempt.scheduler.place(this._placementRequest(attempt), this._time.now))
  }

  private _placementRequest (attempt: Attempt): PlacementRequest {
    const { call } = attempt
    const { kind } = call.arrival
    return {
      id: attempt.id,
      label: attempt.id,
      service: kind.service,
      cell: kind.service,
      route: kind.name,
      purpose: attempt.purpose,
      priority: kind.priority,
      targetAt: call.arrivedAt + kind.targetMs,
      deadlineAt: call.deadlineAt - CLIENT_DELAY_MS,
      waitMs: call.deadlineAt - call.arrivedAt,
      targetMs: kind.targetMs,
      avoid: call.triedServers,
      zone: String(call.entry.zone),
      bodyBytes: 0
    }
  }

  private _schedulerEntry (service: string, rank: number): Entry {
    const start = [...this._servers.keys()].indexOf(service) * 5 + rank
    for (let step = 0; step < this._entries.length; step++) {
      const entry = this._entries[(start + step) % this._entries.length]!
      if (rank === 0 && step === 0 && this._strategy.schedulerTimeoutMs > 1000) return entry
      if ((this._skippedUntil.get(`${entry.index}`) ?? 0) <= this._time.now) return entry
    }
    return this._entries[start % this._entries.length]!
  }

  private _schedulerAt (host: Entry, service: string): Scheduler {
    const key = `${host.index}/${service}`
    let scheduler = this._schedulers.get(key)
    if (!scheduler) {
      const { readings, readsSeldom } = this._strategy
      const measuring = { ...readsSeldom ? REDUCED_READINGS : FREQUENT_READINGS, readings }
      const loadShare = this._strategy.schedulers === 'entry' ? 1 / this._entries.length : 0.33
      const { coldPerSecond } = this._plan.site.services.find((item) => item.name === service)!.traits
      scheduler = new Scheduler({
        service,
        retry: { ratio: 0.2, slack: 56, windowMs: 10_000 },
        cold: () => ({ perSecond: coldPerSecond, overage: 1.5, slack: 5 }),
        share: () => loadShare,
        loadReadingPolicy: () => measuring,
        listener: {
          granted: (grant) => this._granted(grant),
          refused: (refusal) => this._refused(refusal),
          probe: (server) => this._probe(host, service, server)
        }
      })
      this._schedulers.set(key, scheduler)
      this._setServers(scheduler, service)
    }
    return scheduler
  }

  private _setServers (scheduler: Scheduler, service?: string): void {
    const name = service ?? [...this._schedulers].find(([, item]) => item === scheduler)![0].split('/')[1]!
    const usable = this._servers.get(name)!.filter((server) => Number(server.zone) !== this._evacuatedZone)
    scheduler.setServers(usable, this._time.now)
  }

  private _probe (host: Entry, service: string, server: RegisteredServer): void {
    const backend = this._backends.get(server.id)!
    this._recorder.probes += 1
    const scheduler = this._schedulerAt(host, service)
    if (backend.isUnreachable) return this._time.after(PROBE_TIMEOUT_MS, () => scheduler.probed(server.id, undefined, this._time.now))
    const delayMs = networkDelayMs(host.zone, Number(backend.zone), false)
    this._time.after(delayMs + HEALTH_CHECK_MS / 2, () => {
      const answer = backend.probe()
      this._time.after(delayMs, () => scheduler.probed(server.id, backend.isUnreachable ? undefined : answer, this._time.now))
    })
  }

  private _granted ({ request, server, expectedMs }: Grant): void {
    const attempt = this._attempts.get(request.id)!
    const delayMs = networkDelayMs(attempt.host.zone, attempt.call.entry.zone, attempt.host === attempt.call.entry)
    this._time.after(delayMs, () => this._send(attempt, server, expectedMs))
  }

  private _send (attempt: Attempt, server: RegisteredServer, expectedMs: number): void {
    const { call } = attempt
    if (call.done || attempt.ended) return this._report(attempt, server.id, 'unused', undefined)
    const backend = this._backends.get(server.id)!
    attempt.backend = backend
    attempt.sentAt = this._time.now
    call.attempts += 1
    if (attempt.purpose !== 'first') this._recorder.further += 1
    call.triedServers = [...call.triedServers, server.id]
    const delayMs = networkDelayMs(call.entry.zone, Number(backend.zone), false)
    if (backend.isUnreachable) {
      this._time.after(CONNECT_TIMEOUT_MS, () => this._attemptEnded(attempt, server.id, 'unreachable', undefined))
      return
    }
    const job: Job = {
      workMs: call.arrival.workMs,
      ended: (end, load) => this._time.after(
        delayMs, () => this._attemptEnded(attempt, server.id, end === 'done' ? 'answered' : 'shed', load)
      )
    }
    attempt.job = job
    this._time.after(delayMs, () => backend.accept(job))
    if (this._strategy.hedges && call.arrival.kind.repeatable && !call.hedged) {
      this._time.after(expectedMs * HEDGE_FACTOR, () => {
        if (call.done || attempt.ended || call.hedged) return
        call.hedged = true
        this._place(call, 'hedge')
      })
    }
  }

  private _attemptEnded (attempt: Attempt, server: string, outcome: AttemptOutcome, load: LoadReport | undefined): void {
    if (attempt.ended) return
    this._report(attempt, server, outcome, load)
    const { call } = attempt
    if (call.done) return
    if (outcome === 'answered') return this._finish(call, 'answered')
    if (call.open.size > 0) return
    if (call.attempts < 2 || outcome === 'unreachable') return this._place(call, 'retry')
    this._finish(call, 'refused')
  }

  private _report (attempt: Attempt, server: string, outcome: AttemptOutcome, load: LoadReport | undefined): void {
    this._endAttempt(attempt)
    const { host, call, scheduler } = attempt
    const tookMs = this._time.now - attempt.sentAt
    const delayMs = networkDelayMs(host.zone, call.entry.zone, host === call.entry)
    const route = call.arrival.kind.name
    this._time.after(delayMs, () => scheduler.report(attempt.id, server, route, { outcome, tookMs, load }, this._time.now))
  }

  private _refused ({ request, retryAfterMs }: Refusal): void {
    const attempt = this._attempts.get(request.id)!
    const { call, host } = attempt
    this._time.after(networkDelayMs(host.zone, call.entry.zone, host === call.entry), () => {
      if (attempt.ended) return
      this._endAttempt(attempt)
      if (call.open.size === 0) this._finish(call, 'refused', retryAfterMs)
    })
  }

  private _finish (call: Call, end: 'answered' | 'refused' | 'failed', retryAfterMs = 0): void {
    if (call.done) return
    call.done = true
    for (const attempt of call.open) this._cancel(attempt)
    const { arrival, clientRetries } = call
    if (end === 'answered') return this._recorder.answered(arrival, this._time.now + CLIENT_DELAY_MS)
    const retriesEagerly = this._plan.scenario === 'heavy'
    const mayRetry = end === 'refused' || arrival.kind.repeatable
    const leftMs = call.deadlineAt - this._time.now
    if (mayRetry && clientRetries < (retriesEagerly ? MAX_EAGER_CLIENT_RETRIES : arrival.kind.maxClientRetries) && leftMs > 5) {
      const pauseMs = retriesEagerly ? 1 : Math.min(retryAfterMs, leftMs / 3)
      this._time.after(pauseMs, () => this._arrive(arrival, call.deadlineAt, clientRetries + 1))
      return
    }
    this._recorder.unanswered(end === 'refused')
  }

  private _cancel (attempt: Attempt): void {
    if (attempt.ended) return
    if (attempt.backend) {
      if (attempt.job) attempt.backend.cancel(attempt.job)
      return this._report(attempt, attempt.backend.id, 'cancelled', undefined)
    }
    this._endAttempt(attempt)
    attempt.scheduler.withdraw(attempt.id)
  }

  private _endAttempt (attempt: Attempt): void {
    attempt.ended = true
    attempt.call.open.delete(attempt)
  }
}

/** One-way network delay between two zones, in milliseconds; none within one process. */
function networkDelayMs (from: number, to: number, same: boolean): number {
  if (same) return 0
  return from === to ? IN_ZONE_DELAY_MS : CROSS_ZONE_DELAY_MS
}
