/** Keep-alive connections to backend servers. */
import { Agent, type AgentOptions, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

/** An idle connection is closed this long before its server closes it, so that no request is sent just then. */
const SERVER_TIMEOUT_MARGIN_MS = 1500
const KEEP_ALIVE_PATTERN = /(?:^|[\s,])timeout=(\d{1,6})/
const MS_PER_SECOND = 1000

/** HTTP agent that closes an idle connection as soon as data arrives on it, since such data belongs to no request. */
export class BackendAgent extends Agent {
  constructor (options: AgentOptions) {
    super({ ...options, keepAlive: true, scheduling: 'lifo' })
    const { keepSocketAlive, reuseSocket } = this
    this.keepSocketAlive = (socket) => {
      const timeoutMs = idleTimeoutMs(socket)
      if (timeoutMs !== undefined && timeoutMs <= 0) return false
      socket.on('data', closeOnUnexpectedData)
      const isKept = keepSocketAlive.call(this, socket) as unknown as boolean
      if (isKept && timeoutMs !== undefined) (socket as Socket).setTimeout(Math.min(timeoutMs, options.timeout ?? timeoutMs))
      return isKept
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

/** How long a connection may be idle, as its server has stated with the last answer; undefined if it stated nothing. */
function idleTimeoutMs (socket: Duplex): number | undefined {
  const { _httpMessage: message } = socket as Duplex & { _httpMessage?: { res?: IncomingMessage } }
  const [, seconds] = KEEP_ALIVE_PATTERN.exec(String(message?.res?.headers['keep-alive'] ?? '')) ?? []
  return seconds === undefined ? undefined : Number(seconds) * MS_PER_SECOND - SERVER_TIMEOUT_MARGIN_MS
}

function closeOnUnexpectedData (this: Duplex): void {
  this.destroy()
}
