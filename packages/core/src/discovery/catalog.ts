/** The registered backend servers, as read from their registrations in the store. */
import { isLater, type Position } from '../position.js'
import type { RegisteredServer } from './registeredServer.js'

/** A change of one registration. Without `entry`, the registration was removed or cannot be read. */
export interface RegistrationChange {
  id: string
  version: number
  entry?: RegisteredServer
  /** Whether the row exists but does not describe a usable server. */
  unreadable?: boolean
  /** Whether the store has lost the row, because it was restored from a copy. The server may write it again. */
  isLost?: boolean
}

export interface CatalogOptions {
  /** Time within which registrations that disappeared during a store outage may be renewed, in milliseconds. */
  lapseMs: number
  /** Whether the configuration in force has a service. A registration for any other service names no server to use. */
  isDeclared: (service: string) => boolean
}

/** Bounds memory. Servers that left this long ago are no longer registered. */
const MAX_LEAVING_SERVERS = 10_000
/** Bounds memory. A store that is restored from a copy holds registrations of servers that left seconds before. */
const MAX_DEPARTED_SERVERS = 2000

interface ListedServer {
  entry: RegisteredServer
  /** Time until which a registration that lapsed during a store outage remains valid. */
  lapsesAt: number
  /** Whether a restored store has lost the registration. */
  isLost?: boolean
}

interface DepartedServer {
  entry: RegisteredServer
  removedAt: number
}

/** Why a server must not get a request that another entry has granted to it. */
export type Unfitness = 'draining' | 'unregistered'

/** Registered servers by id, and the registrations of each address. */
export class Catalog {
  private readonly _listed = new Map<string, ListedServer>()
  /** Incarnations that stated in an answer that they are leaving, by server id. */
  private readonly _leaving = new Map<string, string>()
  /** Registrations that were removed, by server id. */
  private readonly _departed = new Map<string, DepartedServer>()
  private readonly _idsByAddress = new Map<string, Set<string>>()
  private readonly _options: CatalogOptions
  private _storeRecoveredAt = -Infinity

  constructor (options: CatalogOptions) {
    this._options = options
  }

  get size (): number {
    return this._listed.size
  }

  /** Records that the store is reachable again after an outage. Missing registrations may still be renewed. */
  storeRecovered (now: number): void {
    this._storeRecoveredAt = now
  }

  /** Records that there was no outage: registrations that are missing were removed by their servers, or lapsed long after these ended. */
  outageRefuted (now: number): void {
    this._storeRecoveredAt = -Infinity
    for (const listed of this._listed.values()) if (listed.lapsesAt < Infinity && !listed.isLost) listed.lapsesAt = now
  }

  /** Applies registration changes. Returns the affected services. */
  apply (changes: readonly RegistrationChange[], now: number): Set<string> {
    const affected = new Set<string>()
    for (const change of changes) {
      if (change.entry && this._isOutdated(change.entry)) continue
      const previous = this._listed.get(change.id)?.entry
      if (previous) this._addServicesAt(previous, affected)
      if (change.entry) this._register(change.entry)
      else this._unregister(change, now)
      if (change.entry) this._addServicesAt(change.entry, affected)
    }
    return affected
  }

  /**
   * Records that a server stated that it is leaving. It counts as draining until another incarnation of it registers, whatever its
   * registration says. Returns the affected services, none if this was known or concerns an earlier incarnation.
   */
  markLeaving (id: string, incarnation: string): Set<string> {
    const affected = new Set<string>()
    const listed = this._listed.get(id)
    if (this._leaving.get(id) === incarnation || (listed && listed.entry.incarnation !== incarnation)) return affected
    this._leaving.delete(id)
    this._leaving.set(id, incarnation)
    const oldest = this._leaving.size > MAX_LEAVING_SERVERS ? this._leaving.keys().next().value : undefined
    if (oldest !== undefined) this._leaving.delete(oldest)
    if (!listed) return affected
    listed.entry = this._withStatedState(listed.entry)
    this._addServicesAt(listed.entry, affected)
    return affected
  }

  /** Removes registrations that were not renewed in time after an outage. Returns the affected services. */
  expire (now: number): Set<string> {
    const affected = new Set<string>()
    for (const [id, { entry, lapsesAt }] of this._listed) {
      if (now < lapsesAt) continue
      this._addServicesAt(entry, affected)
      this._remove(id, now)
    }
    return affected
  }

  get (id: string): RegisteredServer | undefined {
    return this._listed.get(id)?.entry
  }

  /**
   * Returns why a server must not be used, as far as the registrations up to a position tell; undefined if it may be. `server` is what
   * another entry knows of it, which may be older or newer: a registration after the position is not known here yet.
   */
  unfitness (server: RegisteredServer, position: Position | undefined): Unfitness | undefined {
    const { id, incarnation } = server
    if (this._leaving.get(id) === incarnation) return 'draining'
    const listed = this._listed.get(id)?.entry
    if (!listed) return position && !isLater(server, position) ? 'unregistered' : undefined
    if (listed.incarnation === incarnation) return listed.state === 'draining' ? 'draining' : undefined
    return isLater(server, listed) ? undefined : 'unregistered'
  }

  /** Time since the registration of a server was removed; 0 if that is not known. */
  removedMs (id: string, now: number): number {
    return now - (this._departed.get(id)?.removedAt ?? now)
  }

  /** Servers of a service that are ready and own their address. */
  readyOf (service: string): RegisteredServer[] {
    const ready: RegisteredServer[] = []
    for (const { entry } of this._listed.values()) {
      if (entry.service === service && entry.state === 'ready' && this._ownsAddress(entry)) ready.push(entry)
    }
    return ready
  }

  /** All registered servers. */
  all (): RegisteredServer[] {
    return [...this._listed.values()].map(({ entry }) => entry)
  }

  private _withStatedState (entry: RegisteredServer): RegisteredServer {
    return this._leaving.get(entry.id) === entry.incarnation ? { ...entry, state: 'draining' } : entry
  }

  private _register (registered: RegisteredServer): void {
    const entry = this._withStatedState(registered)
    const previous = this._listed.get(entry.id)?.entry
    if (previous) this._removeAddress(previous)
    this._departed.delete(entry.id)
    this._listed.set(entry.id, { entry, lapsesAt: Infinity })
    const address = addressOf(entry)
    const ids = this._idsByAddress.get(address)
    if (ids) ids.add(entry.id)
    else this._idsByAddress.set(address, new Set([entry.id]))
  }

  private _unregister (change: RegistrationChange, now: number): void {
    const listed = this._listed.get(change.id)
    if (!listed) return
    const returnBy = (change.isLost ? now : this._storeRecoveredAt) + this._options.lapseMs
    if (change.unreadable || listed.entry.state === 'draining' || now >= returnBy) return this._remove(change.id, now)
    listed.lapsesAt = returnBy
    listed.isLost = change.isLost
  }

  private _remove (id: string, now: number): void {
    const listed = this._listed.get(id)
    if (!listed) return
    this._listed.delete(id)
    this._removeAddress(listed.entry)
    this._departed.delete(id)
    this._departed.set(id, { entry: listed.entry, removedAt: now })
    if (this._departed.size > MAX_DEPARTED_SERVERS) this._departed.delete(this._departed.keys().next().value!)
  }

  /** Whether a server has made a later statement than a row, which was written late or comes from a copy of the store. */
  private _isOutdated (row: RegisteredServer): boolean {
    const listed = this._listed.get(row.id)?.entry
    const known = listed ?? this._departed.get(row.id)?.entry
    if (!known) return false
    const isRestored = (row.era ?? 0) > (known.era ?? 0)
    if (row.incarnation !== known.incarnation) {
      return isRestored && row.bornAt !== undefined && known.bornAt !== undefined && row.bornAt < known.bornAt
    }
    if (row.sequence !== undefined && known.sequence !== undefined) {
      return row.sequence < known.sequence || (row.sequence === known.sequence && isRestored && !listed)
    }
    if (!isRestored) return false
    return (known.state === 'draining' && row.state !== 'draining') || (!listed && row.version === known.version)
  }

  private _removeAddress (entry: RegisteredServer): void {
    const address = addressOf(entry)
    const ids = this._idsByAddress.get(address)
    ids?.delete(entry.id)
    if (ids?.size === 0) this._idsByAddress.delete(address)
  }

  /** Whether a server owns its address: the newest registration of an address for a declared service does. */
  private _ownsAddress (entry: RegisteredServer): boolean {
    for (const other of this._at(entry)) {
      if (isLater(other, entry) && this._options.isDeclared(other.service)) return false
    }
    return true
  }

  /** Adds the services of all registrations for the address of a server: a change of one may change which of them owns it. */
  private _addServicesAt (entry: RegisteredServer, services: Set<string>): void {
    for (const { service } of this._at(entry)) services.add(service)
  }

  private * _at (entry: RegisteredServer): Generator<RegisteredServer> {
    for (const id of this._idsByAddress.get(addressOf(entry)) ?? []) yield this._listed.get(id)!.entry
  }
}

function addressOf ({ host, port }: RegisteredServer): string {
  return `${host}:${port}`
}
