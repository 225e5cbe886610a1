/** Servers that asked this entry for a pause. */
import type { Catalog } from '../discovery/catalog.js'
import type { RegisteredServer } from '../discovery/registeredServer.js'
import type { Random } from '../random.js'

/** A server at one of its starts. */
export type ServerStart = Pick<RegisteredServer, 'id' | 'incarnation' | 'service'>

interface Hold {
  incarnation: string
  service: string
  until: number
}

/** A hold is extended by up to this fraction of its length, so that entries that were held together do not return together. */
const MAX_EXTENSION_RATIO = 0.1
const MAX_EXTENSION_MS = 500

export interface ServerHoldsOptions {
  catalog: Catalog
  random: Random
}

/**
 * The time until which each server wants nothing from this entry. A hold binds this entry alone: the server may have room for others, which
 * learn from its answers to them, so schedulers leave a held server out for the requests of the held entry only. It ends when another
 * incarnation of the server registers.
 */
export class ServerHolds {
  private readonly _holds = new Map<string, Hold>()
  private readonly _options: ServerHoldsOptions

  constructor (options: ServerHoldsOptions) {
    this._options = options
  }

  /** Holds back from a server for `ms` milliseconds. A longer hold in force stays. */
  add ({ id, incarnation, service }: ServerStart, ms: number, now: number): void {
    const until = now + ms + Math.min(MAX_EXTENSION_MS, ms * MAX_EXTENSION_RATIO) * this._options.random.next()
    const hold = this._holds.get(id)
    if (hold?.incarnation === incarnation && hold.until >= until) return
    this._holds.set(id, { incarnation, service, until })
  }

  /** Whether a server wants nothing from this entry now. */
  isHeld ({ id, incarnation }: Pick<ServerStart, 'id' | 'incarnation'>, now: number): boolean {
    const hold = this._holds.get(id)
    return hold !== undefined && hold.incarnation === incarnation && now < hold.until
  }

  /** Ids of the held servers of a service. */
  heldOf (service: string, now: number): string[] {
    const ids: string[] = []
    for (const [id, hold] of this._holds) {
      const isCurrent = this._options.catalog.get(id)?.incarnation === hold.incarnation
      if (hold.service === service && isCurrent && now < hold.until) ids.push(id)
    }
    return ids
  }

  /** Number of holds in force. */
  count (now: number): number {
    let count = 0
    for (const { until } of this._holds.values()) if (now < until) count += 1
    return count
  }

  /** Time until the first usable server of a service wants requests again, in milliseconds; 0 if one does now or if there is none. */
  firstReturnMs (service: string, isUsable: (server: RegisteredServer) => boolean, now: number): number {
    if (this.heldOf(service, now).length === 0) return 0
    let firstMs = Infinity
    for (const server of this._options.catalog.readyOf(service)) {
      if (!isUsable(server)) continue
      if (!this.isHeld(server, now)) return 0
      firstMs = Math.min(firstMs, this._holds.get(server.id)!.until - now)
    }
    return firstMs === Infinity ? 0 : firstMs
  }

  /** Forgets holds that have ended. */
  expire (now: number): void {
    for (const [id, { until }] of this._holds) if (now >= until) this._holds.delete(id)
  }
}
