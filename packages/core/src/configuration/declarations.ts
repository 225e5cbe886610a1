/** The configuration in force at one entry. Its revision never decreases. */
import type { Invariants } from '../invariants.js'
import type { CallerLimits, Customer, GatewayConfiguration, Route, ServicePolicy } from './gateway.js'
import { RouteTable, type RouteQuery } from './routeTable.js'

/** The gateway configuration in force and the zones that operators have evacuated. */
export class Declarations {
  private _gateway: GatewayConfiguration | undefined
  private _routes = new RouteTable([])
  private _services = new Map<string, ServicePolicy>()
  private _customers = new Map<string, Customer>()
  private _customersByKey = new Map<string, Customer>()
  private _evacuated: ReadonlySet<string> = new Set()
  private readonly _invariants: Invariants

  constructor (invariants: Invariants) {
    this._invariants = invariants
  }

  /** The revision in force; 0 before the first configuration. */
  get revision (): number {
    return this._gateway?.revision ?? 0
  }

  get gateway (): GatewayConfiguration | undefined {
    return this._gateway
  }

  get limits (): CallerLimits | undefined {
    return this._gateway?.limits
  }

  /** Adopts a gateway configuration if its revision is newer. Returns whether it was adopted. */
  adopt (gateway: GatewayConfiguration): boolean {
    if (gateway.revision <= this.revision) return false
    this._invariants.check('no-revert', gateway.revision > this.revision, () => `revision ${gateway.revision} after ${this.revision}`)
    this._gateway = gateway
    this._routes = new RouteTable(gateway.routes)
    this._services = new Map(gateway.services.map((service) => [service.name, service]))
    this._customers = new Map(gateway.customers?.map((customer) => [customer.name, customer]))
    this._customersByKey = new Map(gateway.customers?.flatMap((customer) => customer.keyDigests.map((digest) => [digest, customer])))
    return true
  }

  /** Replaces the set of zones that operators have evacuated outside of the configuration document. */
  setEvacuatedZones (zones: ReadonlySet<string>): void {
    this._evacuated = zones
  }

  findRoute (query: RouteQuery): Route | undefined {
    return this._routes.find(query)
  }

  /** Finds the route of a request whose caller names the service. */
  findServiceRoute (service: string, query: RouteQuery): Route | undefined {
    return this._routes.findForService(service, query)
  }

  service (name: string): ServicePolicy | undefined {
    return this._services.get(name)
  }

  /** Whether requests carry keys of customers. */
  get hasCustomers (): boolean {
    return this._gateway?.customers !== undefined
  }

  /** The customer that holds the key with a digest. */
  customerOfKey (digest: string): Customer | undefined {
    return this._customersByKey.get(digest)
  }

  customer (name: string): Customer | undefined {
    return this._customers.get(name)
  }

  get services (): IterableIterator<ServicePolicy> {
    return this._services.values()
  }

  /** Whether a zone may receive new requests. */
  zoneIsIn (zone: string): boolean {
    return !this._evacuated.has(zone) && !(this._gateway?.zonesOut.includes(zone) ?? false)
  }
}
