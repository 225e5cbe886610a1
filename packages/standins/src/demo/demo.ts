/** The main job on embedded stand-ins: a small deployment under load, with a zone, an entry and servers coming and going. */
import type { Logger } from 'pino'
import { SeededRandom, type Document, type Invariant, type Service } from '@gooseberryspan/core'
import { checkSettings, startEntry, type EntryProcess } from '@gooseberryspan/entry'
import { ConfigurationStore, HttpClient, HttpStore, OwnProtocol } from '@gooseberryspan/store'
import { StandInBackend } from '../backend/backendServer.js'
import { BackendTruth } from '../backend/backendTruth.js'
import { Caller, type EntryAddress } from '../caller/caller.js'
import { StoreServer } from '../store/storeServer.js'
import { trustDocument } from './documents.js'
import { Tally, type DemoResult } from './tally.js'

/** What the demo is run with. */
export interface DemoOptions {
  seed: number
  seconds: number
  /** Whether the store is down for some seconds in the middle. */
  storeOutage: boolean
  log: Logger
  /** Told of each step. */
  progress: (text: string) => void
}

/** A zone that is out gets no new work after this time, in milliseconds. */
export const ZONE_OUT_BOUND_MS = 5000
const OUTAGE_MS = 10_000
const HOST = '127.0.0.1'
const ENTRIES_PER_ZONE = 2
const BACKENDS = 30
const SLOTS = 2
const QUEUE = 4
const MEAN_WORK_MS = 10
const CALLERS = 12
const GAP_MS = 30
const READY_POLL_MS = 50
const READY_MS = 10_000
/** A slow spell of a server: how slow, how long, and how often one begins among all. */
const SLOW_PACE = 4
const SPELL_MS = 300
const SPELL_GAP_MS = 60

/** Runs one demo from start to end. */
export class Demo {
  private readonly _options: DemoOptions
  private readonly _random: SeededRandom
  private readonly _truth = new BackendTruth()
  private readonly _tally: Tally
  private readonly _backends: StandInBackend[] = []
  private readonly _entries: EntryProcess[] = []
  private readonly _broken: string[] = []
  private readonly _store: StoreServer
  private _url = ''
  private _document = trustDocument()
  private _calls = 0
  private _running = true
  private _zoneOutAt = Infinity
  private _zoneInAt = Infinity

  constructor (options: DemoOptions) {
    this._options = options
    this._random = new SeededRandom(options.seed)
    this._tally = new Tally(this._truth)
    this._store = new StoreServer({ host: HOST, port: 0, random: this._random })
  }

  /** Runs for the time asked and reports what callers and backend servers saw. */
  async run (): Promise<DemoResult> {
    await this._start()
    const load = this._load()
    const spells = this._spells()
    await this._script()
    this._running = false
    await Promise.all([load, spells])
    const revisionKept = await this._revisionKept()
    this._stop()
    return this._tally.result({ broken: this._broken, revisionKept })
  }

  private async _start (): Promise<void> {
    const { progress } = this._options
    this._url = await this._store.start()
    await this._startBackends()
    await this._accept(this._document)
    progress(`${this._backends.length} backend servers, ${this._document.services.length} services, ${this._document.zones.length} zones`)
    for (const zone of this._document.zones) {
      for (let index = 0; index < ENTRIES_PER_ZONE; index++) await this._startEntry(`${zone.name}-entry-${index}`, zone.name)
    }
    await this._whenReady()
    progress(`${this._entries.length} entries are ready`)
  }

  private async _startBackends (): Promise<void> {
    const { services, zones } = this._document
    for (let index = 0; index < BACKENDS; index++) {
      const service = services[index % services.length]!
      const zone = zones[Math.floor(index / services.length) % zones.length]!
      const backend = new StandInBackend({
        id: `${service.name}-${index}`,
        service: service.name,
        zone: zone.name,
        host: HOST,
        slots: SLOTS,
        queue: QUEUE,
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
      store: { url: this._url },
      stop: { lingerSeconds: 1 }
    })
    const broken = (invariant: Invariant, detail: string): void => {
      this._broken.push(`${instance}: ${invariant}: ${detail}`)
    }
    const log = this._options.log.child({ logger: instance })
    this._entries.push(await startEntry({ settings, log, seed: Math.floor(this._random.next() * 2 ** 32), broken }))
  }

  /** Every entry takes requests and knows all others. */
  private async _whenReady (): Promise<void> {
    const until = performance.now() + READY_MS
    const isReady = ({ node }: EntryProcess): boolean => node.ready && node.core.roster.alive.length === this._entries.length
    while (performance.now() < until) {
      if (this._entries.every(isReady)) return
      await pause(READY_POLL_MS)
    }
    throw new Error('the entries did not come up in time')
  }

  private async _script (): Promise<void> {
    const { seconds, progress, storeOutage } = this._options
    const part = seconds * 1000 / 10
    const zone = this._document.zones[1]!.name
    await pause(2 * part)
    if (storeOutage) this._outage()
    else await this._takeOut(zone)
    await pause(3.5 * part)
    const leaving = this._entries[0]!
    progress(`stopping ${leaving.node.core.roster.self.instance}`)
    const stopped = leaving.stop().then((graceful) => this._tally.stopped(graceful))
    await pause(1 * part)
    if (!storeOutage) await this._bringBack(zone)
    await pause(3.5 * part)
    await stopped
  }

  private _outage (): void {
    const outageMs = Math.min(OUTAGE_MS, this._options.seconds * 500)
    this._options.progress(`the store is down for ${outageMs / 1000} s`)
    this._store.faults.outage = 'reset'
    setTimeout(() => {
      this._store.faults.outage = undefined
      this._options.progress('the store is back')
    }, outageMs)
  }

  /** Servers turn slow and fast again, a quarter of them at any time. */
  private async _spells (): Promise<void> {
    while (this._running) {
      const backend = this._backends[Math.floor(this._random.next() * this._backends.length)]!
      backend.faults.pace = SLOW_PACE
      setTimeout(() => {
        backend.faults.pace = 1
      }, SPELL_MS)
      await pause(SPELL_GAP_MS)
    }
  }

  private async _takeOut (zone: string): Promise<void> {
    await this._accept(withZone(this._document, zone, 'out'))
    this._zoneOutAt = performance.now()
    this._options.progress(`zone ${zone} is taken out`)
    setTimeout(() => this._watchZone(zone), ZONE_OUT_BOUND_MS)
  }

  /** After the bound, every arrival in the zone counts until it is back. */
  private _watchZone (zone: string): void {
    const watch = setInterval(() => {
      if (this._zoneInAt < Infinity || !this._running) return clearInterval(watch)
      if (this._truth.lastArrivalIn(zone) > this._zoneOutAt + ZONE_OUT_BOUND_MS) this._tally.zoneBroken()
    }, 20)
  }

  /** Its servers come back cold. */
  private async _bringBack (zone: string): Promise<void> {
    this._zoneInAt = performance.now()
    for (const backend of this._backends) if (backend.registration().zone === zone) backend.turnCold()
    await this._accept(withZone(this._document, zone, 'in'))
    this._options.progress(`zone ${zone} is back in`)
  }

  private async _accept (document: Document): Promise<void> {
    const client = new HttpClient({ url: this._url, timeoutMs: 1000, requestsPerSecond: 50 })
    const store = new ConfigurationStore(new HttpStore(client, new OwnProtocol()))
    const revision = (await store.read())?.revision ?? 0
    const outcome = await store.change(document, revision, `demo-${revision + 1}`)
    client.close()
    if (outcome.kind !== 'accepted') throw new Error(`the change was not accepted: ${outcome.kind}`)
    this._document = document
    this._tally.accepted(outcome.revision)
  }

  private async _load (): Promise<void> {
    const { zones } = this._document
    await Promise.all(Array.from({ length: CALLERS }, (_, index) => this._caller(zones[index % zones.length]!.name)))
  }

  private async _caller (zone: string): Promise<void> {
    const caller = new Caller({ zone, known: () => this._knownAddresses(), random: this._random })
    const open = new Set<Promise<void>>()
    while (this._running) {
      const service = this._document.services[Math.floor(this._random.next() * this._document.services.length)]!
      const call = this._call(caller, service)
      open.add(call)
      void call.finally(() => open.delete(call))
      await pause(-Math.log(1 - this._random.next()) * GAP_MS)
    }
    await Promise.all(open)
    caller.close()
  }

  private _knownAddresses (): EntryAddress[] {
    return this._entries.map((entry) => ({ host: HOST, port: entry.ports.callers }))
  }

  private async _call (caller: Caller, service: Service): Promise<void> {
    const kind = service.kinds[Math.floor(this._random.next() * service.kinds.length)]!
    this._calls += 1
    const name = `call-${this._calls}`
    const body = kind.idempotent ? undefined : `order ${name}`
    this._tally.called(kind, name, await caller.call({ service: service.name, method: kind.methods[0]!, path: service.path, name, body }))
  }

  /** No entry has gone back behind the last accepted revision. */
  private async _revisionKept (): Promise<boolean> {
    const client = new HttpClient({ url: this._url, timeoutMs: 1000, requestsPerSecond: 50 })
    const stored = (await new ConfigurationStore(new HttpStore(client, new OwnProtocol())).read())?.revision
    client.close()
    const running = this._entries.slice(1).map((entry) => entry.node.core.declarations.revision)
    return stored === this._tally.revision && running.every((revision) => revision === stored)
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
