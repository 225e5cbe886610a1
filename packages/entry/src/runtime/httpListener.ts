/** A Node HTTP server that can shut down gracefully. */
import { createServer, type RequestListener, type Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

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
  /** Called with the error code when a request could not be parsed and was rejected. */
  onMalformed?: (code: string) => void
}

/** Limits memory use. The request handlers enforce lower header limits and answer with a status of their own. */
const MAX_HEADER_BYTES = 262_144
const CONNECTION_CHECK_INTERVAL_MS = 250
const ERROR_STATUS_LINES: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/** An HTTP server on one port. */
export class HttpListener {
  private readonly _server: Server
  private readonly _options: ListenerOptions
  private readonly _unansweredRequests = new WeakMap<Socket, number>()

  constructor (listener: RequestListener, options: ListenerOptions) {
    this._options = options
    this._server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS
    }, (request, response) => {
      const { socket } = request
      this._unansweredRequests.set(socket, (this._unansweredRequests.get(socket) ?? 0) + 1)
      response.once('finish', () => this._unansweredRequests.set(socket, (this._unansweredRequests.get(socket) ?? 1) - 1))
      listener(request, response)
    })
    this._server.on('clientError', (error: NodeJS.ErrnoException, socket) => this._rejectMalformed(error, socket as Socket))
    this.setTimeouts(options)
  }

  /** Sets new timeouts. Connections that are already idle keep the previous ones. */
  setTimeouts ({ headerMs, idleMs }: ListenerTimeouts): void {
    this._server.headersTimeout = headerMs
    this._server.keepAliveTimeout = idleMs
  }

  /** Starts listening unless the server already listens. Resolves with the port, which the system chooses if the configured port is 0. */
  listen (): Promise<number> {
    if (this._server.listening) return Promise.resolve(this._port())
    return new Promise((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(this._options.port, this._options.host, () => {
        this._server.off('error', reject)
        resolve(this._port())
      })
    })
  }

  /** Stops accepting connections, closes idle ones, and resolves when all connections have closed. */
  close (): Promise<void> {
    return new Promise((resolve) => {
      this._server.close(() => resolve())
      this._server.closeIdleConnections()
    })
  }

  /** Closes all remaining connections immediately. */
  cut (): void {
    this._server.closeAllConnections()
  }

  private _port (): number {
    return (this._server.address() as AddressInfo).port
  }

  /**
   * Answers a malformed request with an error status. If earlier requests on the connection have no answer yet, the connection is closed
   * instead, since the caller would take the error for the answer to one of them.
   */
  private _rejectMalformed (error: NodeJS.ErrnoException, socket: Socket): void {
    this._options.onMalformed?.(error.code ?? 'unknown')
    if (!socket.writable || error.code === 'ECONNRESET' || (this._unansweredRequests.get(socket) ?? 0) > 0) return void socket.destroy()
    socket.end(`HTTP/1.1 ${ERROR_STATUS_LINES[error.code ?? ''] ?? '400 Bad Request'}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  }
}
