/** A Node HTTP server that can shut down gracefully. */
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { afterPendingInput } from '../pendingInput.js'
import { ConnectionLimit, type ConnectionLoss } from './connectionLimit.js'
import { limitParsing } from './pipelineLimit.js'

/** Limits on how long a client can keep a connection waiting. */
export interface ListenerTimeouts {
  /** Longest time to receive a request's header, in milliseconds. */
  headerMs: number
  /** Longest time that a connection may stay idle, in milliseconds. */
  idleMs: number
}

/** Options of an `HttpListener`. */
export interface ListenerOptions extends ListenerTimeouts {
  host: string
  port: number
  /** Most connections that callers may hold; above it, idle ones are closed and new ones refused. Unlimited if absent. */
  maxConnections?: number
  /** Most requests of one connection that have no answer yet; one more ends the connection after the answers to these. */
  maxUnanswered?: number
  /** Longest head of a request, in bytes; enough for the entry's own interfaces if absent. */
  maxHeaderBytes?: number
  /** Called for each connection that was closed because of a limit, and when the system refused to accept one. */
  onConnectionLost?: (loss: ConnectionLoss | 'accept-failed' | 'answer-not-taken' | 'too-many-unanswered') => void
  /** Called with the error code and the caller's address when a request could not be read in time or parsed, and was rejected. */
  onRejected?: (code: string, caller: string) => void
  /** Called when a request is dropped because it was read after its connection had been rejected or announced to close. */
  onDropped?: (caller: string) => void
  /** Called when the request handler threw; the request's connection is closed. */
  onError?: (error: unknown) => void
}

/** What is known about one connection. */
interface ConnectionState {
  /** Number of requests whose header has been read. */
  requestsRead: number
  /** Number of requests that have been read and not answered. */
  unanswered: number
  /** A rejection or the announcement of the close was sent. The caller may send elsewhere what is read later, so it must not run. */
  closing: boolean
  /** Nothing more is read or parsed. */
  stopped: boolean
  /** The request that was read last. */
  lastRequest?: IncomingMessage
  /** Responses that the caller has not taken yet. */
  readonly responses: Set<ServerResponse>
}

/** No caller that keeps its answers flowing sends so many requests ahead. */
const DEFAULT_MAX_UNANSWERED = 64
/** Limits memory use. The request handlers enforce lower header limits and answer with a status of their own. */
const DEFAULT_MAX_HEADER_BYTES = 16_384
/** A connection is closed if its caller takes no byte of an answer for so long. */
const ANSWER_TIMEOUT_MS = 15_000
const CONNECTION_CHECK_INTERVAL_MS = 250
/** How long a rejected connection stays open, so that the caller can read the rejection before the connection is closed. */
const REJECTED_LINGER_MS = 1000
/** A body of which more than this follows its response costs more than a new connection. */
const MAX_DISCARDED_BYTES = 67_108_864
/** How long requests may still be answered once the port is closed. */
const CLOSE_TIMEOUT_MS = 100
/** HTTP/1.1 requires the header `Host`. */
const BAD_REQUEST_STATUS = 400
const EXPECTATION_FAILED_STATUS = 417
const HEADER_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT'
const ERROR_STATUS_LINES: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  [HEADER_TIMEOUT_CODE]: '408 Request Timeout'
}

/** An HTTP server on one port. */
export class HttpListener {
  private readonly _server: Server
  private readonly _options: ListenerOptions
  private readonly _connections = new WeakMap<Socket, ConnectionState>()
  /** Responses that callers have not taken yet. */
  private readonly _openResponses = new Set<ServerResponse>()
  private readonly _answeredWaiters: Array<() => void> = []
  private readonly _limit: ConnectionLimit<Socket>

  constructor (listener: RequestListener, options: ListenerOptions) {
    this._options = options
    this._limit = new ConnectionLimit({
      maxConnections: options.maxConnections ?? Infinity, onClosed: (loss) => options.onConnectionLost?.(loss)
    })
    this._server = createServer({
      maxHeaderSize: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
      requestTimeout: 0,
      // Node would answer such a request itself, without a limit on how many there are.
      requireHostHeader: false,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS
    }, (request, response) => this._handleRequest(listener, request, response))
    this._server.on('checkExpectation', (request, response) => {
      this._handleRequest(() => this._refuse(EXPECTATION_FAILED_STATUS, request, response), request, response)
    })
    this._server.on('connection', (socket) => this._admit(socket))
    this._server.on('error', () => this._handleAcceptError())
    this._server.on('clientError', (error: NodeJS.ErrnoException, socket) => this._handleError(error, socket as Socket))
    this._server.timeout = ANSWER_TIMEOUT_MS
    this._server.on('timeout', (socket) => this._handleTimeout(socket))
    this.setTimeouts(options)
  }

  /** Sets new timeouts. Connections that are already idle keep the previous ones. */
  setTimeouts ({ headerMs, idleMs }: ListenerTimeouts): void {
    this._server.headersTimeout = headerMs
    this._server.keepAliveTimeout = idleMs
  }

  /** Number of open connections. */
  get connections (): number {
    return this._limit.size
  }

  /** Starts listening unless the server already listens. Resolves with the port, which the system chooses if the configured port is 0. */
  listen (): Promise<number> {
    if (this._server.listening) return Promise.resolve(this._port())
    return new Promise((resolve, reject) => {
      const listening = (): void => {
        this._server.off('error', failed)
        resolve(this._port())
      }
      const failed = (error: Error): void => {
        this._server.off('listening', listening)
        reject(error)
      }
      this._server.once('error', failed).once('listening', listening).listen(this._options.port, this._options.host)
    })
  }

  /** Stops accepting connections, closes idle ones at once and the others soon after, and resolves when all have closed. */
  close (): Promise<void> {
    return new Promise((resolve) => {
      // A connection on which nothing has been received does not count as idle.
      const timer = setTimeout(() => this.cut(), CLOSE_TIMEOUT_MS)
      this._server.close(() => {
        clearTimeout(timer)
        resolve()
      })
      this._server.closeIdleConnections()
    })
  }

  /**
   * Whether the connection of a request is to be closed after the response to it. That is so if it was read last, since earlier responses
   * must leave the connection open for the later ones. Nothing that is read afterwards is handed over.
   */
  closeAfter (request: IncomingMessage): boolean {
    const connection = this._stateOf(request.socket)
    if (connection.lastRequest !== request) return false
    connection.closing = true
    return true
  }

  /** Resolves when callers have taken all responses to the requests that have been read. */
  async answered (): Promise<void> {
    while (this._openResponses.size > 0) {
      await new Promise<void>((resolve) => this._answeredWaiters.push(resolve))
    }
  }

  /** Number of responses that callers have not taken. */
  get unanswered (): number {
    return this._openResponses.size
  }

  /** Closes all remaining connections immediately. */
  cut (): void {
    this._server.closeAllConnections()
  }

  /** Hands a request over, unless its connection is closing or has too many requests without an answer. */
  private _handleRequest (listener: RequestListener, request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request
    const connection = this._stateOf(socket)
    if (connection.closing) {
      stopReading(socket, connection)
      return this._options.onDropped?.(callerOf(socket))
    }
    if (connection.unanswered >= (this._options.maxUnanswered ?? DEFAULT_MAX_UNANSWERED)) return this._endAfterAnswers(socket, connection)
    this._trackResponse(request, response, connection)
    const isValid = request.headers.host !== undefined || request.httpVersion !== '1.1'
    try {
      if (isValid) listener(request, response)
      else this._refuse(BAD_REQUEST_STATUS, request, response)
    } catch (error) {
      this._options.onError?.(error)
      response.destroy()
    }
  }

  /** Answers a request that no handler sees, and closes its connection. */
  private _refuse (status: number, { socket }: IncomingMessage, response: ServerResponse): void {
    this._stateOf(socket).closing = true
    response.writeHead(status, { 'content-length': 0, connection: 'close' }).end()
  }

  /** Closes a connection once the requests that were handed over have been answered. What was sent behind them is not read. */
  private _endAfterAnswers (socket: Socket, connection: ConnectionState): void {
    connection.closing = true
    stopReading(socket, connection)
    this._options.onConnectionLost?.('too-many-unanswered')
    for (const response of connection.responses) {
      response.once('finish', () => {
        if (connection.unanswered === 0) socket.destroySoon()
      })
    }
  }

  private _port (): number {
    return (this._server.address() as AddressInfo).port
  }

  private _admit (socket: Socket): void {
    if (!this._limit.add(socket)) return
    limitParsing(socket, this._stateOf(socket))
    // Node does not close a response that waits for an earlier one on its connection.
    socket.once('close', () => {
      this._limit.remove(socket)
      for (const response of this._stateOf(socket).responses) this._endResponse(response)
    })
  }

  /** Some versions of Node report here that a connection could not be accepted, for example for want of a descriptor. */
  private _handleAcceptError (): void {
    if (!this._server.listening) return
    this._options.onConnectionLost?.('accept-failed')
    this._limit.closeIdle()
  }

  private _trackResponse (request: IncomingMessage, response: ServerResponse, connection: ConnectionState): void {
    connection.requestsRead += 1
    connection.unanswered += 1
    connection.lastRequest = request
    this._limit.markBusy(request.socket)
    this._openResponses.add(response)
    connection.responses.add(response)
    response.once('close', () => {
      connection.responses.delete(response)
      this._endResponse(response)
    })
    response.once('finish', () => {
      connection.unanswered -= 1
      if (connection.unanswered === 0) this._limit.markIdle(request.socket)
      if (!request.complete) discardBody(request)
    })
  }

  private _endResponse (response: ServerResponse): void {
    this._openResponses.delete(response)
    for (const resolve of this._answeredWaiters.splice(0)) resolve()
  }

  private _stateOf (socket: Socket): ConnectionState {
    let connection = this._connections.get(socket)
    if (!connection) {
      connection = { requestsRead: 0, unanswered: 0, closing: false, stopped: false, responses: new Set() }
      this._connections.set(socket, connection)
    }
    return connection
  }

  private _handleError (error: NodeJS.ErrnoException, socket: Socket): void {
    const code = error.code ?? 'unknown'
    if (code !== HEADER_TIMEOUT_CODE) return this._reject(code, socket)
    const connection = this._stateOf(socket)
    const { requestsRead } = connection
    afterPendingInput(() => {
      if (connection.requestsRead === requestsRead) this._reject(code, socket)
    })
  }

  /**
   * Answers with an error status a request that could not be read. If earlier requests on the connection have no answer yet, the connection
   * is closed instead, since the caller would take the error for the answer to one of them.
   */
  private _reject (code: string, socket: Socket): void {
    const connection = this._stateOf(socket)
    this._options.onRejected?.(code, callerOf(socket))
    connection.closing = true
    if (!socket.writable || code === 'ECONNRESET' || connection.unanswered > 0) return void socket.destroy()
    socket.end(`HTTP/1.1 ${ERROR_STATUS_LINES[code] ?? '400 Bad Request'}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
    const timer = setTimeout(() => socket.destroy(), REJECTED_LINGER_MS)
    socket.once('close', () => clearTimeout(timer))
  }

  /** A connection without input or output for a while waits for a server, or its caller does not take the answer, or it is idle. */
  private _handleTimeout (socket: Socket): void {
    if (this._stateOf(socket).unanswered === 0) return this._closeIdle(socket)
    if (socket.writableLength === 0) return
    this._options.onConnectionLost?.('answer-not-taken')
    socket.destroy()
  }

  private _closeIdle (socket: Socket): void {
    const { bytesRead } = socket
    afterPendingInput(() => {
      if (socket.bytesRead === bytesRead) socket.destroy()
    })
  }
}

/** Reads and parses nothing more of a connection. Responses that are under way are still sent. */
function stopReading (socket: Socket, connection: ConnectionState): void {
  connection.stopped = true
  socket.pause()
}

/** Reads the rest of a body that nobody needs, since the caller's next request follows it. */
function discardBody (request: IncomingMessage): void {
  let size = 0
  request.unpipe()
  request.on('data', (part: Buffer) => {
    size += part.length
    if (size > MAX_DISCARDED_BYTES) request.socket.destroy()
  })
  request.resume()
}

function callerOf ({ remoteAddress, remotePort }: Socket): string {
  return `${remoteAddress}:${remotePort}`
}
