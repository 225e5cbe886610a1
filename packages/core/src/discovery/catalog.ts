/** The backend servers that may be sent work, from their registrations. */
import type { ServerEntry } from './serverEntry.js'

/** A change of one registration; without an entry it was removed, or cannot be read. */
export interface Registration {
  id: string
  version: number
  entry?: ServerEntry
  /** Whether the row is there and names no server that could be used. */
  unreadable?: boolean
}

/** How long registrations that vanished in an outage of the store have to come back. */
export interface CatalogOptions {
  lapseMs: number
}

interface Listed {
  entry: ServerEntry
  /** A registration that lapsed in an outage still counts until then. */
  lapsesAt: number
}

/** Registered servers by id and by service. */
export class Catalog {
  private readonly _listed = new Map<string, Listed>()
  private readonly _byAddress = new Map<string, string>()
  private readonly _options: CatalogOptions
  private _storeReturnedAt = -Infinity

  constructor (options: CatalogOptions) {
    this._options = options
  }

  get size (): number {
    return this._listed.size
  }

  /** The store could not be reached for a while and now can: registrations may be missing that come back. */
  storeReturned (now: number): void {
    this._storeReturnedAt = now
  }

  /** Takes changes; returns the services that they touch. */
  apply (changes: readonly Registration[], now: number): Set<string> {
    const touched = new Set<string>()
    for (const change of changes) {
      const service = this._listed.get(change.id)?.entry.service
      if (service !== undefined) touched.add(service)
      if (change.entry) this._list(change.entry, touched)
      else this._unlist(change, now)
    }
    return touched
  }

  /** Registrations whose time to come back is over; returns the services that they touch. */
  expire (now: number): Set<string> {
    const touched = new Set<string>()
    for (const [id, { entry, lapsesAt }] of this._listed) {
      if (now < lapsesAt) continue
      this._remove(id)
      touched.add(entry.service)
    }
    return touched
  }

  get (id: string): ServerEntry | undefined {
    return this._listed.get(id)?.entry
  }

  /** Servers of a service that are not leaving. */
  readyOf (service: string): ServerEntry[] {
    const ready: ServerEntry[] = []
    for (const { entry } of this._listed.values()) {
      if (entry.service === service && entry.state === 'ready' && this._owns(entry)) ready.push(entry)
    }
    return ready
  }

  /** All registered servers. */
  all (): ServerEntry[] {
    return [...this._listed.values()].map(({ entry }) => entry)
  }

  private _list (entry: ServerEntry, touched: Set<string>): void {
    this._listed.set(entry.id, { entry, lapsesAt: Infinity })
    touched.add(entry.service)
    const address = addressOf(entry)
    const owner = this._byAddress.get(address)
    const former = owner === undefined ? undefined : this._listed.get(owner)?.entry
    if (former && former.id !== entry.id && addressOf(former) === address) {
      if (former.version > entry.version) return
      touched.add(former.service)
    }
    this._byAddress.set(address, entry.id)
  }

  private _unlist (change: Registration, now: number): void {
    const listed = this._listed.get(change.id)
    if (!listed) return
    const returnBy = this._storeReturnedAt + this._options.lapseMs
    if (change.unreadable || listed.entry.state === 'draining' || now >= returnBy) return this._remove(change.id)
    listed.lapsesAt = returnBy
  }

  private _remove (id: string): void {
    const listed = this._listed.get(id)
    if (!listed) return
    this._listed.delete(id)
    const address = addressOf(listed.entry)
    if (this._byAddress.get(address) === id) this._byAddress.delete(address)
  }

  /** An address is its newest registration's. */
  private _owns (entry: ServerEntry): boolean {
    const owner = this._byAddress.get(addressOf(entry))
    return owner === undefined || owner === entry.id
  }
}

function addressOf ({ host, port }: ServerEntry): string {
  return `${host}:${port}`
}
