/** Tells the core which of the ports that it needs are open. */
import { Channel, takeUnlessClosed, type Child, type ProcessBody, type Scope } from '@gooseberryspan/csp'
import type { Envelope } from '../peers/datagramCodec.js'
import type { EntryNode } from './entryNode.js'
import type { Port } from './port.js'

/** Options of a `PortGate`. */
export interface PortGateOptions {
  node: EntryNode
  callers: Port
  /** The ports for other entries. */
  peers: Port[]
}

/**
 * Holds the core back until the ports for other entries are open, so that it meets the other entries before it decides anything.
 * From then on it tells the core whether callers can connect.
 */
export class PortGate {
  private readonly _options: PortGateOptions
  private readonly _opened = new Channel<never>()
  private _reported = true

  constructor (options: PortGateOptions) {
    this._options = options
  }

  /** Whether the core has started to work. */
  get isOpen (): boolean {
    return this._opened.closed
  }

  /** To be called when a port has opened. */
  update (): void {
    const { node, callers, peers } = this._options
    if (!peers.every((port) => port.isOpen)) return
    if (callers.isOpen !== this._reported) {
      this._reported = callers.isOpen
      node.handle({ kind: 'caller-port', isOpen: callers.isOpen })
    }
    this._opened.close()
  }

  /** Passes datagrams to the core once it works. */
  received (envelope: Envelope): void {
    if (this.isOpen) this._options.node.received(envelope)
  }

  /** Delays a process until the core starts to work. */
  delay (child: Child): Child {
    const opened = this._opened
    return {
      name: child.name,
      * run (scope: Scope): ProcessBody<void> {
        yield * takeUnlessClosed(opened, scope.stopping)
        if (!scope.stopping.closed) yield * child.run(scope)
      }
    }
  }
}
