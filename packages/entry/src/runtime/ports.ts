/** All ports of an entry. */
import type { Logger } from 'pino'
import type { HostPort } from '../settings.js'
import { Port, type PortListener, type PortRetry } from './port.js'

/** Options of `Ports`. */
export interface PortsOptions {
  log: Logger
  now: () => number
}

/** A port with its name and the time for which it has not listened. */
export interface PortState {
  name: string
  closedMs: number
}

const ANY_HOST = '0.0.0.0'

/** The ports that an entry keeps open. A port that was added earlier takes precedence over a later one with the same address. */
export class Ports {
  readonly all: Port[] = []
  private readonly _options: PortsOptions
  private readonly _addresses: HostPort[] = []
  private readonly _leftOut: string[] = []

  constructor (options: PortsOptions) {
    this._options = options
  }

  /** Adds a port that requests or other entries depend on. */
  add (name: string, address: HostPort, listener: PortListener, retry: PortRetry, opened?: (port: number) => void): Port {
    const port = new Port({ name, ...address, listener, retry, ...this._options, opened })
    this._addresses.push(address)
    this.all.push(port)
    return port
  }

  /** Adds a port unless an earlier one has its address, which is logged. */
  addUnlessUsed (name: string, address: HostPort, listener: PortListener, retry: PortRetry, opened?: (port: number) => void): void {
    if (this._addresses.some((other) => overlap(address, other))) {
      this._leftOut.push(name)
      const reason = 'another port of the settings has this address'
      this._options.log.warn({ decision: 'port-left-out', port: name, address: `${address.host}:${address.port}`, reason })
      return
    }
    this.add(name, address, listener, retry, opened)
  }

  /** Tries once to open each port. */
  async open (): Promise<void> {
    for (const port of this.all) await port.open()
  }

  /** The state of each port. One that was left out counts as closed since the start of the process. */
  states (): PortState[] {
    const leftOutMs = this._options.now()
    return [
      ...this.all.map(({ name, closedMs }) => ({ name, closedMs })), ...this._leftOut.map((name) => ({ name, closedMs: leftOutMs }))
    ]
  }
}

function overlap (a: HostPort, b: HostPort): boolean {
  return a.port !== 0 && a.port === b.port && (a.host === b.host || a.host === ANY_HOST || b.host === ANY_HOST)
}
