/** What is declared, in the form that decisions are made from. */

/** One share of a route's requests. */
export interface Share {
  service: string
  weight: number
}

/** Which requests go where, and how they are treated. */
export interface Route {
  name: string
  /** Host that it serves, in lower case; any host when absent. */
  host?: string
  /** Prefix of the paths that it serves. */
  prefix: string
  /** Methods that it serves; any method when absent. */
  methods?: readonly string[]
  /** Services that its requests are dealt to by weight. */
  shares: readonly Share[]
  /** Whether running a request twice does no harm. */
  repeatable: boolean
  /** Longest time that a caller is kept waiting, in milliseconds. */
  timeoutMs: number
  /** Time within which an answer has its full worth, in milliseconds. */
  targetMs: number
  /** Rank when servers are short: lower goes first. */
  priority: number
  /** Backend servers that one request may be sent to. */
  attempts: number
}

/** How a service's backend servers are treated. */
export interface ServicePolicy {
  name: string
  /** Path that tells a server's health and load. */
  probePath: string
  /** Connections that one server takes from all entries together. */
  connections: number
  /** How long a server is cold after its start, in milliseconds. */
  coldMs: number
  /** Requests a second that a cold server bears. */
  coldPerSecond: number
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  headerBytes: number
  bodyBytes: number
  /** Longest time for a request's header, in milliseconds. */
  headerMs: number
  /** Longest time that a connection may be idle, in milliseconds. */
  idleMs: number
  /** Deepest chain of calls that is accepted. */
  maxDepth: number
}

/** One declared configuration. */
export interface Gateway {
  /** Rises with each change. */
  revision: number
  routes: readonly Route[]
  services: readonly ServicePolicy[]
  limits: CallerLimits
  /** Zones that the configuration itself takes out of service. */
  zonesOut: readonly string[]
}
