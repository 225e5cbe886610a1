/** How rows of the store are understood. */
import type { Gateway } from '../configuration/gateway.js'
import type { ServerEntry } from '../discovery/serverEntry.js'
import type { StoredRow } from './row.js'

/** What a row of the declarations says. */
export type Declaration =
  | { kind: 'gateway', gateway: Gateway }
  | { kind: 'zone-out', zone: string }
  /** It is about something else. */
  | { kind: 'other' }

/** Reads rows of the store; each platform has a format of its own. */
export interface RowReader {
  /** What a declaration says, or undefined when it cannot be read. */
  declaration (row: StoredRow): Declaration | undefined
  /** The server that a registration names, or undefined when it names none that could be used. */
  server (row: StoredRow): ServerEntry | undefined
}
