/** How many requests a second servers have stated that they take from all entries together. */
import type { Catalog } from '../discovery/catalog.js'
import type { Outbox } from '../effects.js'
import type { RegisteredServer } from '../discovery/registeredServer.js'
import type { AttemptOutcome, AttemptReport } from './placementRequest.js'

/** A limit as one entry reports it to another. */
export interface StatedLimit {
  server: string
  incarnation: string
  perSecond: number
  /** Time since the server stated it, in milliseconds. */
  ageMs: number
}

interface Statement {
  incarnation: string
  service: string
  /** Undefined after an answer without a limit, which ends an earlier one. */
  perSecond: number | undefined
  at: number
}

type ServerStart = Pick<RegisteredServer, 'id' | 'incarnation' | 'service'>

export interface ServerLimitsOptions {
  catalog: Catalog
  outbox: Outbox
}

/** Outcomes that only a verified answer of the addressed server has. */
const ANSWERED: ReadonlySet<AttemptOutcome> = new Set<AttemptOutcome>(['answered', 'failed', 'failed-below', 'shed'])
/** Statements of servers that are not registered any more are kept this long, because a registration may lapse and come back. */
const UNREGISTERED_RETENTION_MS = 60_000

/**
 * The newest statement of each server, from answers to this entry, from reports of attempts that schedulers of this entry granted, and from
 * entries that ask these schedulers for a server. So a scheduler that takes over knows every limit that the asking entry knows.
 */
export class ServerLimits {
  private readonly _options: ServerLimitsOptions
  private readonly _statements = new Map<string, Statement>()

  constructor (options: ServerLimitsOptions) {
    this._options = options
  }

  /** Records a limit that a server stated. */
  stated (server: ServerStart, perSecond: number, now: number): void {
    this._record(server, perSecond, now)
  }

  /** Records how an attempt ended: a verified answer without a limit ends the limit. */
  attemptEnded (server: ServerStart, { outcome, limitPerSecond }: AttemptReport, now: number): void {
    if (limitPerSecond !== undefined || ANSWERED.has(outcome)) this._record(server, limitPerSecond, now)
  }

  /** Records the limits that another entry knows. */
  reported (limits: readonly StatedLimit[], service: string, now: number): void {
    for (const { server: id, incarnation, perSecond, ageMs } of limits) this._record({ id, incarnation, service }, perSecond, now - ageMs)
  }

  /** The limit of a server, in requests a second from all entries; undefined if it states none. */
  of ({ id, incarnation }: Pick<ServerStart, 'id' | 'incarnation'>): number | undefined {
    const statement = this._statements.get(id)
    return statement?.incarnation === incarnation ? statement.perSecond : undefined
  }

  /** The limits of these servers, to report to another entry. */
  ofAll (servers: readonly RegisteredServer[], now: number): StatedLimit[] {
    const limits: StatedLimit[] = []
    if (this._statements.size === 0) return limits
    for (const { id: server, incarnation } of servers) {
      const statement = this._statements.get(server)
      if (statement?.perSecond === undefined || statement.incarnation !== incarnation) continue
      limits.push({ server, incarnation, perSecond: statement.perSecond, ageMs: Math.max(0, Math.round(now - statement.at)) })
    }
    return limits
  }

  /** Number of servers with a limit. */
  get count (): number {
    let count = 0
    for (const { perSecond } of this._statements.values()) if (perSecond !== undefined) count += 1
    return count
  }

  /** Forgets servers that are gone. */
  expire (now: number): void {
    for (const [id, { at }] of this._statements) {
      if (now - at > UNREGISTERED_RETENTION_MS && !this._options.catalog.get(id)) this._statements.delete(id)
    }
  }

  private _record ({ id, incarnation, service }: ServerStart, perSecond: number | undefined, at: number): void {
    const known = this._statements.get(id)
    const isKnown = known?.incarnation === incarnation
    if ((isKnown && known.at > at) || (perSecond === undefined && !known)) return
    this._statements.set(id, { incarnation, service, perSecond, at })
    if ((isKnown ? known.perSecond : undefined) === perSecond) return
    this._options.outbox.log({ decision: perSecond === undefined ? 'server-unlimited' : 'server-limited', server: id, service, perSecond })
  }
}
