/** An instance: the address and ports of an entry, the processes that run there one after the other, and the checks on them. */
import { writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { fillTemplate, type TemplateFields } from './deployFiles.js'
import { EntryProcess, type ProcessEnd } from './entryProcess.js'
import { GRACE_MS, type RunContext } from './ledger.js'
import type { PortName } from './plan.js'

/** Options of an instance. */
export interface EntryInstanceOptions extends RunContext {
  index: number
  host: string
  ports: Record<PortName, number>
  root: string
  command: string[]
  folder: string
  fields: TemplateFields
}

/** Longest time to become ready. Traffic of the deployments starts 10 s after the machines do. */
export const READY_BOUND_MS = 10_000
/** Resident memory of the instance. */
export const MEMORY_MEGABYTES = 350
const MAX_KILOBYTES = MEMORY_MEGABYTES * 1024
const RESTART_DELAY_MS = 300
const FETCH_TIMEOUT_MS = 1000

/** An instance on a loopback address of its own. */
export class EntryInstance {
  readonly index: number
  readonly host: string
  readonly ports: Record<PortName, number>
  readonly heldPorts = new Set<PortName>()
  /** When a process of the instance was last told to stop. */
  lastStopAt: number | undefined
  /** The newest process. */
  current: EntryProcess | undefined
  peakKilobytes = 0
  peakDescriptors = 0
  private readonly _options: EntryInstanceOptions
  private readonly _processes = new Set<EntryProcess>()
  private _closing = false
  /** The last moment at which something outside kept the newest process from becoming ready. */
  private _blockedAt = 0

  constructor (options: EntryInstanceOptions) {
    this._options = options
    this.index = options.index
    this.host = options.host
    this.ports = options.ports
  }

  get name (): string {
    return `entry ${this.index}`
  }

  get ready (): boolean {
    return this.current?.readyAt !== undefined && this.current.alive && this.current.stopAt === undefined
  }

  /** Starts a process, unless one runs that was not told to stop. */
  start (): void {
    if (this._closing || (this.current?.alive && this.current.stopAt === undefined)) return
    const { root, command, folder, fields, report, disturbances } = this._options
    const settingsPath = `${folder}/entry-${this.index}.yaml`
    writeFileSync(settingsPath, fillTemplate(root, fields))
    fields.bootstrap = false
    const endDisturbance = disturbances.begin(this.name, report.now)
    const entry: EntryProcess = new EntryProcess({
      root,
      command,
      settingsPath,
      now: () => report.now,
      ended: (end) => this._ended(entry, end)
    })
    endDisturbance(report.now)
    this.current = entry
    this._processes.add(entry)
    report.note(`${this.name} started, process ${entry.pid}`)
  }

  /** Plans a stop: SIGTERM, and SIGKILL after the grace time. Resolves when the process has ended. */
  async stop (): Promise<void> {
    const entry = this.current
    if (!entry?.alive || entry.stopAt !== undefined) return entry?.ended
    const { report } = this._options
    entry.stopAt = this.lastStopAt = report.now
    report.note(`${this.name}, process ${entry.pid}, is told to stop`)
    entry.signal('SIGTERM')
    let leftMs = GRACE_MS
    const stepMs = 100
    while (entry.alive && leftMs > 0) {
      await Promise.race([entry.ended, pause(stepMs)])
      if (!entry.paused) leftMs -= stepMs
    }
    if (!entry.alive) return
    report.finding('stop', `${this.name} did not end within its grace time of ${GRACE_MS} ms`)
    entry.kill()
    await entry.ended
  }

  /** Ends all processes of the instance at once. */
  async kill (): Promise<void> {
    const { disturbances, report } = this._options
    const end = disturbances.begin(this.name, report.now)
    const alive = [...this._processes].filter((entry) => entry.alive)
    for (const entry of alive) entry.kill()
    await Promise.all(alive.map((entry) => entry.ended))
    end(report.now)
  }

  /** Ends the process, as planned or at once, and starts the next one. */
  async replace (how: 'stop' | 'kill'): Promise<void> {
    await this[how]()
    await this.restart()
  }

  async restart (): Promise<void> {
    await pause(RESTART_DELAY_MS)
    this.start()
  }

  /** Ends all processes for good; their ends are no findings. */
  async close (): Promise<void> {
    this._closing = true
    await this.kill()
  }

  /** Kills without waiting, for an exit of this program. */
  abort (): void {
    this._closing = true
    for (const entry of this._processes) entry.kill()
  }

  /** Signals all processes that no fault has paused, also those that are told to stop. */
  signal (signal: NodeJS.Signals): void {
    for (const entry of this._processes) if (!entry.paused) entry.signal(signal)
  }

  /** Checks memory and the time until the newest process is ready. */
  async watch (): Promise<void> {
    const { report, disturbances } = this._options
    const entry = this.current
    if (!entry?.alive) return
    const kilobytes = entry.measure()
    this.peakKilobytes = Math.max(this.peakKilobytes, entry.peakKilobytes)
    this.peakDescriptors = Math.max(this.peakDescriptors, entry.peakDescriptors)
    if (kilobytes > MAX_KILOBYTES && !entry.overMemory) {
      entry.overMemory = true
      report.finding('memory', `${this.name} uses ${Math.round(kilobytes / 1024)} MB`)
    }
    if (entry.readyAt !== undefined || entry.stopAt !== undefined) return
    if (disturbances.active('store') || disturbances.active(this.name) || this._arePortsTaken(entry)) {
      this._blockedAt = report.now
    } else if (await this._isReady()) {
      if (entry !== this.current || !entry.alive || entry.readyAt !== undefined) return
      entry.readyAt = report.now
      report.note(`${this.name} ready after ${entry.readyAt - entry.startedAt} ms`)
    } else if (report.now - Math.max(entry.startedAt, this._blockedAt) > READY_BOUND_MS && !entry.lateToStart) {
      entry.lateToStart = true
      const sinceMs = report.now - entry.startedAt
      report.finding('ready', `${this.name} is not ready ${sinceMs} ms after its start: ${entry.output.slice(-300)}`)
    }
  }

  /** Whether another process holds a port that the entry needs for its work. */
  private _arePortsTaken (entry: EntryProcess): boolean {
    const { metrics, ...needed } = this.ports
    const isHeld = [...this.heldPorts].some((name) => Object.values(needed).includes(this.ports[name]))
    return isHeld || [...this._processes].some((other) => other !== entry && other.alive)
  }

  /** The number of open requests by the entry's metrics, if they can be read. */
  async openRequests (): Promise<number | undefined> {
    const text = await this._fetch('metrics', '/metrics')
    const found = /^gooseberryspan_open_requests(?:\{.*\})? (\d+)$/m.exec(text ?? '')
    return found ? Number(found[1]) : undefined
  }

  private async _isReady (): Promise<boolean> {
    return await this._fetch('ready', '/-/readiness') !== undefined
  }

  /** Returns the body of an answer with status 200. */
  private _fetch (port: PortName, path: string): Promise<string | undefined> {
    return new Promise((resolve) => {
      const call = get({ host: this.host, port: this.ports[port], path, timeout: FETCH_TIMEOUT_MS, agent: false }, (answer) => {
        let text = ''
        answer.on('data', (part: Buffer) => {
          text += part.toString('utf8')
        })
        answer.on('error', () => resolve(undefined))
        answer.on('end', () => resolve(answer.statusCode === 200 ? text : undefined))
      })
      call.on('timeout', () => call.destroy(new Error('no answer')))
      call.on('error', () => resolve(undefined))
    })
  }

  private _ended (entry: EntryProcess, { code, signal }: ProcessEnd): void {
    this._processes.delete(entry)
    if (this._closing) return
    const { report } = this._options
    const how = `code ${code}, signal ${signal}, ${report.now - entry.startedAt} ms after its start`
    const logged = /"level":60.*?"message":("[^"]*")/.exec(entry.output)?.[1]
    const reason = /^.*Error.*$/m.exec(entry.errors)?.[0] ?? logged ?? entry.errors.slice(-200)
    report.note(`${this.name}, process ${entry.pid}, ended: ${how}`)
    if (entry.killed) return
    if (entry.stopAt === undefined) {
      report.finding('end', `${this.name} ended by itself: ${how}: ${reason}`)
      return void this.restart()
    }
    if (code === 0 || (signal === 'SIGTERM' && entry.readyAt === undefined)) return
    const isTrue = code === 1 && entry.errors === '' && this._options.ledger.wasCut(this.index, entry.stopAt)
    if (isTrue) return
    report.note(`${this.name} wrote: ${entry.output}`)
    report.finding('stop', `${this.name} ended a planned stop with ${how}, ${report.now - entry.stopAt} ms after the signal: ${reason}`)
  }
}
