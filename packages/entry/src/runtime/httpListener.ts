/** A listening Node http server that can end gracefully. */
import { createServer, type RequestListener, type Server, type ServerOptions } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Bounds on what a peer may make the server wait for. */
export interface ListenerOptions {
  host: string
  port: number
  headerBytes?: number
  headersMs?: number
  requestMs?: number
  keepAliveMs?: number
}

/** One listening port. */
export class HttpListener {
  private readonly _server: Server
  private readonly _options: ListenerOptions

  constructor (listener: RequestListener, options: ListenerOptions) {
    this._options = options
    const settings: ServerOptions = {
      maxHeaderSize: options.headerBytes,
      headersTimeout: options.headersMs,
      requestTimeout: options.requestMs,
      keepAliveTimeout: options.keepAliveMs,
      connectionsCheckingInterval: Math.min(1000, options.headersMs ?? 1000)
    }
    this._server = createServer(settings, listener)
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

  private _port (): number {
    return (this._server.address() as AddressInfo).port
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
}
