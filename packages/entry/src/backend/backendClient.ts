/** Requests to backend servers over Node's http, one connection pool a server. */
import { Agent, request, type ClientRequest, type IncomingMessage } from 'node:http'
import type { AttemptEnd, AttemptOutcome, DispatchEffect, LoadReport, ServerPlace } from '@gooseberryspan/core'
import { passedOn, single, type HeaderNames } from '../headers.js'
import { readAnswer, type Answer } from '../runtime/answer.js'
import type { Exchange } from '../runtime/exchange.js'
import { parseLoad } from './loadReport.js'

/** How backend servers are reached. */
export interface BackendOptions {
  names: HeaderNames
  connectMs: number
  holdBytes: number
  probePath: string
  probeMs: number
  now: () => number
}

/** Told of an attempt's course. */
export interface AttemptListener {
  whole (answer: Answer): void
  large (answer: Answer, done: (whole: boolean) => void): void
  ended (end: AttemptEnd): void
}

const IDLE_MS = 4000
const MOST_IDLE = 32

/** Sends attempts and probes; every attempt ends exactly once. */
export class BackendClient {
  private readonly _pool = new Agent({ keepAlive: true, maxFreeSockets: MOST_IDLE, timeout: IDLE_MS, scheduling: 'lifo' })
  private readonly _calls = new Map<number, ClientRequest>()
  private readonly _options: BackendOptions

  constructor (options: BackendOptions) {
    this._options = options
  }

  /** Sends a request. One that must not run twice gets a connection of its own, which nobody can be closing. */
  dispatch (effect: DispatchEffect, exchange: Exchange, retrySpent: boolean, listener: AttemptListener): void {
    const startedAt = this._options.now()
    let report: LoadReport | undefined
    let fromBelow = false
    let ended = false
    const end = (outcome: AttemptOutcome, status?: number): void => {
      if (ended) return
      ended = true
      this._calls.delete(effect.attempt)
      listener.ended({ outcome, latencyMs: this._options.now() - startedAt, status, fromBelow, report })
    }
    const call = request({
      host: effect.server.host,
      port: effect.server.port,
      method: exchange.method,
      path: exchange.path,
      agent: exchange.spec.idempotent ? this._pool : false,
      headers: this._headers(effect, exchange, retrySpent),
      setHost: false
    })
    this._calls.set(effect.attempt, call)
    const connection = watchConnection(call, this._options.connectMs)
    call.on('response', (message) => {
      report = parseLoad(single(message.headers, this._options.names.load))
      fromBelow = single(message.headers, this._options.names.retry) === 'spent'
      if (this._isShed(message)) return drop(message, call, () => end('shed'))
      this._read(message, call, listener, end)
    })
    call.on('error', () => end(connection.made() ? 'lost' : 'refused'))
    send(call, exchange)
  }

  /** Breaks an attempt off; the backend server sees its connection close. */
  cancel (attempt: number): void {
    this._calls.get(attempt)?.destroy()
    this._calls.delete(attempt)
  }

  /** Asks a server for its health and load. */
  probe (server: ServerPlace, done: (healthy: boolean, report: LoadReport | undefined) => void): void {
    const { probePath, probeMs, names } = this._options
    let ended = false
    const end = (healthy: boolean, report?: LoadReport): void => {
      if (ended) return
      ended = true
      clearTimeout(timer)
      done(healthy, report)
    }
    const call = request({ host: server.host, port: server.port, path: probePath, agent: this._pool }, (message) => {
      message.resume()
      message.on('close', () => end(message.complete && message.statusCode === 200, parseLoad(single(message.headers, names.load))))
    })
    const timer = setTimeout(() => call.destroy(new Error('no answer to a probe')), probeMs)
    call.on('error', () => end(false))
    call.end()
  }

  /** Closes idle connections to a server. */
  disconnect (server: ServerPlace): void {
    for (const [name, sockets] of Object.entries(this._pool.freeSockets)) {
      if (!name.startsWith(`${server.host}:${server.port}:`)) continue
      for (const socket of sockets ?? []) socket.destroy()
    }
  }

  close (): void {
    this._pool.destroy()
  }

  private _read (
    message: IncomingMessage, call: ClientRequest, listener: AttemptListener, end: (outcome: AttemptOutcome, status?: number) => void
  ): void {
    const status = message.statusCode ?? 502
    readAnswer(message, this._options.holdBytes, {
      whole: (answer) => {
        listener.whole(answer)
        end('answered', status)
      },
      large: (answer) => listener.large(answer, (whole) => end(whole ? 'answered' : 'lost', status)),
      broken: () => {
        call.destroy()
        end('lost')
      }
    })
  }

  private _isShed (message: IncomingMessage): boolean {
    return message.statusCode === 503 && single(message.headers, this._options.names.shed) === 'not-run'
  }

  private _headers (effect: DispatchEffect, exchange: Exchange, retrySpent: boolean): string[] {
    const { names } = this._options
    const headers = passedOn(exchange.rawHeaders, (name) => name.startsWith(names.prefix) || name === 'content-length')
    headers.push(names.deadline, String(Math.max(1, Math.floor(effect.leftMs))))
    headers.push(names.depth, String(exchange.spec.depth + 1))
    if (retrySpent) headers.push(names.retry, 'spent')
    if (exchange.spec.idempotencyKey !== undefined && !headers.includes('idempotency-key')) {
      headers.push('idempotency-key', exchange.spec.idempotencyKey)
    }
    return withLength(headers, exchange)
  }
}

/** Adds the body's length, known or not. */
export function withLength (headers: string[], exchange: Exchange): string[] {
  const length = exchange.body.length
  if (length === undefined) headers.push('transfer-encoding', 'chunked')
  else if (length > 0 || exchange.method === 'POST' || exchange.method === 'PUT') headers.push('content-length', String(length))
  return headers
}

/** Sends what is held of the body, and the rest as it comes. */
export function send (call: ClientRequest, exchange: Exchange): void {
  const { held, rest } = exchange.body
  if (!rest) return void call.end(held.length > 0 ? held : undefined)
  if (held.length > 0) call.write(held)
  rest.pipe(call)
  rest.on('close', () => {
    if (!rest.complete) call.destroy()
  })
}

/** Whether a connection stood before the call failed: until then no byte has gone out. */
export function watchConnection (call: ClientRequest, connectMs: number): { made: () => boolean } {
  let made = false
  call.on('socket', (socket) => {
    if (!socket.connecting) {
      made = true
      return
    }
    const timer = setTimeout(() => call.destroy(new Error('no connection in time')), connectMs)
    socket.once('connect', () => {
      made = true
      clearTimeout(timer)
    })
    socket.once('close', () => clearTimeout(timer))
  })
  return { made: () => made }
}

function drop (message: IncomingMessage, call: ClientRequest, done: () => void): void {
  message.resume()
  message.once('end', done)
  message.once('close', () => {
    if (!message.complete) call.destroy()
    done()
  })
}
