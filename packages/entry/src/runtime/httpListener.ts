/** A listening Node http server that can end gracefully. */
import { createServer, type RequestListener, type Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** Bounds on what a peer may make the server wait for. */
export interface ListenerBounds {
  /** Longest time for a request's header, in milliseconds. */
  headerMs: number
  /** Longest time that a connection may be idle, in milliseconds. */
  idleMs: number
}

/** Where and how to listen. */
export interface ListenerOptions extends ListenerBounds {
  host: string
  port: number
  /** Requests that could not be read were refused. */
  malformed?: (code: string) => void
}

/** Larger headers are refused with their own status by whoever reads them; this bounds memory. */
const MOST_HEADER_BYTES = 262_144
const CHECK_MS = 250
const REFUSALS: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/** One listening port. */
export class HttpListener {
  private readonly _server: Server
  private readonly _options: ListenerOptions
  private readonly _unanswered = new WeakMap<Socket, number>()

  constructor (listener: RequestListener, options: ListenerOptions) {
    this._options = options
    this._server = createServer({
      maxHeaderSize: MOST_HEADER_BYTES, requestTimeout: 0, connectionsCheckingInterval: CHECK_MS
    }, (request, response) => {
      const { socket } = request
      this._unanswered.set(socket, (this._unanswered.get(socket) ?? 0) + 1)
      response.once('finish', () => this._unanswered.set(socket, (this._unanswered.get(socket) ?? 1) - 1))
      listener(request, response)
    })
    this._server.on('clientError', (error: NodeJS.ErrnoException, socket) => this._refuse(error, socket as Socket))
    this.bound(options)
  }

  /** Sets new bounds; connections that are idle already keep theirs. */
  bound ({ headerMs, idleMs }: ListenerBounds): void {
    this._server.headersTimeout = headerMs
    this._server.keepAliveTimeout = idleMs
  }

  /** Listens, unless it does already; settles with the port, which the system chose if it was 0. */
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

  /** Takes no new connections, ends idle ones, and settles when all have ended. */
  close (): Promise<void> {
    return new Promise((resolve) => {
      this._server.close(() => resolve())
      this._server.closeIdleConnections()
    })
  }

  /** Cuts what is left. */
  cut (): void {
    this._server.closeAllConnections()
  }

  private _port (): number {
    return (this._server.address() as AddressInfo).port
  }

  /** A refusal must not come before the answers to requests that were read before; then the connection only ends. */
  private _refuse (error: NodeJS.ErrnoException, socket: Socket): void {
    this._options.malformed?.(error.code ?? 'unknown')
    if (!socket.writable || error.code === 'ECONNRESET' || (this._unanswered.get(socket) ?? 0) > 0) return void socket.destroy()
    socket.end(`HTTP/1.1 ${REFUSALS[error.code ?? ''] ?? '400 Bad Request'}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  }
}
