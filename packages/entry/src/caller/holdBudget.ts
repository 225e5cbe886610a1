/** Limits what an entry holds for callers: open requests, their bodies, and answers that callers have not taken. */

/** Options of a `HoldBudget`. */
export interface HoldBudgetOptions {
  /** Most bytes of bodies and answers that are held for all callers together. */
  maxBytes: number
  /** Most open requests of all callers together. */
  maxRequests: number
  /** Most open requests of one connection. */
  maxRequestsPerConnection: number
  /** Called when something is not held for want of memory, or since too many requests are open. */
  onRefused: (reason: HoldRefusal) => void
}

/** What was exhausted. */
export type HoldRefusal = 'bytes' | 'requests' | 'requests-of-connection'

/** Counts what is held for callers and refuses what exceeds the limits. */
export class HoldBudget {
  private readonly _options: HoldBudgetOptions
  private readonly _requestsOf = new WeakMap<object, number>()
  private _requests = 0
  private _bytes = 0

  constructor (options: HoldBudgetOptions) {
    this._options = options
  }

  /** Bytes held at present. */
  get bytes (): number {
    return this._bytes
  }

  /** Opens a request of a connection, or returns why it has to be refused. */
  open (connection: object): Hold | HoldRefusal {
    const { maxRequests, maxRequestsPerConnection, onRefused } = this._options
    const ofConnection = this._requestsOf.get(connection) ?? 0
    const refusal = this._requests >= maxRequests
      ? 'requests'
      : ofConnection >= maxRequestsPerConnection ? 'requests-of-connection' : undefined
    if (refusal !== undefined) {
      onRefused(refusal)
      return refusal
    }
    this._requests += 1
    this._requestsOf.set(connection, ofConnection + 1)
    return new Hold((bytes) => this._take(bytes), (bytes) => {
      this._requests -= 1
      this._bytes -= bytes
      this._requestsOf.set(connection, this._requestsOf.get(connection)! - 1)
    })
  }

  private _take (bytes: number): boolean {
    const { maxBytes, onRefused } = this._options
    if (this._bytes + bytes > maxBytes) {
      onRefused('bytes')
      return false
    }
    this._bytes += bytes
    return true
  }
}

/** What is held for one request, until all its users have released it: the caller's response, and the core from its arrival to its end. */
export class Hold {
  private readonly _take: (bytes: number) => boolean
  private readonly _release: (bytes: number) => void
  private _bytes = 0
  private _users = 1

  constructor (take: (bytes: number) => boolean, release: (bytes: number) => void) {
    this._take = take
    this._release = release
  }

  /** Holds further bytes. Returns whether there is room for them. */
  take (bytes: number): boolean {
    if (this._users === 0 || !this._take(bytes)) return false
    this._bytes += bytes
    return true
  }

  /** Adds a user. */
  retain (): void {
    this._users += 1
  }

  /** Ends the use by one user. The last one releases the request and all its bytes; further calls have no effect. */
  release (): void {
    if (this._users === 0) return
    this._users -= 1
    if (this._users === 0) this._release(this._bytes)
  }
}
