/** Keep-alive connections to backend servers. */
import { Agent, type AgentOptions } from 'node:http'
import type { Duplex } from 'node:stream'

/** HTTP agent that closes an idle connection as soon as data arrives on it, since such data belongs to no request. */
export class BackendAgent extends Agent {
  constructor (options: AgentOptions) {
    super({ ...options, keepAlive: true, scheduling: 'lifo' })
    const { keepSocketAlive, reuseSocket } = this
    this.keepSocketAlive = (socket) => {
      socket.on('data', closeOnUnexpectedData)
      return keepSocketAlive.call(this, socket)
    }
    this.reuseSocket = (socket, request) => {
      socket.off('data', closeOnUnexpectedData)
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

function closeOnUnexpectedData (this: Duplex): void {
  this.destroy()
}
