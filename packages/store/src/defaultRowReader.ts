/** Rows of the default store protocol: configuration documents and server registrations as JSON. */
import {
  gatewayConfigurationOf, parseRegisteredServer, type Declaration, type RegisteredServer, type RolloutOrder, type RowReader, type StoredRow
} from '@gooseberryspan/core'
import * as z from 'zod'
import { parseAcceptedDocument, GATEWAY_ROW } from './configurationStore.js'

const registrationSchema = z.object({
  incarnation: z.string(),
  service: z.string(),
  host: z.string(),
  port: z.number(),
  zone: z.string(),
  slots: z.number(),
  state: z.enum(['ready', 'draining']),
  coldMs: z.number().default(0),
  softwareVersion: z.string().optional(),
  bornAt: z.number().optional()
})

/** Schema of the order of a roll-out. */
export const rolloutSchema = z.object({ service: z.string().min(1), version: z.string().min(1), seconds: z.number().min(0) })
/** Prefix of the keys of rows that order a roll-out. The rest of the key is the service. */
export const ROLLOUT_PREFIX = 'rollout/'

/** The order of a roll-out that an operator writes to the store. */
export type RolloutRequest = z.infer<typeof rolloutSchema>

/** The registration that a backend server writes to the store. */
export type ServerRegistration = z.infer<typeof registrationSchema>

/** Parses the rows that the operator program and the demo backend servers write. */
export class DefaultRowReader implements RowReader {
  declaration (row: StoredRow): Declaration | undefined {
    const isOrder = row.key.startsWith(ROLLOUT_PREFIX)
    if (row.key !== GATEWAY_ROW.key && !isOrder) return { kind: 'other' }
    try {
      if (isOrder) return { kind: 'rollout', order: orderOf(rolloutSchema.parse(JSON.parse(row.value ?? ''))) }
      const accepted = parseAcceptedDocument(row)!
      return { kind: 'gateway', gateway: gatewayConfigurationOf(accepted.document, accepted.revision) }
    } catch {
      return undefined
    }
  }

  server (row: StoredRow): RegisteredServer | undefined {
    try {
      const found = registrationSchema.safeParse(JSON.parse(row.value ?? ''))
      return found.success ? parseRegisteredServer({ ...found.data, id: row.key, version: row.version }) : undefined
    } catch {
      return undefined
    }
  }
}

function orderOf ({ service, version: target, seconds }: RolloutRequest): RolloutOrder {
  return { service, target, durationMs: seconds * 1000 }
}
