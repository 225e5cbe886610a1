/** Rows of the project's own store protocol: documents and registrations as JSON. */
import { gatewayOf, type Declaration, type RowReader, type ServerEntry, type StoredRow } from '@gooseberryspan/core'
import * as z from 'zod'
import { acceptedOf, GATEWAY_ROW } from './configurationStore.js'

const registration = z.object({
  incarnation: z.string(),
  service: z.string().min(1),
  host: z.string().min(1),
  port: z.int().min(1).max(65535),
  zone: z.string().min(1),
  slots: z.int().min(1),
  state: z.enum(['ready', 'draining']),
  coldMs: z.number().min(0).default(0)
})

/** What a backend server writes of itself. */
export type ServerRegistration = z.infer<typeof registration>

/** Reads rows that the operator program and the stand-ins write. */
export class OwnRowReader implements RowReader {
  declaration (row: StoredRow): Declaration | undefined {
    if (row.key !== GATEWAY_ROW.key) return { kind: 'other' }
    try {
      const accepted = acceptedOf(row)!
      return { kind: 'gateway', gateway: gatewayOf(accepted.document, accepted.revision) }
    } catch {
      return undefined
    }
  }

  server (row: StoredRow): ServerEntry | undefined {
    try {
      const found = registration.safeParse(JSON.parse(row.value ?? ''))
      return found.success ? { ...found.data, id: row.key, version: row.version } : undefined
    } catch {
      return undefined
    }
  }
}
