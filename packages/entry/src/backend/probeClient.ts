/** Asks backend servers for their health and load. */
import { request, type IncomingMessage } from 'node:http'
import type { ProbeAnswer, ServerEntry } from '@gooseberryspan/core'
import type { Dialect } from '../dialect.js'
import { single, wholeNumber } from '../headers.js'
import { BackendAgent } from './backendAgent.js'

/** How servers are asked. */
export interface ProbeOptions {
  dialect: Dialect
  /** Longest time for an answer, in milliseconds. */
  timeoutMs: number
  /** Path that a service's servers tell their health at. */
  pathOf: (service: string) => string
}

/** What came of a probe. */
export interface ProbeEnd {
  answer?: ProbeAnswer
  /** Another server answered at the address. */
  moved?: boolean
}

const IDLE_MS = 4000
const MOST_IDLE = 1

/** Sends probes over connections of their own. */
export class ProbeClient {
  private readonly _agent = new BackendAgent({ maxFreeSockets: MOST_IDLE, timeout: IDLE_MS })
  private readonly _options: ProbeOptions

  constructor (options: ProbeOptions) {
    this._options = options
  }

  /** Asks one server. Without a whole answer in time it counts as not reached. */
  probe (server: ServerEntry, done: (end: ProbeEnd) => void): void {
    let ended = false
    const end = (result: ProbeEnd): void => {
      if (ended) return
      ended = true
      clearTimeout(timer)
      done(result)
    }
    const call = request({
      host: server.host, port: server.port, path: this._options.pathOf(server.service), agent: this._agent
    }, (message) => {
      message.resume()
      message.on('error', () => {})
      message.on('close', () => end(message.complete ? this._read(message, server) : {}))
    })
    const timer = setTimeout(() => call.destroy(new Error('no answer to a probe')), this._options.timeoutMs)
    call.on('error', () => end({}))
    call.end()
  }

  close (): void {
    this._agent.destroy()
  }

  private _read (message: IncomingMessage, server: ServerEntry): ProbeEnd {
    const { dialect } = this._options
    const { headers } = dialect
    const named = single(message.headers, headers.serverId)
    if (named !== undefined && named !== server.id) return { moved: true }
    const load = single(message.headers, headers.load)
    return {
      answer: {
        healthy: message.statusCode === 200,
        coldMs: wholeNumber(single(message.headers, headers.cold)),
        load: load === undefined ? undefined : dialect.readLoad(load, 'probe')
      }
    }
  }
}
