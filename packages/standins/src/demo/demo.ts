/** The main job on embedded stand-ins: a small deployment under load, with a zone and an entry leaving. */
import type { Logger } from 'pino'
import { SeededRandom, type Document, type Invariant, type Service } from '@gooseberryspan/core'
import { checkSettings, startEntry, type EntryProcess } from '@gooseberryspan/entry'
import { ConfigurationStore, HttpPlatform } from '@gooseberryspan/platform'
import { StandInBackend } from '../backend/backendServer.js'
import { BackendTruth } from '../backend/backendTruth.js'
import { Caller } from '../caller/caller.js'
import { PlatformServer } from '../platform/platformServer.js'
import { trustDocument } from './documents.js'
import { Tally, type DemoResult } from './tally.js'

/** What the demo is run with. */
export interface DemoOptions {
  seed: number
  seconds: number
  /** Whether the table service is down for some seconds in the middle. */
  platformOutage: boolean
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
const MEAN_WORK_MS = 10
const CALLERS = 12
const GAP_MS = 30
const READY_POLL_MS = 50
const READY_MS = 10_000

/** Runs one demo from start to end. */
export class Demo {
  private readonly _options: DemoOptions
  private readonly _random: SeededRandom
  private readonly _truth = new BackendTruth()
  private readonly _tally: Tally
  private readonly _backends: StandInBackend[] = []
  private readonly _entries: EntryProcess[] = []
  private readonly _broken: string[] = []
  private _platform!: PlatformServer
  private _url = ''
  private _document = trustDocument()
  private _marks = 0
  private _running = true
  private _zoneOutAt = Infinity
  private _zoneInAt = Infinity

  constructor (options: DemoOptions) {
    this._options = options
    this._random = new SeededRandom(options.seed)
    this._tally = new Tally(this._truth)
  }

  /** Runs for the time asked and reports what callers and backend servers saw. */
  async run (): Promise<DemoResult> {
    await this._start()
    const load = this._load()
    await this._script()
    this._running = false
    await load
    const revision = await this._revisionKept()
    await this._stop()
    return this._tally.result({ broken: this._broken, revisionKept: revision })
  }

  private async _start (): Promise<void> {
    const { progress } = this._options
    this._platform = new PlatformServer({ host: HOST, port: 0, lagMs: 500, random: this._random })
    this._url = await this._platform.start()
    await this._startBackends()
    await this._accept(this._document)
    progress(`${this._backends.length} backend servers, ${this._document.services.length} services, ${this._document.zones.length} zones`)
    for (const zone of this._document.zones) {
      for (let index = 0; index < ENTRIES_PER_ZONE; index++) await this._startEntry(`${zone.name}-entry-${index}`, zone.name, zone.region)
    }
    await this._whenReady()
    progress(`${this._entries.length} entries hold all servers`)
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
        slots: service.slots,
        coldLimit: service.coldLimit,
        warmAfter: service.warmCompletions,
        meanMs: MEAN_WORK_MS,
        random: this._random,
        truth: this._truth
      })
      await backend.start()
      this._backends.push(backend)
      this._platform.instances.put(backend.listed())
    }
  }

  private async _startEntry (instance: string, zone: string, region: string): Promise<void> {
    const settings = checkSettings({
      instance,
      zone,
      region,
      host: HOST,
      callers: { port: 0 },
      peers: { port: 0 },
      platform: { url: this._url, listMs: 1000 }
    })
    const broken = (invariant: Invariant, detail: string): void => {
      this._broken.push(`${instance}: ${invariant}: ${detail}`)
    }
    this._entries.push(await startEntry({ settings, log: this._options.log, seed: Math.floor(this._random.next() * 2 ** 32), broken }))
  }

  /** Every backend server has a holder. */
  private async _whenReady (): Promise<void> {
    const until = performance.now() + READY_MS
    while (performance.now() < until) {
      let held = 0
      for (const entry of this._entries) held += entry.node.core.holdings.servers.size
      if (held === this._backends.length && this._entries.every((entry) => entry.node.ready)) return
      await pause(READY_POLL_MS)
    }
    throw new Error('the entries did not come up in time')
  }

  private async _script (): Promise<void> {
    const { seconds, progress, platformOutage } = this._options
    const part = seconds * 1000 / 10
    const zone = this._document.zones[1]!.name
    await pause(2 * part)
    if (platformOutage) this._outage()
    else await this._takeOut(zone)
    await pause(3.5 * part)
    const leaving = this._entries[0]!
    progress(`stopping ${leaving.node.core.membership.identity.instance}`)
    const stopped = leaving.stop().then((graceful) => this._tally.stopped(graceful))
    await pause(1 * part)
    if (!platformOutage) await this._bringBack(zone)
    await pause(3.5 * part)
    await stopped
  }

  private _outage (): void {
    const outageMs = Math.min(OUTAGE_MS, this._options.seconds * 500)
    this._options.progress(`table service is down for ${outageMs / 1000} s`)
    this._platform.tableFaults.down = true
    setTimeout(() => {
      this._platform.tableFaults.down = false
      this._options.progress('table service is back')
    }, outageMs)
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

  private async _bringBack (zone: string): Promise<void> {
    this._zoneInAt = performance.now()
    await this._accept(withZone(this._document, zone, 'in'))
    this._options.progress(`zone ${zone} is back in`)
  }

  private async _accept (document: Document): Promise<void> {
    const platform = new HttpPlatform({ url: this._url, timeoutMs: 1000, requestsPerSecond: 50 })
    const store = new ConfigurationStore(platform.tables)
    const revision = (await store.read())?.revision ?? 0
    const outcome = await store.change(document, revision, `demo-${revision + 1}`)
    platform.close()
    if (outcome.kind !== 'accepted') throw new Error(`the change was not accepted: ${outcome.kind}`)
    this._document = document
    this._tally.accepted(outcome.revision)
  }

  private async _load (): Promise<void> {
    const callers = Array.from({ length: CALLERS }, (_, index) => this._caller(`caller-${index}`))
    await Promise.all(callers)
  }

  private async _caller (name: string): Promise<void> {
    const caller = new Caller({ name, known: () => this._knownAddresses(), random: this._random })
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

  private _knownAddresses (): Array<{ host: string, port: number }> {
    return this._entries.map((entry) => ({ host: HOST, port: entry.node.core.membership.identity.port }))
  }

  private async _call (caller: Caller, service: Service): Promise<void> {
    const kind = service.kinds[Math.floor(this._random.next() * service.kinds.length)]!
    this._marks += 1
    const mark = `m${this._marks}`
    const order = !kind.idempotent
    const result = await caller.call({
      service: service.name,
      method: kind.methods[0]!,
      path: service.path,
      mark,
      body: order ? `order ${mark}` : undefined,
      idempotencyKey: order && this._marks % 2 === 0 ? mark : undefined
    })
    this._tally.called(kind, mark, result)
  }

  /** No entry has gone back behind the last accepted revision. */
  private async _revisionKept (): Promise<boolean> {
    const platform = new HttpPlatform({ url: this._url, timeoutMs: 1000, requestsPerSecond: 50 })
    const stored = (await new ConfigurationStore(platform.tables).read())?.revision
    platform.close()
    const running = this._entries.slice(1).map((entry) => entry.node.core.revisions.revision)
    return stored === this._tally.revision && running.every((revision) => revision === stored)
  }

  private async _stop (): Promise<void> {
    await Promise.all(this._entries.slice(1).map(async (entry) => entry.crash()))
    for (const backend of this._backends) backend.stop()
    this._platform.stop()
  }
}

function withZone (document: Document, name: string, state: 'in' | 'out'): Document {
  return { ...document, zones: document.zones.map((zone) => zone.name === name ? { ...zone, state } : zone) }
}

function pause (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
