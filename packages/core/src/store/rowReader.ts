/** Parsing of the store's rows. */
import type { GatewayConfiguration } from '../configuration/gateway.js'
import type { RegisteredServer } from '../discovery/registeredServer.js'
import type { RolloutOrder } from '../rollouts/rolloutOrder.js'
import type { StoredRow } from './row.js'

/** The parsed content of a row of the `declarations` table. */
export type Declaration =
  | { kind: 'gateway', gateway: GatewayConfiguration }
  | { kind: 'zone-out', zone: string }
  | { kind: 'rollout', order: RolloutOrder }
  /** The row concerns none of these. */
  | { kind: 'other' }

/** Parses rows of the store. Each platform has its own row format. */
export interface RowReader {
  /** Parses a row of the `declarations` table. Returns undefined when the row is malformed. */
  declaration (row: StoredRow): Declaration | undefined
  /** Parses the registration of a backend server. Returns undefined when the row is malformed. */
  server (row: StoredRow): RegisteredServer | undefined
}
