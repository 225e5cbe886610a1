/** The declared configuration in the form in which entries use it. */

/** A service that receives a share of the requests of a route. */
export interface Share {
  service: string
  weight: number
}

/** Selects requests, the services that receive them, and their limits and priority. */
export interface Route {
  name: string
  /** Host that the route matches, in lower case; any host when absent. */
  host?: string
  /** Prefix of the paths that the route matches. */
  prefix: string
  /** Methods that the route matches; any method when absent. */
  methods?: readonly string[]
  /** Services among which the requests are distributed by weight. */
  shares: readonly Share[]
  /** Whether a request is idempotent, so that it can be run again. */
  repeatable: boolean
  /** Maximum time that a caller waits for an answer, in milliseconds. */
  timeoutMs: number
  /** Target response time, in milliseconds: a later answer is worth less to the caller. */
  targetMs: number
  /** Priority when capacity is short; requests with a lower number are served first. */
  priority: number
  /** Maximum number of backend servers that one request may be sent to. */
  attempts: number
  /** Whether requests need no key of a customer. */
  open?: boolean
}

/** A customer, whose requests carry one of its keys. */
export interface Customer {
  name: string
  /** SHA-256 digests of its keys, in hexadecimal. */
  keyDigests: readonly string[]
  /** Priority of its requests, which goes before that of the route; lower numbers are served first. */
  priority?: number
  /** Requests a second that all entries together accept; no limit when absent or 0. */
  ratePerSecond?: number
  /** Further requests that are accepted at once. */
  burst?: number
}

/** Connection, probe and warm-up settings for the backend servers of a service. */
export interface ServicePolicy {
  name: string
  /** Path at which a server reports its health and load. */
  probePath: string
  /** Maximum number of connections to one server from all entries together. */
  connections: number
  /** Warm-up time of a server after its start, in milliseconds. */
  coldMs: number
  /** Requests per second that a server can handle during its warm-up. */
  coldPerSecond: number
}

/** Size and time limits for the requests of callers. */
export interface CallerLimits {
  headerBytes: number
  bodyBytes: number
  /** Maximum time for receiving the header of a request, in milliseconds. */
  headerMs: number
  /** Maximum time that a connection may be idle, in milliseconds. */
  idleMs: number
  /** Maximum depth of nested calls between services. */
  maxDepth: number
}

/** One revision of the declared configuration. */
export interface GatewayConfiguration {
  /** Increases with each change. */
  revision: number
  routes: readonly Route[]
  services: readonly ServicePolicy[]
  limits: CallerLimits
  /** Customers; absent if requests carry no keys. */
  customers?: readonly Customer[]
  /** Zones that the configuration document takes out of service. */
  zonesOut: readonly string[]
}

/** Whether a customer's requests are counted. */
export function isLimited (customer: Customer | undefined): customer is Customer {
  return customer?.ratePerSecond !== undefined && customer.ratePerSecond > 0
}
