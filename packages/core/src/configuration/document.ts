/** The configuration document: its shape, units, defaults and validation as a whole. */
import { parse } from 'yaml'
import { z } from 'zod'
import { RefusedDocument, type Fault } from '../errors.js'

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower case letters, digits and hyphens, at most 63')

const zone = z.strictObject({
  name,
  region: name.describe('Region the zone belongs to.'),
  state: z.enum(['in', 'out']).default('in').describe('Whether the zone receives new work.')
})

const kind = z.strictObject({
  name,
  methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1)
    .describe('Methods that name this kind when the caller does not.'),
  idempotent: z.boolean().describe('Whether running a request twice does no harm.'),
  deadlineMs: z.int().min(1).max(600_000).default(2000)
    .describe('Longest time for an answer, in milliseconds; a caller may ask for less.'),
  weight: z.number().positive().max(100).default(1).describe('Worth of one request when capacity is short.'),
  claims: z.enum(['refuse', 'local']).default('refuse')
    .describe('What a request with an idempotency key meets while the table service is down.'),
  hedgeAfterMs: z.int().min(1).max(600_000).optional()
    .describe('Time after which an unanswered idempotent request is sent to a second free server, in milliseconds.')
})

const measuring = z.strictObject({
  probesPerSecond: z.number().min(0).max(10).default(0.2).describe('Probes to one backend server, a second.'),
  burst: z.int().min(1).max(10).default(2).describe('Probes that may follow each other at once.')
})

const service = z.strictObject({
  name,
  path: z.string().startsWith('/').describe('Path prefix of the service\'s requests.'),
  slots: z.int().min(1).max(1024).default(2).describe('Requests one warm backend server bears at a time.'),
  coldLimit: z.int().min(1).max(1024).default(1).describe('Requests one cold backend server bears at a time.'),
  warmCompletions: z.int().min(1).max(10_000).default(4).describe('Good answers that raise the limit by one.'),
  warmForMs: z.int().min(100).max(3_600_000).default(30_000)
    .describe('Time without an answer after which a backend server counts as cold, in milliseconds.'),
  connections: z.int().min(1).max(10_000).default(200).describe('Connections to one backend server.'),
  holdersPerZone: z.int().min(1).max(16).default(1).describe('Entries that share the service\'s servers of one zone.'),
  queueLength: z.int().min(0).max(10_000).default(64).describe('Requests that may wait at one holder.'),
  queueMs: z.int().min(0).max(60_000).default(200).describe('Longest expected wait at one holder, in milliseconds.'),
  retryRatio: z.number().min(0).max(1).default(0.1).describe('Retries and hedges for each first attempt.'),
  measuring: measuring.prefault({}),
  kinds: z.array(kind).min(1)
})

const policies = z.strictObject({
  addressKeepMs: z.int().min(100).max(600_000).default(5000)
    .describe('How long a caller may keep an address answer, in milliseconds.'),
  maxDepth: z.int().min(1).max(64).default(32).describe('Deepest chain of calls that is accepted.'),
  maxBodyBytes: z.int().min(1024).max(1_073_741_824).default(16_777_216).describe('Largest request body, in bytes.')
})

/** The schema of the whole document; also the source of the settings reference. */
export const documentSchema = z.strictObject({
  zones: z.array(zone).min(1),
  services: z.array(service),
  policies: policies.prefault({})
})

/** A validated configuration document. */
export type Document = z.infer<typeof documentSchema>
/** One declared availability zone. */
export type Zone = Document['zones'][number]
/** One declared service. */
export type Service = Document['services'][number]
/** One kind of request of a service. */
export type Kind = Service['kinds'][number]

/** Reads YAML (or JSON) text into a validated document, or throws `RefusedDocument` with every fault. */
export function parseDocument (text: string): Document {
  let raw: unknown
  try {
    raw = parse(text)
  } catch (error) {
    throw new RefusedDocument([{ path: '', reason: `not YAML: ${error instanceof Error ? error.message : String(error)}` }])
  }
  return validateDocument(raw)
}

/** Checks shape, names and references; throws `RefusedDocument` with every fault found. */
export function validateDocument (raw: unknown): Document {
  const result = documentSchema.safeParse(raw)
  if (!result.success) {
    throw new RefusedDocument(result.error.issues.map((issue) => ({ path: issue.path.join('.'), reason: issue.message })))
  }
  const faults = [
    ...repeatedNames('zones', result.data.zones),
    ...repeatedNames('services', result.data.services),
    ...repeatedPaths(result.data.services),
    ...result.data.services.flatMap(serviceFaults)
  ]
  if (faults.length > 0) throw new RefusedDocument(faults)
  return result.data
}

function repeatedNames (path: string, items: Array<{ name: string }>): Fault[] {
  const seen = new Set<string>()
  const faults: Fault[] = []
  for (const [index, item] of items.entries()) {
    if (seen.has(item.name)) faults.push({ path: `${path}.${index}.name`, reason: `'${item.name}' is declared twice` })
    seen.add(item.name)
  }
  return faults
}

function repeatedPaths (services: Service[]): Fault[] {
  const seen = new Map<string, string>()
  const faults: Fault[] = []
  for (const [index, item] of services.entries()) {
    const other = seen.get(item.path)
    if (other) faults.push({ path: `services.${index}.path`, reason: `'${item.path}' already leads to '${other}'` })
    seen.set(item.path, item.name)
  }
  return faults
}

function serviceFaults (item: Service, index: number): Fault[] {
  const faults = repeatedNames(`services.${index}.kinds`, item.kinds)
  if (item.coldLimit > item.slots) {
    faults.push({ path: `services.${index}.coldLimit`, reason: `is above slots (${item.slots})` })
  }
  const least = 2 * item.slots + 1
  if (item.connections < least) {
    const why = 'a pooled and a fresh connection for each slot, and one for probes'
    faults.push({ path: `services.${index}.connections`, reason: `is below ${least}: ${why}` })
  }
  for (const [at, entry] of item.kinds.entries()) {
    if (entry.hedgeAfterMs === undefined || entry.idempotent) continue
    faults.push({ path: `services.${index}.kinds.${at}.hedgeAfterMs`, reason: 'only an idempotent kind may be hedged' })
  }
  return faults
}
