/** Rows of the default store protocol: configuration documents and server registrations as JSON. */
import {
  gatewayConfigurationOf, parseRegisteredServer, type Declaration, type RegisteredServer, type RowReader, type StoredRow
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
  coldMs: z.number().default(0)
})

/** The registration that a backend server writes to the store. */
export type ServerRegistration = z.infer<typeof registrationSchema>

/** Parses the rows that the operator program and the demo backend servers write. */
export class DefaultRowReader implements RowReader {
  declaration (row: StoredRow): Declaration | undefined {
    if (row.key !== GATEWAY_ROW.key) return { kind: 'other' }
    try {
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
