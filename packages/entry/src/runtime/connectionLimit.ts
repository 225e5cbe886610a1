/** Limits the connections that callers of a port may hold. */

/** A connection that can be closed immediately. */
export interface Closable {
  destroy (): void
}

/** Why a connection was closed: it was idle longest and a new one needed its place, or it was new and no connection was idle. */
export type ConnectionLoss = 'idle' | 'refused'

/** Options of a `ConnectionLimit`. */
export interface ConnectionLimitOptions {
  maxConnections: number
  /** Called for each connection that is closed because of the limit. */
  onClosed: (loss: ConnectionLoss) => void
}

/** Counts open connections. Above the limit, it closes the connection that has been idle longest, or the new one if none is idle. */
export class ConnectionLimit<C extends Closable> {
  private readonly _options: ConnectionLimitOptions
  private readonly _open = new Set<C>()
  /** In the order in which they became idle. */
  private readonly _idle = new Set<C>()

  constructor (options: ConnectionLimitOptions) {
    this._options = options
  }

  /** Number of open connections. */
  get size (): number {
    return this._open.size
  }

  /** Adds a new connection. Returns whether it may stay open. */
  add (connection: C): boolean {
    if (this._open.size >= this._options.maxConnections && !this.closeIdle()) {
      this._options.onClosed('refused')
      connection.destroy()
      return false
    }
    this._open.add(connection)
    this._idle.add(connection)
    return true
  }

  /** Marks a connection on which a request has been read. */
  markBusy (connection: C): void {
    this._idle.delete(connection)
  }

  /** Marks a connection whose requests have all been answered. */
  markIdle (connection: C): void {
    if (this._open.has(connection)) this._idle.add(connection)
  }

  /** Removes a connection that has been closed. */
  remove (connection: C): void {
    this._open.delete(connection)
    this._idle.delete(connection)
  }

  /** Closes the connection that has been idle longest. Returns whether there was one. */
  closeIdle (): boolean {
    const [oldest] = this._idle
    if (oldest === undefined) return false
    this.remove(oldest)
    this._options.onClosed('idle')
    oldest.destroy()
    return true
  }
}
