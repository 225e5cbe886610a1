/** The registered backend servers, as read from their registrations in the store. */
import type { RegisteredServer } from './registeredServer.js'

/** A change of one registration. Without `entry`, the registration was removed or cannot be read. */
export interface RegistrationChange {
  id: string
  version: number
  entry?: RegisteredServer
  /** Whether the row exists but does not describe a usable server. */
  unreadable?: boolean
}

/** Time within which registrations that disappeared during a store outage may be renewed. */
export interface CatalogOptions {
  lapseMs: number
}

interface ListedServer {
  entry: RegisteredServer
  /** Time until which a registration that lapsed during a store outage remains valid. */
  lapsesAt: number
}

/** Registered servers by id, and the owner of each address. */
export class Catalog {
  private readonly _listed = new Map<string, ListedServer>()
  private readonly _idByAddress = new Map<string, string>()
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

  /** Applies registration changes. Returns the affected services. */
  apply (changes: readonly RegistrationChange[], now: number): Set<string> {
    const affected = new Set<string>()
    for (const change of changes) {
      const service = this._listed.get(change.id)?.entry.service
      if (service !== undefined) affected.add(service)
      if (change.entry) this._register(change.entry, affected)
      else this._unregister(change, now)
    }
    return affected
  }

  /** Removes registrations that were not renewed in time after an outage. Returns the affected services. */
  expire (now: number): Set<string> {
    const affected = new Set<string>()
    for (const [id, { entry, lapsesAt }] of this._listed) {
      if (now < lapsesAt) continue
      this._remove(id)
      affected.add(entry.service)
    }
    return affected
  }

  get (id: string): RegisteredServer | undefined {
    return this._listed.get(id)?.entry
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

  private _register (entry: RegisteredServer, affected: Set<string>): void {
    this._listed.set(entry.id, { entry, lapsesAt: Infinity })
    affected.add(entry.service)
    const address = addressOf(entry)
    const owner = this._idByAddress.get(address)
    const former = owner === undefined ? undefined : this._listed.get(owner)?.entry
    if (former && former.id !== entry.id && addressOf(former) === address) {
      if (former.version > entry.version) return
      affected.add(former.service)
    }
    this._idByAddress.set(address, entry.id)
  }

  private _unregister (change: RegistrationChange, now: number): void {
    const listed = this._listed.get(change.id)
    if (!listed) return
    const returnBy = this._storeRecoveredAt + this._options.lapseMs
    if (change.unreadable || listed.entry.state === 'draining' || now >= returnBy) return this._remove(change.id)
    listed.lapsesAt = returnBy
  }

  private _remove (id: string): void {
    const listed = this._listed.get(id)
    if (!listed) return
    this._listed.delete(id)
    const address = addressOf(listed.entry)
    if (this._idByAddress.get(address) === id) this._idByAddress.delete(address)
  }

  /** Whether a server owns its address: the newest registration of an address does. */
  private _ownsAddress (entry: RegisteredServer): boolean {
    const owner = this._idByAddress.get(addressOf(entry))
    return owner === undefined || owner === entry.id
  }
}

function addressOf ({ host, port }: RegisteredServer): string {
  return `${host}:${port}`
}
