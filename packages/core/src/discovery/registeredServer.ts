/** A backend server as it was registered. */
import * as z from 'zod'
import { portSchema } from './port.js'

/** Address of a backend server and the properties that it registered. */
export interface RegisteredServer {
  /** Usually identifies one start of a server, but a server may restart with its former id. */
  id: string
  /** Distinguishes several starts with the same id. */
  incarnation: string
  service: string
  host: string
  port: number
  zone: string
  /** Number of requests that the server runs concurrently. */
  slots: number
  state: 'ready' | 'draining'
  /** Remaining warm-up time when the registration was read, in milliseconds. */
  coldMs: number
  /** Version of the store row that the registration was read from. */
  version: number
  /** Era of the store that the version belongs to; absent if it is 0. */
  era?: number
  /** Number of the server's own statement; increases as long as the incarnation runs. Absent if it states none. */
  sequence?: number
  /** Version of its software, if it states one. */
  softwareVersion?: string
  /** Time of day at which it started, in milliseconds since 1970, if it states that. */
  bornAt?: number
}

/** Ids are sent in a header, and hosts are resolved. */
const VISIBLE_ASCII = /^[\x21-\x7e]+$/
/** Longest DNS name. */
const MAX_HOST_LENGTH = 253
/** Far above what one process runs concurrently; a larger number would make a service appear to have unlimited capacity. */
const MAX_SLOTS = 65_536
const MAX_COLD_MS = 86_400_000
const MAX_SOFTWARE_VERSION_LENGTH = 200

const schema: z.ZodType<RegisteredServer> = z.object({
  id: z.string().regex(VISIBLE_ASCII),
  incarnation: z.string(),
  service: z.string().min(1),
  host: z.string().max(MAX_HOST_LENGTH).regex(VISIBLE_ASCII),
  port: portSchema,
  zone: z.string().min(1),
  slots: z.int().min(1).max(MAX_SLOTS),
  state: z.enum(['ready', 'draining']),
  coldMs: z.number().min(0).max(MAX_COLD_MS),
  version: z.int().min(0),
  era: z.int().min(0).optional(),
  sequence: z.number().optional(),
  softwareVersion: z.string().max(MAX_SOFTWARE_VERSION_LENGTH).optional(),
  bornAt: z.number().min(0).optional()
})

/** Returns a backend server whose fields have their types and are in range, or undefined if a value does not describe one. */
export function parseRegisteredServer (value: unknown): RegisteredServer | undefined {
  return schema.safeParse(value).data
}
