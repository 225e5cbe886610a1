/** Connections to backend servers that are kept for the next request. */
import { Agent, type AgentOptions } from 'node:http'
import type { Duplex } from 'node:stream'

/** Closes a kept connection as soon as something arrives on it: such bytes belong to no request. */
export class BackendAgent extends Agent {
  constructor (options: AgentOptions) {
    super({ ...options, keepAlive: true, scheduling: 'lifo' })
    const { keepSocketAlive, reuseSocket } = this
    this.keepSocketAlive = (socket) => {
      socket.on('data', closeOnSurplus)
      return keepSocketAlive.call(this, socket)
    }
    this.reuseSocket = (socket, request) => {
      socket.off('data', closeOnSurplus)
      reuseSocket.call(this, socket, request)
    }
  }

  /** Closes the idle connections to an address. */
  disconnect (host: string, port: number): void {
    for (const [name, sockets] of Object.entries(this.freeSockets)) {
      if (!name.startsWith(`${host}:${port}:`)) continue
      for (const socket of sockets ?? []) socket.destroy()
    }
  }
}

function closeOnSurplus (this: Duplex): void {
  this.destroy()
}
