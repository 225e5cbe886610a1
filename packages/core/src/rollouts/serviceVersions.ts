/** Which software versions of each service may get requests. */
import type { Catalog } from '../discovery/catalog.js'
import type { RegisteredServer } from '../discovery/registeredServer.js'
import { isFinal, type PlacedOrder, type StoredRecord } from './rolloutOrder.js'

export interface ServiceVersionsOptions {
  catalog: Catalog
  /** Time at which this entry's copy of the roll-out records was last known to match the store. */
  confirmedAt: () => number
}

/** What a server may get. */
export type VersionStanding =
  /** Any request. */
  | 'in-service'
  /** The requests of a trial. */
  | 'on-trial'
  | 'excluded'

/**
 * Servers of a service start within this time of each other when the platform starts it. A server that starts later with another version
 * waits for an order.
 */
const COMMON_START_MS = 10_000
/**
 * During a roll-out, an entry whose copy of the record is older than this no longer uses the former servers: the roll-out may have been
 * completed meanwhile, and they end without draining. The deciding entry waits this long for entries that it does not hear.
 */
export const FORMER_LEASE_MS = 10_000

/** The orders and records that this entry knows, and what follows from them for each server. */
export class ServiceVersions {
  private readonly _options: ServiceVersionsOptions
  private readonly _orders = new Map<string, PlacedOrder>()
  private readonly _records = new Map<string, StoredRecord>()
  private _resumedAt = -Infinity
  private readonly _withoutRecord = new Map<string, ReadonlySet<string>>()

  constructor (options: ServiceVersionsOptions) {
    this._options = options
  }

  /** Services with an order or a record of one. */
  get services (): Set<string> {
    return new Set([...this._orders.keys(), ...this._records.keys()])
  }

  order (service: string): PlacedOrder | undefined {
    return this._orders.get(service)
  }

  record (service: string): StoredRecord | undefined {
    return this._records.get(service)
  }

  /** Whether the records have to be followed: there is an order, or a roll-out that has not ended. */
  get areFollowed (): boolean {
    if (this._orders.size > 0) return true
    for (const record of this._records.values()) if (!isFinal(record)) return true
    return false
  }

  placed (order: PlacedOrder): void {
    const known = this._orders.get(order.service)
    if (!known || known.version < order.version) this._orders.set(order.service, order)
    this.invalidate(order.service)
  }

  withdrawn (service: string): boolean {
    this.invalidate(service)
    return this._orders.delete(service)
  }

  recorded (record: StoredRecord): void {
    const known = this._records.get(record.service)
    if (!known || known.version < record.version) this._records.set(record.service, record)
  }

  forget (service: string): void {
    this._records.delete(service)
  }

  /** The record of the current order of a service, while its roll-out has not ended. */
  running (service: string): StoredRecord | undefined {
    const record = this._records.get(service)
    return record && !isFinal(record) ? record : undefined
  }

  /** What a server may get now. */
  standingOf (server: RegisteredServer, now: number): VersionStanding {
    const { service, softwareVersion } = server
    if (softwareVersion === undefined) return 'in-service'
    const record = this._records.get(service)
    if (!record) return this._inService(service).has(softwareVersion) ? 'in-service' : 'excluded'
    const isFormer = record.former.includes(softwareVersion)
    switch (record.phase) {
      case 'trial':
        if (isFormer) return this.isConfirmed(now) ? 'in-service' : 'excluded'
        return softwareVersion === record.target && this.isConfirmed(now) ? 'on-trial' : 'excluded'
      case 'switching': return softwareVersion === record.target ? 'in-service' : 'excluded'
      case 'completed': return softwareVersion === record.target || this._isOnlyVersion(server, record.former) ? 'in-service' : 'excluded'
      case 'rolled-back': return isFormer || this._isOnlyVersion(server, [record.target]) ? 'in-service' : 'excluded'
    }
  }

  /** Versions of a service that are in service beside the target of an order. */
  formerVersions (service: string, target: string): string[] {
    const record = this._records.get(service)
    if (record?.phase === 'completed') return record.target === target ? [] : [record.target]
    if (record) return record.former.filter((version) => version !== target)
    return [...this._inService(service)].filter((version) => version !== target).sort()
  }

  /** Records the end of a pause of this process, in which a roll-out may have gone on. */
  processResumed (now: number): void {
    this._resumedAt = now
  }

  /** Whether this entry's copy of the records is recent enough to use servers that a roll-out may end. */
  isConfirmed (now: number): boolean {
    const confirmedAt = this._options.confirmedAt()
    return confirmedAt >= this._resumedAt && now - confirmedAt < FORMER_LEASE_MS
  }

  /** Discards what was derived from the registrations of a service, or of all services, because they have changed. */
  invalidate (service?: string): void {
    if (service === undefined) this._withoutRecord.clear()
    else this._withoutRecord.delete(service)
  }

  /** Versions of a service without a record that are in service. */
  private _inService (service: string): ReadonlySet<string> {
    let versions = this._withoutRecord.get(service)
    if (!versions) {
      versions = this._deriveInService(service)
      this._withoutRecord.set(service, versions)
    }
    return versions
  }

  /**
   * A version is in service if a server with it started together with the oldest server of the service. The target of an order that has no
   * record yet is not, unless the service runs nothing else. All entries with the same registrations agree, also after a restart.
   */
  private _deriveInService (service: string): Set<string> {
    const servers = this._options.catalog.all().filter((server) => server.service === service && server.softwareVersion !== undefined)
    const oldestAt = Math.min(...servers.map(startOf))
    const versions = new Set<string>()
    for (const server of servers) if (startOf(server) <= oldestAt + COMMON_START_MS) versions.add(server.softwareVersion!)
    const target = this._orders.get(service)?.target
    if (target !== undefined && versions.size > 1) versions.delete(target)
    return versions
  }

  /** Whether all registered servers of the service have versions that no roll-out has named, or those that it excluded. */
  private _isOnlyVersion ({ service, softwareVersion }: RegisteredServer, excluded: readonly string[]): boolean {
    if (excluded.includes(softwareVersion!)) return false
    const record = this._records.get(service)!
    const named = record.phase === 'completed' ? [record.target] : record.former
    for (const other of this._options.catalog.all()) {
      if (other.service === service && other.state === 'ready' && named.includes(other.softwareVersion ?? '')) return false
    }
    return true
  }
}

function startOf ({ bornAt = 0 }: RegisteredServer): number {
  return bornAt
}
