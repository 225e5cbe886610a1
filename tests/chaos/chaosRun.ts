/** A fault soak with real processes: starts everything, plays the plan of faults, and checks promises meanwhile and at the end. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { SeededRandom } from '@gooseberryspan/core'
import { BackendServer } from './backendServer.js'
import { Caller, type Behaviour } from './caller.js'
import { entryCommand } from './deployFiles.js'
import { Disturbances } from './disturbances.js'
import { EntryInstance, MEMORY_MEGABYTES, READY_BOUND_MS } from './entryInstance.js'
import { MAX_DESCRIPTORS } from './entryProcess.js'
import { Gateway, SERVICES, ZONES } from './gateway.js'
import { Injector } from './injector.js'
import { Ledger, type RunContext } from './ledger.js'
import { drawPlan, type PlanOptions } from './plan.js'
import { PlatformStore } from './platformStore.js'
import { Report } from './report.js'

/** Options of a run. */
export interface ChaosOptions extends PlanOptions {
  /** Folder with the deploy file and the bundled program. */
  root: string
  /** Limits the entries to their part of a core by stopping and continuing them in turns. */
  shareCore: boolean
}

/** The bounds that the settings template reads. */
const BOUNDS = { retry_budget_ratio: 0.2, retry_budget_slack: 56, budget_window_s: 10, warmup_overage: 1.5, warmup_slack: 5, grace_s: 6 }
const CORE_SHARE = 0.54
const CORE_PERIOD_MS = 50
const MAX_SEEDS = 3
const WATCH_INTERVAL_MS = 150
/** Calm before the final planned stop, so that no earlier fault excuses a request that it cuts. Longer than any deadline. */
const CALM_MS = 3200
const FINAL_LOAD_MS = 800
const SERVED_TRIES = 10
const TRY_GAP_MS = 500
const PRESSING_CALLERS = 25
const BEHAVIOURS: readonly Behaviour[] = [
  'regular', 'regular', 'regular', 'regular', 'regular', 'regular', 'pipelining', 'uploading', 'slow-reading', 'leaving', 'malformed'
]
/** Callers of each run, and additional ones for each entry. */
const BASE_CALLERS = BEHAVIOURS.length
const ENTRIES_PER_CALLER = 2

/** One run. */
export class ChaosRun {
  readonly report = new Report()
  readonly ledger: Ledger
  private readonly _options: ChaosOptions
  private readonly _context: RunContext
  private readonly _folder = mkdtempSync(join(tmpdir(), 'chaos-'))
  private readonly _store: PlatformStore
  private readonly _servers: BackendServer[] = []
  private readonly _instances: EntryInstance[] = []
  private readonly _callers: Caller[] = []
  private readonly _timers: NodeJS.Timeout[] = []

  constructor (options: ChaosOptions) {
    this._options = options
    const random = new SeededRandom(options.seed + 1)
    const disturbances = new Disturbances()
    this.ledger = new Ledger(this.report, disturbances)
    this._context = { report: this.report, ledger: this.ledger, disturbances, random }
    this._store = new PlatformStore(random)
  }

  /** Plays the run and ends all that it started. */
  async play (): Promise<Report> {
    try {
      await this._play()
    } finally {
      await this._end()
    }
    return this.report
  }

  /** Ends all processes at once, when this program is interrupted. */
  abort (): void {
    for (const instance of this._instances) instance.abort()
    rmSync(this._folder, { recursive: true, force: true })
  }

  private async _play (): Promise<void> {
    const { report } = this
    const plan = drawPlan(this._options)
    const gateway = new Gateway(this._store)
    // Other runs on this machine use other addresses.
    const net = `127.${1 + process.pid % 250}.${1 + (process.pid >> 8) % 250}`
    await this._store.start(`${net}.250`)
    gateway.write()
    await this._startServers(`${net}.251`)
    this._prepareInstances(net, plan.ports)
    const injector = new Injector({
      ...this._context,
      instances: this._instances,
      servers: this._servers,
      store: this._store,
      gateway,
      press: (forMs) => this._press(forMs)
    })
    if (plan.takenMetricsPort !== undefined) {
      report.note(`another process holds the metrics port of entry ${plan.takenMetricsPort} for the whole run`)
      await injector.hold(this._instances[plan.takenMetricsPort]!, 'metrics')
    }
    for (const instance of this._instances) instance.start()
    this._watch()
    await this._allReady()
    this._startCallers()
    const faultsFrom = report.now
    const faults = plan.faults.map(async (fault) => {
      await pause(Math.max(0, faultsFrom + fault.at - report.now))
      await injector.inject(fault)
    })
    await pause(this._options.seconds * 1000)
    await Promise.all(faults)
    await this._checkCalm()
    injector.close()
  }

  private async _startServers (host: string): Promise<void> {
    for (let index = 0; index < this._options.servers; index++) {
      const service = SERVICES[index % SERVICES.length]!
      const zone = ZONES[Math.floor(index / SERVICES.length) % ZONES.length]!
      const server = new BackendServer({ ...this._context, name: `${service}-${index}`, service, zone, host, store: this._store })
      await server.start()
      this._servers.push(server)
    }
  }

  private _prepareInstances (net: string, ports: EntryInstance['ports']): void {
    const { root, entries } = this._options
    const seeds = Array.from({ length: Math.min(MAX_SEEDS, entries) }, (_, index) => `${net}.${index + 1}:${ports.peers}`)
    for (let index = 0; index < entries; index++) {
      const host = `${net}.${index + 1}`
      const fields = {
        node_name: `front-${index}`,
        ip: host,
        zone: ZONES[index % ZONES.length],
        limits: { cpu_share: CORE_SHARE, cores: 1, memory_mb: MEMORY_MEGABYTES, max_fds: MAX_DESCRIPTORS },
        listen: {
          front: `${host}:${ports.callers}`,
          ready: `${host}:${ports.ready}`,
          control: `${host}:${ports.peers}`,
          directory: `${host}:${ports.directory}`
        },
        seeds,
        bootstrap: true,
        platform_config: { address: this._store.address },
        bounds: BOUNDS
      }
      const command = entryCommand(root)
      this._instances.push(new EntryInstance({ ...this._context, index, host, ports, root, command, folder: this._folder, fields }))
    }
  }

  private _watch (): void {
    this._timers.push(setInterval(() => {
      for (const instance of this._instances) void instance.watch()
    }, WATCH_INTERVAL_MS))
    if (!this._options.shareCore) return
    const signalAll = (signal: NodeJS.Signals): void => {
      for (const instance of this._instances) instance.signal(signal)
    }
    this._timers.push(setInterval(() => {
      signalAll('SIGCONT')
      setTimeout(() => signalAll('SIGSTOP'), CORE_SHARE * CORE_PERIOD_MS)
    }, CORE_PERIOD_MS))
  }

  /** Waits until all entries are ready, at most for the time that their own check allows. */
  private async _allReady (): Promise<void> {
    const until = this.report.now + READY_BOUND_MS + WATCH_INTERVAL_MS * 2
    while (this.report.now < until && !this._instances.every(({ ready }) => ready)) await pause(WATCH_INTERVAL_MS)
  }

  private _startCallers (): void {
    const count = BASE_CALLERS + this._options.entries / ENTRIES_PER_CALLER
    for (let index = 0; index < count; index++) this._call(BEHAVIOURS[index % BEHAVIOURS.length]!)
  }

  private _call (behaviour: Behaviour): Caller {
    const caller = new Caller({ ...this._context, behaviour, instances: this._instances })
    this._callers.push(caller)
    void caller.run()
    return caller
  }

  private async _press (forMs: number): Promise<void> {
    const callers = Array.from({ length: PRESSING_CALLERS }, () => this._call('pressing'))
    await pause(forMs)
    for (const caller of callers) caller.stop()
  }

  /** After the last fault: every entry serves, and a planned stop of all of them cuts nothing. */
  private async _checkCalm (): Promise<void> {
    const { report } = this
    report.note('calm: no more faults')
    await this._allReady()
    const caller = new Caller({ ...this._context, behaviour: 'regular', instances: this._instances })
    await Promise.all(this._instances.map(async (instance) => {
      for (let count = 0; count < SERVED_TRIES; count++) {
        if (await caller.probe(instance) === 200) return
        await pause(TRY_GAP_MS)
      }
      report.finding('serve', `${instance.name} serves no request after the faults: ${instance.current?.output.slice(-300)}`)
    }))
    for (const each of this._callers) each.stop()
    await pause(CALM_MS)
    for (const instance of this._instances) {
      const open = await instance.openRequests()
      if (open) report.finding('open', `${instance.name} counts ${open} open requests ${CALM_MS} ms after the last one`)
    }
    this._startCallers()
    await pause(FINAL_LOAD_MS)
    await Promise.all(this._instances.map((instance) => instance.stop()))
    for (const each of this._callers) each.stop()
    const peaks = this._instances.map(({ peakKilobytes }) => Math.round(peakKilobytes / 1024))
    const descriptors = this._instances.map(({ peakDescriptors }) => peakDescriptors)
    report.note(`requests: ${JSON.stringify(this.ledger.counts)}`)
    report.note(`peaks of the entries: memory ${Math.max(...peaks)} MB, descriptors ${Math.max(...descriptors)}`)
  }

  private async _end (): Promise<void> {
    for (const timer of this._timers) clearInterval(timer)
    for (const caller of this._callers) caller.stop()
    await Promise.all(this._instances.map((instance) => instance.close()))
    for (const server of this._servers) server.stop()
    this._store.stop()
    rmSync(this._folder, { recursive: true, force: true })
  }
}
