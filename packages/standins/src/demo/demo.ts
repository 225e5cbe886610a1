/** The demo: a small deployment under load in one process, in which a zone is taken out, an entry stops and servers become slow. */
import type { Logger } from 'pino'
import { SeededRandom, type Document, type Invariant, type Service } from '@gooseberryspan/core'
import { checkSettings, startEntry, type EntryProcess } from '@gooseberryspan/entry'
import { ConfigurationStore, HttpClient, HttpStore, DefaultStoreProtocol } from '@gooseberryspan/store'
import { StandInBackend } from '../backend/standInBackend.js'
import { BackendCounts } from '../backend/backendCounts.js'
import { Caller, type EntryAddress } from '../caller/caller.js'
import { StoreServer } from '../store/storeServer.js'
import { trustDocument } from './documents.js'
import { ResultCollector, type DemoResult } from './resultCollector.js'

/** Options of the demo. */
export interface DemoOptions {
  seed: number
  seconds: number
  /** Whether the store is unreachable for some seconds in the middle of the run. */
  storeOutage: boolean
  log: Logger
  /** Receives a message about each step. */
  progress: (text: string) => void
}

/** No new request may arrive in a zone later than this after the zone was taken out. */
export const ZONE_OUT_BOUND_MS = 5000
const OUTAGE_MS = 10_000
const HOST = '127.0.0.1'
const ENTRIES_PER_ZONE = 2
const BACKEND_COUNT = 30
const SLOTS_PER_BACKEND = 2
const QUEUE_LENGTH_PER_BACKEND = 4
const MEAN_WORK_MS = 10
const CALLER_COUNT = 12
const MEAN_CALL_INTERVAL_MS = 30
const READY_POLL_INTERVAL_MS = 50
const READY_TIMEOUT_MS = 10_000
/** Backend servers become slow for a while: the slowdown factor, its duration, and the interval between two starts. */
const SLOW_PACE = 4
const SLOW_PERIOD_MS = 300
const SLOW_PERIOD_INTERVAL_MS = 60

/** Runs the demo once. */
export class Demo {
  private readonly _options: DemoOptions
  private readonly _random: SeededRandom
  private readonly _truth = new BackendCounts()
  private readonly _results: ResultCollector
  private readonly _backends: StandInBackend[] = []
  private readonly _entries: EntryProcess[] = []
  private readonly _violations: string[] = []
  private readonly _store: StoreServer
  private _storeUrl = ''
  private _document = trustDocument()
  private _callCount = 0
  private _running = true
  private _zoneOutAt = Infinity
  private _zoneInAt = Infinity

  constructor (options: DemoOptions) {
    this._options = options
    this._random = new SeededRandom(options.seed)
    this._results = new ResultCollector(this._truth)
    this._store = new StoreServer({ host: HOST, port: 0, random: this._random })
  }

  /** Runs for the requested time and returns the counts of the callers and the backend servers. */
  async run (): Promise<DemoResult> {
    await this._start()
    const load = this._runCallers()
    const slowdowns = this._slowDownBackends()
    await this._runEvents()
    this._running = false
    await Promise.all([load, slowdowns])
    const revisionKept = await this._isRevisionKept()
    this._stop()
    return this._results.result({ broken: this._violations, revisionKept })
  }

  private async _start (): Promise<void> {
    const { progress } = this._options
    this._storeUrl = await this._store.start()
    await this._startBackends()
    await this._applyDocument(this._document)
    progress(`${this._backends.length} backend servers, ${this._document.services.length} services, ${this._document.zones.length} zones`)
    for (const zone of this._document.zones) {
      for (let index = 0; index < ENTRIES_PER_ZONE; index++) await this._startEntry(`${zone.name}-entry-${index}`, zone.name)
    }
    await this._waitUntilReady()
    progress(`${this._entries.length} entries are ready`)
  }

  private async _startBackends (): Promise<void> {
    const { services, zones } = this._document
    for (let index = 0; index < BACKEND_COUNT; index++) {
      const service = services[index % services.length]!
      const zone = zones[Math.floor(index / services.length) % zones.length]!
      const backend = new StandInBackend({
        id: `${service.name}-${index}`,
        service: service.name,
        zone: zone.name,
        host: HOST,
        slots: SLOTS_PER_BACKEND,
        queue: QUEUE_LENGTH_PER_BACKEND,
        meanMs: MEAN_WORK_MS,
        coldPerSecond: service.coldPerSecond,
        coldMs: service.coldMs,
        random: this._random,
        truth: this._truth
      })
      await backend.start()
      this._backends.push(backend)
      this._register(backend)
    }
  }

  private _register (backend: StandInBackend): void {
    this._store.engine.put('servers', backend.id, JSON.stringify(backend.registration()))
  }

  private async _startEntry (instance: string, zone: string): Promise<void> {
    const seeds = this._entries.slice(0, 3).map((entry) => `${HOST}:${entry.ports.peers}`)
    const settings = checkSettings({
      instance,
      zone,
      callers: { address: `${HOST}:0` },
      directory: { keepSeconds: 1 },
      peers: { address: `${HOST}:0`, seeds },
      store: { url: this._storeUrl },
      stop: { lingerSeconds: 1 }
    })
    const broken = (invariant: Invariant, detail: string): void => {
      this._violations.push(`${instance}: ${invariant}: ${detail}`)
    }
    const log = this._options.log.child({ logger: instance })
    this._entries.push(await startEntry({ settings, log, seed: Math.floor(this._random.next() * 2 ** 32), broken }))
  }

  /** Waits until every entry accepts requests and has all other entries in its member list. */
  private async _waitUntilReady (): Promise<void> {
    const until = performance.now() + READY_TIMEOUT_MS
    const isReady = ({ node }: EntryProcess): boolean => node.ready && node.core.roster.alive.length === this._entries.length
    while (performance.now() < until) {
      if (this._entries.every(isReady)) return
      await pause(READY_POLL_INTERVAL_MS)
    }
    throw new Error('the entries were not ready in time')
  }

  private async _runEvents (): Promise<void> {
    const { seconds, progress, storeOutage } = this._options
    const tenthMs = seconds * 1000 / 10
    const zone = this._document.zones[1]!.name
    await pause(2 * tenthMs)
    if (storeOutage) this._interruptStore()
    else await this._takeZoneOut(zone)
    await pause(3.5 * tenthMs)
    const leaving = this._entries[0]!
    progress(`stopping ${leaving.node.core.roster.self.instance}`)
    const stopped = leaving.stop().then((graceful) => this._results.stopped(graceful))
    await pause(1 * tenthMs)
    if (!storeOutage) await this._putZoneBack(zone)
    await pause(3.5 * tenthMs)
    await stopped
  }

  private _interruptStore (): void {
    const outageMs = Math.min(OUTAGE_MS, this._options.seconds * 500)
    this._options.progress(`the store is unreachable for ${outageMs / 1000} s`)
    this._store.faults.outage = 'reset'
    setTimeout(() => {
      this._store.faults.outage = undefined
      this._options.progress('the store is reachable again')
    }, outageMs)
  }

  /** Makes randomly chosen servers slow for a while; about five of the 30 are slow at any time. */
  private async _slowDownBackends (): Promise<void> {
    while (this._running) {
      const backend = this._backends[Math.floor(this._random.next() * this._backends.length)]!
      backend.faults.pace = SLOW_PACE
      setTimeout(() => {
        backend.faults.pace = 1
      }, SLOW_PERIOD_MS)
      await pause(SLOW_PERIOD_INTERVAL_MS)
    }
  }

  private async _takeZoneOut (zone: string): Promise<void> {
    await this._applyDocument(withZone(this._document, zone, 'out'))
    this._zoneOutAt = performance.now()
    this._options.progress(`zone ${zone} was taken out`)
    setTimeout(() => this._checkZone(zone), ZONE_OUT_BOUND_MS)
  }

  /** Counts a violation whenever it finds a request that arrived in the zone after the bound, until the zone is put back. */
  private _checkZone (zone: string): void {
    const watch = setInterval(() => {
      if (this._zoneInAt < Infinity || !this._running) return clearInterval(watch)
      if (this._truth.lastArrivalAt(zone) > this._zoneOutAt + ZONE_OUT_BOUND_MS) this._results.zoneViolated()
    }, 20)
  }

  /** Puts the zone back into service; its servers are cold at first. */
  private async _putZoneBack (zone: string): Promise<void> {
    this._zoneInAt = performance.now()
    for (const backend of this._backends) if (backend.registration().zone === zone) backend.makeCold()
    await this._applyDocument(withZone(this._document, zone, 'in'))
    this._options.progress(`zone ${zone} was put back in`)
  }

  private async _applyDocument (document: Document): Promise<void> {
    const client = new HttpClient({ url: this._storeUrl, timeoutMs: 1000, requestsPerSecond: 50 })
    const store = new ConfigurationStore(new HttpStore(client, new DefaultStoreProtocol()))
    const revision = (await store.read())?.revision ?? 0
    const outcome = await store.change(document, revision, `demo-${revision + 1}`)
    client.close()
    if (outcome.kind !== 'accepted') throw new Error(`the configuration change was not accepted: ${outcome.kind}`)
    this._document = document
    this._results.accepted(outcome.revision)
  }

  private async _runCallers (): Promise<void> {
    const { zones } = this._document
    await Promise.all(Array.from({ length: CALLER_COUNT }, (_, index) => this._runCaller(zones[index % zones.length]!.name)))
  }

  private async _runCaller (zone: string): Promise<void> {
    const caller = new Caller({ zone, entryAddresses: () => this._knownAddresses(), random: this._random })
    const open = new Set<Promise<void>>()
    while (this._running) {
      const service = this._document.services[Math.floor(this._random.next() * this._document.services.length)]!
      const call = this._call(caller, service)
      open.add(call)
      void call.finally(() => open.delete(call))
      await pause(-Math.log(1 - this._random.next()) * MEAN_CALL_INTERVAL_MS)
    }
    await Promise.all(open)
    caller.close()
  }

  private _knownAddresses (): EntryAddress[] {
    return this._entries.map((entry) => ({ host: HOST, port: entry.ports.callers }))
  }

  private async _call (caller: Caller, service: Service): Promise<void> {
    const kind = service.kinds[Math.floor(this._random.next() * service.kinds.length)]!
    this._callCount += 1
    const name = `call-${this._callCount}`
    const body = kind.idempotent ? undefined : `order ${name}`
    this._results.recordCall(
      kind, name, await caller.call({ service: service.name, method: kind.methods[0]!, path: service.path, name, body })
    )
  }

  /** Whether the store and all running entries have the last accepted revision. */
  private async _isRevisionKept (): Promise<boolean> {
    const client = new HttpClient({ url: this._storeUrl, timeoutMs: 1000, requestsPerSecond: 50 })
    const stored = (await new ConfigurationStore(new HttpStore(client, new DefaultStoreProtocol())).read())?.revision
    client.close()
    const running = this._entries.slice(1).map((entry) => entry.node.core.declarations.revision)
    return stored === this._results.revision && running.every((revision) => revision === stored)
  }

  private _stop (): void {
    for (const entry of this._entries.slice(1)) entry.crash()
    for (const backend of this._backends) backend.stop()
    this._store.stop()
  }
}

function withZone (document: Document, name: string, state: 'in' | 'out'): Document {
  return { ...document, zones: document.zones.map((zone) => zone.name === name ? { ...zone, state } : zone) }
}

function pause (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
