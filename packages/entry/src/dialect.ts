/**
 * Header names, paths and formats that an entry uses with callers and backend servers. Each platform has a dialect of its own.
 * A dialect makes no decisions.
 */
import type { LoadReport, Member } from '@gooseberryspan/core'

/** Names of headers, in lower case. */
export interface DialectHeaders {
  /** Id that the caller gave its request; a backend server repeats it in its answer. */
  requestId: string
  /** Time remaining until the request's deadline, in milliseconds. */
  deadline: string
  /** Id of the backend server that a request is addressed to. */
  expectServer: string
  /** Id of the backend server that answers. */
  serverId: string
  /** Load report of a backend server. */
  load: string
  /** States that a backend server did not run the request. */
  notRun: string
  /** States that a backend server is leaving. */
  leaving: string
  /** Requests a second that a backend server takes from all entries together. */
  limit: string
  /** Time for which a backend server remains cold, in milliseconds. */
  cold: string
  /** A backend server's signature on its answer. */
  signature?: string
  /** Time after which a caller may retry, or for which a backend server wants no requests, in seconds. */
  retryAfter: string
  /** Outcome of a request and the reason for it, sent to callers. */
  outcome?: string
  reason?: string
  /** Name of the customer, sent to backend servers. */
  customer: string
  /** Kind of request and service that a caller selects by name. */
  kind?: string
  service?: string
  /** Number of calls above this one in a chain of calls, and whether a retry has been used in the chain. */
  depth?: string
  retry?: string
}

/** Paths of the entry's own interfaces. */
export interface DialectPaths {
  ready: string
  addresses: string
}

/** Parameters of an address query. */
export interface AddressQuery {
  zone?: string
  service?: string
}

/** The kind of message that carried a load report. */
export type LoadReportSource = 'answer' | 'probe'

/** Header names, paths and formats of one platform. */
export interface Dialect {
  readonly headers: DialectHeaders
  readonly paths: DialectPaths
  /** Whether an answer is valid only if it carries the request's id and, on success, the server's signature. */
  readonly requiresSignature: boolean
  /** Word before a customer's key in the header `authorization`. */
  readonly keyScheme: string
  /** Parses a server's load report. Excludes the request whose answer carries the report. */
  parseLoadReport (text: string, source: LoadReportSource): LoadReport | undefined
  parseAddressQuery (query: URLSearchParams): AddressQuery
  formatAddressAnswer (members: readonly Member[], keepSeconds: number, query: AddressQuery): unknown
}
