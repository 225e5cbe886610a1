/** Sends requests to backend servers over Node's http module. */
import { request, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { AttemptOutcome, AttemptReport, DispatchEffect, LoadReport, RegisteredServer } from '@gooseberryspan/core'
import type { Exchange } from '../caller/exchange.js'
import type { Dialect } from '../dialect.js'
import { forwardedHeaders, headerFault, singleHeader } from '../headers.js'
import { InputTimeout } from '../pendingInput.js'
import { readServerStatement, type ServerStatement } from '../serverStatement.js'
import { readAnswer, type Answer } from './answer.js'
import { BackendAgent } from './backendAgent.js'

/** Options of a `BackendClient`. */
export interface BackendClientOptions {
  dialect: Dialect
  /** Longest time to establish a connection, in milliseconds. */
  connectMs: number
  /** Answers up to this size are buffered, in bytes; larger ones are streamed. */
  holdBytes: number
  now: () => number
  /** Whether a server may still get a request now that the connection is established. It may have left meanwhile. */
  mayUse: (server: RegisteredServer) => boolean
  /** Called when an answer was discarded because its head is not valid HTTP. */
  onMalformed: (request: string, server: string, reason: string) => void
  /** Called with the bytes that an attempt has sent and received. */
  onExchanged?: (server: RegisteredServer, bytes: number) => void
}

/** Receives the events of one attempt. */
export interface AttemptListener {
  /** The answer was received and buffered completely. */
  whole (answer: Answer): void
  /** The answer has to be streamed; `done` reports whether all of it was passed on. */
  large (answer: Answer, done: (whole: boolean) => void): void
  /** The server stated something about itself, in any answer; called before the end of the attempt. */
  stated (statement: ServerStatement): void
  /** The attempt ended; called exactly once. */
  ended (report: AttemptReport, status?: number): void
}

/** Longest time that a connection stays idle; less if its server states a time. An entry sends one server a request every few seconds. */
const IDLE_TIMEOUT_MS = 8000
/** Idle connections per server. The connections of all entries together must stay below the server's connection limit. */
const MAX_IDLE_CONNECTIONS = 2
/** Most bytes read of an answer that is discarded: reading more costs more than opening a new connection. */
const MAX_DISCARDED_BYTES = 65_536
const DISCARD_TIMEOUT_MS = 500
const MISDIRECTED_STATUS = 421
/** Statuses of final answers. Node's parser accepts any number of up to three digits. */
const MIN_STATUS = 200
const MAX_STATUS = 599
/** Most bytes read before an answer's head is complete, interim answers and empty lines included. */
const MAX_HEAD_BYTES = 65_536
/** Statuses that a caller takes as a guarantee that its request did not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])

/** Sends the attempts of requests to backend servers. Each attempt ends exactly once. */
export class BackendClient {
  private readonly _agent = new BackendAgent({ maxFreeSockets: MAX_IDLE_CONNECTIONS, timeout: IDLE_TIMEOUT_MS })
  private readonly _calls = new Map<number, ClientRequest>()
  private readonly _options: BackendClientOptions

  constructor (options: BackendClientOptions) {
    this._options = options
  }

  /** Sends an attempt. A request that must not run twice gets a new connection, which the server cannot already be closing for idleness. */
  dispatch (effect: DispatchEffect, exchange: Exchange, listener: AttemptListener): void {
    const startedAt = this._options.now()
    let load: LoadReport | undefined
    let limitPerSecond: number | undefined
    let answer: IncomingMessage | undefined
    let ended = false
    const end = (outcome: AttemptOutcome, status?: number, whole?: Answer): void => {
      if (ended) return
      ended = true
      this._calls.delete(effect.attempt)
      if (whole) listener.whole(whole)
      const answerBytes = whole?.buffered.length
      listener.ended({ outcome, tookMs: this._options.now() - startedAt, load, limitPerSecond, answerBytes }, status)
    }
    const call = request({
      host: effect.server.host,
      port: effect.server.port,
      method: exchange.method,
      path: exchange.path,
      agent: effect.newConnection ? false : this._agent,
      headers: this._requestHeaders(effect, exchange),
      setHost: false
    })
    this._calls.set(effect.attempt, call)
    const connection = trackConnection(call, this._options.connectMs, () => this._options.mayUse(effect.server))
    limitHead(call)
    countBytes(call, (bytes) => this._options.onExchanged?.(effect.server, bytes))
    call.on('response', (message) => {
      answer = message
      // The rest of the body has no reader any more. On this connection, the server would take other bytes for it.
      message.once('close', () => call.writableEnded || call.destroy())
      load = this._loadOf(message)
      if (isDelimitedByClose(message)) onReset(message.socket, () => end('lost', message.statusCode))
      const fault = headFault(message)
      const statement = fault === undefined ? this._statementOf(message, effect) : undefined
      limitPerSecond = statement?.limitPerSecond
      if (statement) listener.stated(statement)
      if (fault === undefined) return this._handleResponse(message, call, exchange, listener, end)
      this._options.onMalformed(exchange.spec.label, effect.server.id, fault)
      call.destroy()
      end('lost', message.statusCode)
    })
    call.on('error', () => {
      if (!answer) end(connection.established() ? 'lost' : 'unreachable')
      // Node marks an answer that is delimited by the end of the connection as complete when the connection is reset.
      else if (!answer.complete) end('lost', answer.statusCode)
    })
    call.on('close', () => {
      if (!answer) end(connection.established() ? 'lost' : 'unreachable')
    })
    sendBody(call, exchange)
  }

  /** Aborts an attempt by closing its connection. */
  cancel (attempt: number): void {
    this._calls.get(attempt)?.destroy()
    this._calls.delete(attempt)
  }

  /** Closes the idle connections to a server. */
  disconnect ({ host, port }: RegisteredServer): void {
    this._agent.disconnect(host, port)
  }

  close (): void {
    this._agent.destroy()
  }

  private _handleResponse (
    message: IncomingMessage, call: ClientRequest, exchange: Exchange, listener: AttemptListener,
    end: (outcome: AttemptOutcome, status?: number, whole?: Answer) => void
  ): void {
    const status = message.statusCode ?? 0
    const refusal = this._refusalOf(message, status)
    if (!this._namesRequest(message, call, exchange, refusal !== undefined) || (!refusal && !this._isServersOwn(message, status))) {
      call.destroy()
      return end('lost', status)
    }
    if (refusal) return discardAnswer(message, call, () => end(refusal, status))
    const outcome = this._outcomeOf(message, exchange, status)
    if (outcome === 'lost') return discardAnswer(message, call, () => end('lost', status))
    readAnswer(message, { holdBytes: this._options.holdBytes, take: (bytes) => exchange.hold.take(bytes) }, {
      whole: (answer) => end(outcome, status, answer),
      large: (answer) => listener.large(answer, (whole) => {
        // The rest has no reader any more.
        if (!whole) call.destroy()
        end(whole ? outcome : 'lost', status)
      }),
      broken: () => {
        call.destroy()
        end('lost', status)
      }
    })
  }

  /** Returns how the server stated that it did not run the request, or undefined if it made no such statement. */
  private _refusalOf (message: IncomingMessage, status: number): 'shed' | 'moved' | undefined {
    if (status === MISDIRECTED_STATUS) return 'moved'
    return singleHeader(message.headers, this._options.dialect.headers.notRun) === undefined ? undefined : 'shed'
  }

  /**
   * Whether an answer belongs to this request. A late or repeated answer to an earlier request carries the id of that request. A refusal
   * without an id counts only as the first answer on its connection: on a reused one, it may be a repetition of an earlier refusal. The
   * same holds for other answers without an id where the dialect requires none. Their connection is not used again.
   */
  private _namesRequest (message: IncomingMessage, call: ClientRequest, { requestId }: Exchange, isRefusal: boolean): boolean {
    const { headers, requiresSignature } = this._options.dialect
    const named = singleHeader(message.headers, headers.requestId)
    if (named !== undefined) return named === requestId
    if (requiresSignature && !isRefusal) return false
    call.shouldKeepAlive = false
    return !call.reusedSocket
  }

  /**
   * Whether an answer comes from the server. If the dialect requires signatures, a success without the server's signature and an answer
   * with a content encoding that was not requested do not.
   */
  private _isServersOwn (message: IncomingMessage, status: number): boolean {
    const { headers, requiresSignature } = this._options.dialect
    const encoding = singleHeader(message.headers, 'content-encoding')
    if (requiresSignature && encoding !== undefined && encoding !== 'identity') return false
    return !requiresSignature || status >= 300 || singleHeader(message.headers, headers.signature) !== undefined
  }

  /**
   * Returns the outcome of an attempt that got an answer. A status in `NOT_RUN_STATUSES` tells a caller that nothing ran, but without the
   * header `notRun` the server has not confirmed that. The request may have run, so one that must not run twice counts as lost.
   */
  private _outcomeOf (message: IncomingMessage, { spec }: Exchange, status: number): AttemptOutcome {
    if (NOT_RUN_STATUSES.has(status)) return spec.route.repeatable ? 'failed' : 'lost'
    if (status < 500) return 'answered'
    return singleHeader(message.headers, this._options.dialect.headers.retry) === 'spent' ? 'failed-below' : 'failed'
  }

  private _loadOf (message: IncomingMessage): LoadReport | undefined {
    const { dialect } = this._options
    const text = singleHeader(message.headers, dialect.headers.load)
    return text === undefined ? undefined : dialect.parseLoadReport(text, 'answer')
  }

  /** A misdirected request was answered by another server, unless the answer names the addressed one. */
  private _statementOf (message: IncomingMessage, { server }: DispatchEffect): ServerStatement | undefined {
    const { headers } = this._options.dialect
    if (message.statusCode === MISDIRECTED_STATUS && singleHeader(message.headers, headers.serverId) !== server.id) return undefined
    return readServerStatement(message, headers, Date.now())
  }

  private _requestHeaders (effect: DispatchEffect, exchange: Exchange): string[] {
    const { dialect: { headers } } = this._options
    const replacedHeaders = new Set(
      [headers.deadline, headers.expectServer, headers.requestId, headers.depth, headers.retry, headers.service, headers.kind]
    )
    const { customer } = exchange
    if (customer !== undefined) for (const name of ['authorization', headers.customer]) replacedHeaders.add(name)
    const headerLines = forwardedHeaders(exchange.rawHeaders, (name) => name === 'content-length' || replacedHeaders.has(name))
    if (customer?.name !== undefined) headerLines.push(headers.customer, customer.name)
    headerLines.push(headers.requestId, exchange.requestId)
    headerLines.push(headers.deadline, String(Math.max(1, Math.floor(effect.leftMs))))
    headerLines.push(headers.expectServer, effect.server.id)
    if (headers.depth !== undefined) headerLines.push(headers.depth, String(exchange.spec.depth + 1))
    if (headers.retry !== undefined && (exchange.spec.retrySpent || effect.isRetryOrHedge)) headerLines.push(headers.retry, 'spent')
    return addBodyLength(headerLines, exchange)
  }
}

/** Adds the header that states the body's length, or chunked encoding if the length is unknown. */
function addBodyLength (lines: string[], { body: { length }, method }: Exchange): string[] {
  if (length === undefined) lines.push('transfer-encoding', 'chunked')
  else if (length > 0 || method === 'POST' || method === 'PUT' || method === 'PATCH') lines.push('content-length', String(length))
  return lines
}

/** Sends the buffered part of the body and streams the rest. */
function sendBody (call: ClientRequest, { body: { buffered, rest } }: Exchange): void {
  if (!rest) return void call.end(buffered.length > 0 ? buffered : undefined)
  if (buffered.length > 0) call.write(buffered)
  rest.pipe(call)
  rest.on('close', () => {
    if (!rest.complete) call.destroy()
  })
}

/**
 * Tracks whether the connection was established; if it was not, no byte of the request was sent. Node calls this listener before it sends
 * the request, so that a server which left meanwhile gets nothing.
 */
function trackConnection (call: ClientRequest, connectMs: number, mayUse: () => boolean): { established: () => boolean } {
  let made = false
  call.on('socket', (socket) => {
    if (!socket.connecting) {
      made = true
      return
    }
    const timeout = new InputTimeout(connectMs, () => call.destroy(new Error('backend server did not accept the connection in time')))
    socket.once('connect', () => {
      timeout.clear()
      if (mayUse()) made = true
      else call.destroy(new Error('backend server has left'))
    })
    socket.once('close', () => timeout.clear())
  })
  return { established: () => made }
}

/** Closes the connection of a call if too much is received before the head of an answer is complete. */
function limitHead (call: ClientRequest): void {
  call.once('socket', (socket) => {
    const before = socket.bytesRead
    const check = (): void => {
      if (socket.bytesRead - before > MAX_HEAD_BYTES) call.destroy(new Error('the head of the answer is too long'))
    }
    socket.on('data', check)
    for (const event of ['response', 'close']) call.once(event, () => socket.off('data', check))
  })
}

/** Counts what a call sends and receives on its connection, which earlier calls may have used. */
function countBytes (call: ClientRequest, done: (bytes: number) => void): void {
  call.once('socket', (socket) => {
    const before = socket.bytesRead + socket.bytesWritten
    call.once('close', () => done(socket.bytesRead + socket.bytesWritten - before))
  })
}

/** Returns why the head of an answer is not valid HTTP, or undefined if it is. */
function headFault ({ statusCode = 0, rawHeaders }: IncomingMessage): string | undefined {
  return statusCode < MIN_STATUS || statusCode > MAX_STATUS ? 'status' : headerFault(rawHeaders)
}

/** Whether the end of an answer is marked only by the end of its connection. */
function isDelimitedByClose ({ headers }: IncomingMessage): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined
}

/**
 * Calls `reset` if a connection that appears to have ended was reset. If the last bytes and the reset arrive together, libuv reports
 * only the end. A socket that was reset has no remote address.
 */
function onReset (socket: Socket, reset: () => void): void {
  socket.prependOnceListener('end', () => {
    if (socket.remoteAddress === undefined) reset()
  })
}

/** Reads a discarded answer to its end so that its connection can be reused. Closes it if the answer is too long or too slow. */
function discardAnswer (message: IncomingMessage, call: ClientRequest, done: () => void): void {
  let size = 0
  const timer = setTimeout(() => call.destroy(), DISCARD_TIMEOUT_MS)
  message.on('data', (part: Buffer) => {
    size += part.length
    if (size > MAX_DISCARDED_BYTES) call.destroy()
  })
  message.on('error', () => {})
  message.once('close', () => {
    clearTimeout(timer)
    if (!message.complete) call.destroy()
  })
  done()
}
