/** What backend servers state about themselves in their answers, and how the other entries learn of it. */
import type { Catalog } from '../discovery/catalog.js'
import type { Outbox } from '../effects.js'
import type { ServerStatedEvent } from '../events.js'
import type { ServerLeavingMessage } from '../members/peerMessages.js'
import type { Roles } from '../members/roles.js'
import type { Roster } from '../members/roster.js'
import type { Cells } from './cells.js'
import type { ServerHolds } from './serverHolds.js'
import type { ServerLimits } from './serverLimits.js'

export interface ServerStatementsOptions {
  catalog: Catalog
  cells: Cells
  holds: ServerHolds
  limits: ServerLimits
  outbox: Outbox
  roles: Roles
  roster: Roster
  serversChanged: (services: Iterable<string>, now: number) => void
}

/** Number of schedulers of a cell that learn of a leaving server from the entry that received the answer. */
const NOTIFIED_SCHEDULER_COUNT = 2

/**
 * Applies statements of servers. A server that leaves counts as draining here at once. The schedulers of its cell are notified, which
 * notify all entries, so that no entry has to learn it from an answer of its own. A hold concerns only this entry. A limit concerns all of
 * them; schedulers learn of it with requests and reports.
 */
export class ServerStatements {
  private readonly _options: ServerStatementsOptions

  constructor (options: ServerStatementsOptions) {
    this._options = options
  }

  /** Processes a statement in an answer to this entry. */
  stated ({ server: id, incarnation, service, leaving, holdMs, limitPerSecond }: ServerStatedEvent, now: number): void {
    const { outbox, holds, limits } = this._options
    if (limitPerSecond !== undefined) limits.stated({ id, incarnation, service }, limitPerSecond, now)
    if (holdMs !== undefined && holdMs > 0) {
      holds.add({ id, incarnation, service }, holdMs, now)
      outbox.log({ decision: 'server-held', server: id, service, retryAfterMs: Math.round(holdMs) })
    }
    if (leaving) this._markLeaving({ kind: 'server-leaving', server: id, incarnation }, undefined, now)
  }

  /** Processes the report of another entry. */
  reported (from: string, message: ServerLeavingMessage, now: number): void {
    this._markLeaving(message, from, now)
  }

  tick (now: number): void {
    this._options.holds.expire(now)
    this._options.limits.expire(now)
  }

  private _markLeaving (message: ServerLeavingMessage, from: string | undefined, now: number): void {
    const { catalog, cells, outbox } = this._options
    const { server, incarnation } = message
    const registered = catalog.get(server)
    const cell = registered && cells.cellOf(registered)
    const affected = catalog.markLeaving(server, incarnation)
    if (affected.size === 0) return
    outbox.log({ decision: 'server-leaving', server, service: registered?.service, instance: from })
    this._options.serversChanged(affected, now)
    if (cell !== undefined) this._notify(cell, message, from)
  }

  private _notify (cell: string, message: ServerLeavingMessage, from: string | undefined): void {
    const { roles, roster, outbox } = this._options
    const { instance: self } = roster.self
    const schedulers = roles.schedulersOf(cell).slice(0, NOTIFIED_SCHEDULER_COUNT)
    const isScheduler = schedulers.some(({ instance }) => instance === self)
    if (from !== undefined && !isScheduler) return
    // While no entry has warmed up, each schedules its own requests.
    const receivers = isScheduler || schedulers.length === 0 ? roster.alive : schedulers
    for (const member of receivers) {
      if (member.instance !== self && member.instance !== from) outbox.send(member, message)
    }
  }
}
