/** A port of an entry, and the process that keeps it open. */
import type { Logger } from 'pino'
import { awaitPromise, sleepUnlessClosed, sleepUntilStopped, type Child, type ProcessBody, type Scope } from '@gooseberryspan/csp'
import type { HostPort } from '../settings.js'

/** The server or socket that listens on a port. */
export interface PortListener {
  /** Starts listening unless it already listens. Resolves with the port, which the system chooses if the configured port is 0. */
  listen (): Promise<number>
  close (): Promise<void>
}

/** Pauses between attempts to open a port, doubled from the first to the longest. */
export interface PortRetry {
  initialPauseMs: number
  maxPauseMs: number
}

/** Options of a `Port`. */
export interface PortOptions extends HostPort {
  name: string
  listener: PortListener
  retry: PortRetry
  log: Logger
  now: () => number
  /** Called when the port has opened. */
  opened?: (port: number) => void
}

/** For ports that requests or other entries depend on. */
export const SERVING_RETRY: PortRetry = { initialPauseMs: 50, maxPauseMs: 250 }
/** For ports that only report. */
export const REPORTING_RETRY: PortRetry = { initialPauseMs: 250, maxPauseMs: 30_000 }
/** Limits the log lines of a port whose error changes with each attempt. */
const MIN_LOG_INTERVAL_MS = 10_000

/** Opens a port, and tries again for as long as another process holds it or its address is missing. Logs each change. */
export class Port implements Child {
  readonly name: string
  private readonly _options: PortOptions
  private _number: number
  private _isOpen = false
  private _closedAt: number
  private _error: NodeJS.ErrnoException | undefined
  private _loggedCode: string | undefined
  private _loggedAt = -Infinity

  constructor (options: PortOptions) {
    this._options = options
    this.name = options.name
    this._number = options.port
    this._closedAt = options.now()
  }

  get isOpen (): boolean {
    return this._isOpen
  }

  /** The configured port, or the one that the system has chosen. */
  get number (): number {
    return this._number
  }

  /** How long the port has not listened, in milliseconds; 0 while it does. */
  get closedMs (): number {
    return this._isOpen ? 0 : this._options.now() - this._closedAt
  }

  /** Opens the port now if the system is to choose its number, and throws if that fails. */
  async choose (): Promise<void> {
    if (this._number === 0 && !await this.open()) throw this._error
  }

  /** Tries once to open the port. Resolves with whether it listens. */
  async open (): Promise<boolean> {
    try {
      this._number = await this._options.listener.listen()
    } catch (error) {
      this._error = error as NodeJS.ErrnoException
      this._logClosed()
      return false
    }
    if (this._isOpen) return true
    this._logOpen()
    this._isOpen = true
    this._options.opened?.(this._number)
    return true
  }

  * run (scope: Scope): ProcessBody<void> {
    const { retry: { initialPauseMs, maxPauseMs }, listener, now } = this._options
    let pauseMs = initialPauseMs
    while (!scope.stopping.closed) {
      yield * awaitPromise(this.open())
      if (this._isOpen) break
      yield * sleepUnlessClosed(pauseMs, scope.stopping)
      pauseMs = Math.min(maxPauseMs, pauseMs * 2)
    }
    yield * sleepUntilStopped(scope)
    this._isOpen = false
    this._closedAt = now()
    yield * awaitPromise(listener.close())
  }

  private _logClosed (): void {
    const now = this._options.now()
    const code = this._error?.code ?? String(this._error)
    if (code === this._loggedCode || now - this._loggedAt < MIN_LOG_INTERVAL_MS) return
    this._loggedCode = code
    this._loggedAt = now
    this._options.log.warn({ decision: 'port-closed', ...this._description, reason: code, since: Math.round(Date.now() - this.closedMs) })
  }

  private _logOpen (): void {
    if (this._error === undefined) return
    this._options.log.info({ decision: 'port-open', ...this._description, tookMs: Math.round(this.closedMs) })
    this._error = undefined
    this._loggedCode = undefined
  }

  private get _description () {
    const { name, host } = this._options
    return { port: name, address: `${host}:${this._number}` }
  }
}
