/** Names and formats towards callers and backend servers. Each platform has its own; nothing here decides. */
import type { LoadReport, Member } from '@gooseberryspan/core'

/** Names of headers, in lower case. */
export interface DialectHeaders {
  /** The caller's name for its request; a backend server repeats it in its answer. */
  requestId: string
  /** Time that is left for the answer, in milliseconds. */
  deadline: string
  /** Id of the backend server that a request is meant for. */
  expectServer: string
  /** Id of the backend server that answers. */
  serverId: string
  load: string
  /** Says that a backend server did not run the request. */
  notRun: string
  /** How much longer a backend server stays cold, in milliseconds. */
  cold: string
  /** A backend server's signature below its answer. */
  stamp?: string
  /** Time after which a caller may come back, in seconds. */
  retryAfter: string
  /** What became of a request, and why; for callers. */
  outcome?: string
  reason?: string
  /** What a caller asks for by name. */
  kind?: string
  service?: string
  /** Calls above this one, and whether one of them has been tried again. */
  depth?: string
  retry?: string
}

/** Where interfaces of our own are found. */
export interface DialectPaths {
  ready: string
  addresses: string
}

/** Who asks for addresses. */
export interface AddressQuery {
  zone?: string
  service?: string
}

/** What a load report came with. */
export type LoadSource = 'answer' | 'probe'

/** Names and formats. */
export interface Dialect {
  readonly headers: DialectHeaders
  readonly paths: DialectPaths
  /** Whether an answer counts only with the request's name and the server's signature on it. */
  readonly signed: boolean
  /** Load as a server tells it, without the request whose answer tells it. */
  readLoad (text: string, of: LoadSource): LoadReport | undefined
  addressQuery (query: URLSearchParams): AddressQuery
  addressAnswer (members: readonly Member[], keepSeconds: number, query: AddressQuery): unknown
}
