/** Probes the health and load of backend servers. */
import { request, type IncomingMessage } from 'node:http'
import type { ProbeAnswer, RegisteredServer } from '@gooseberryspan/core'
import type { Dialect } from '../dialect.js'
import { singleHeader, parseNonNegativeInteger } from '../headers.js'
import { InputTimeout } from '../pendingInput.js'
import { readServerStatement, type ServerStatement } from '../serverStatement.js'
import { BackendAgent } from './backendAgent.js'

/** Options of a `ProbeClient`. */
export interface ProbeClientOptions {
  dialect: Dialect
  /** Longest time for an answer, in milliseconds. */
  timeoutMs: number
  /** Returns the health path of a service's servers. */
  pathOf: (service: string) => string
}

/** The result of a probe; without an answer the server is unreachable. */
export interface ProbeResult {
  answer?: ProbeAnswer
  /** A different server answered at the address. */
  moved?: boolean
  /** What the server stated about itself. */
  statement?: ServerStatement
}

const IDLE_TIMEOUT_MS = 4000
const MAX_IDLE_CONNECTIONS = 1

/** Sends probes over connections that carry no requests of callers. */
export class ProbeClient {
  private readonly _agent = new BackendAgent({ maxFreeSockets: MAX_IDLE_CONNECTIONS, timeout: IDLE_TIMEOUT_MS })
  private readonly _options: ProbeClientOptions

  constructor (options: ProbeClientOptions) {
    this._options = options
  }

  /** Probes one server. Without a complete answer before the timeout the server counts as unreachable. */
  probe (server: RegisteredServer, done: (end: ProbeResult) => void): void {
    let ended = false
    const end = (result: ProbeResult): void => {
      if (ended) return
      ended = true
      timeout.clear()
      done(result)
    }
    const call = request({
      host: server.host, port: server.port, path: this._options.pathOf(server.service), agent: this._agent
    }, (message) => {
      message.resume()
      message.on('error', () => {})
      message.on('close', () => end(message.complete ? this._readAnswer(message, server) : {}))
    })
    const timeout = new InputTimeout(this._options.timeoutMs, () => call.destroy(new Error('no answer to the probe in time')))
    call.on('error', () => end({}))
    call.end()
  }

  close (): void {
    this._agent.destroy()
  }

  private _readAnswer (message: IncomingMessage, server: RegisteredServer): ProbeResult {
    const { dialect } = this._options
    const { headers } = dialect
    const named = singleHeader(message.headers, headers.serverId)
    if (named !== undefined && named !== server.id) return { moved: true }
    const load = singleHeader(message.headers, headers.load)
    return {
      statement: readServerStatement(message, headers, Date.now()),
      answer: {
        healthy: message.statusCode === 200,
        coldMs: parseNonNegativeInteger(singleHeader(message.headers, headers.cold)),
        load: load === undefined ? undefined : dialect.parseLoadReport(load, 'probe')
      }
    }
  }
}
