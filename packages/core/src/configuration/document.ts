/** The configuration document: schema, units, defaults and validation. */
import { parse } from 'yaml'
import * as z from 'zod'
import { ConfigurationError, type ConfigurationFault } from '../errors.js'
import type { Customer, GatewayConfiguration, Route } from './gateway.js'

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower case letters, digits and hyphens, at most 63')
const path = z.string().startsWith('/')
const host = z.string().regex(/^[a-z0-9.-]{1,253}$/, 'must be a host name in lower case without a port')
const methods = z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1)

const zone = z.strictObject({
  name,
  region: name.describe('Region the zone belongs to.'),
  state: z.enum(['in', 'out']).default('in').describe('Whether the zone receives new work.')
})

const requestPolicy = {
  idempotent: z.boolean().describe('Whether running a request twice does no harm.'),
  deadlineMs: z.int().min(1).max(600_000).default(2000)
    .describe('Longest time for an answer, in milliseconds; a caller may ask for less.'),
  targetMs: z.int().min(1).max(600_000).optional()
    .describe('Time within which an answer has its full worth, in milliseconds; a quarter of the deadline when absent.'),
  weight: z.number().positive().max(100).default(1).describe('Worth of one request when capacity is short.'),
  open: z.boolean().default(false).describe('Whether requests need no key of a customer.'),
  attempts: z.int().min(1).max(10).default(2).describe('Backend servers that one request may be sent to.')
}

const kind = z.strictObject({
  name,
  methods: methods.describe('Methods that name this kind when the caller does not.'),
  ...requestPolicy
})

const service = z.strictObject({
  name,
  path: path.describe('Path prefix of the service\'s requests.'),
  host: host.optional().describe('Host that the path belongs to; any host when absent.'),
  probePath: path.default('/health').describe('Path of a backend server\'s health and load.'),
  connections: z.int().min(1).max(10_000).default(200).describe('Connections to one backend server, from all entries.'),
  coldMs: z.int().min(0).max(600_000).default(3000).describe('How long a backend server is cold after its start, in milliseconds.'),
  coldPerSecond: z.number().positive().max(10_000).default(5).describe('Requests that a cold backend server bears, a second.'),
  kinds: z.array(kind).min(1)
})

const share = z.strictObject({
  service: name,
  weight: z.number().positive().max(10_000).describe('Part of the requests, relative to the other shares.')
})

const route = z.strictObject({
  name,
  path: path.describe('Path prefix of the route\'s requests.'),
  host: host.optional().describe('Host that the path belongs to; any host when absent.'),
  methods: methods.optional().describe('Methods that the route serves; any when absent.'),
  split: z.array(share).min(1).describe('Services that the requests are dealt to by weight.'),
  ...requestPolicy
})

const policies = z.strictObject({
  maxDepth: z.int().min(1).max(64).default(32).describe('Deepest chain of calls that is accepted.'),
  maxBodyBytes: z.int().min(1024).max(1_073_741_824).default(16_777_216).describe('Largest request body, in bytes.'),
  maxHeaderBytes: z.int().min(1024).max(1_048_576).default(16_384).describe('Largest request header, in bytes.'),
  headerMs: z.int().min(1).max(600_000).default(5000).describe('Longest time for a request\'s header, in milliseconds.'),
  idleMs: z.int().min(100).max(3_600_000).default(15_000).describe('Longest time that a caller\'s connection may be idle, in milliseconds.')
})

const customer = z.strictObject({
  name: z.string().regex(/^[\x21-\x7e]{1,200}$/, 'must be 1 to 200 visible ASCII characters')
    .describe('Name of the customer; backend servers receive it with each request.'),
  keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in hexadecimal')).min(1)
    .describe('SHA-256 digests of the customer\'s keys.'),
  priority: z.number().min(0).optional().describe('Goes before the worth of the request when capacity is short; lower is served first.'),
  ratePerSecond: z.number().min(0).default(0).describe('Requests a second over all entries; 0 for no limit.'),
  burst: z.number().min(0).default(0).describe('Further requests at once.')
})

/** The schema of the document. The settings reference is generated from it. */
export const documentSchema = z.strictObject({
  zones: z.array(zone).min(1),
  services: z.array(service),
  routes: z.array(route).default([]),
  customers: z.array(customer).optional().describe('With customers, each request needs a key.'),
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
/** One declared customer. */
export type DeclaredCustomer = NonNullable<Document['customers']>[number]
/** One declared route. */
export type DeclaredRoute = Document['routes'][number]

const DEFAULT_TARGET_FRACTION = 0.25

/** Parses and validates YAML (or JSON) text. Throws `RefusedDocument` with all faults. */
export function parseDocument (text: string): Document {
  let raw: unknown
  try {
    raw = parse(text)
  } catch (error) {
    throw new ConfigurationError([{ path: '', reason: `not YAML: ${error instanceof Error ? error.message : String(error)}` }])
  }
  return validateDocument(raw)
}

/** Checks schema, names and references. Throws `RefusedDocument` with all faults. */
export function validateDocument (raw: unknown): Document {
  const result = documentSchema.safeParse(raw)
  if (!result.success) {
    throw new ConfigurationError(result.error.issues.map((issue) => ({ path: issue.path.join('.'), reason: issue.message })))
  }
  const { zones, services, routes, customers = [] } = result.data
  const faults = [
    ...duplicateNames('zones', zones),
    ...duplicateNames('services', services),
    ...duplicateNames('routes', routes),
    ...duplicatePaths(services),
    ...services.flatMap((item, index) => duplicateNames(`services.${index}.kinds`, item.kinds)),
    ...unknownServices(routes, services),
    ...duplicateNames('customers', customers),
    ...sharedKeys(customers)
  ]
  if (faults.length > 0) throw new ConfigurationError(faults)
  return result.data
}

/** Builds the gateway configuration that a document declares. */
export function gatewayConfigurationOf (document: Document, revision: number): GatewayConfiguration {
  const { zones, services, routes, policies: { maxHeaderBytes, maxBodyBytes, headerMs, idleMs, maxDepth } } = document
  return {
    revision,
    routes: [...services.flatMap(routesOfService), ...routes.map(routeOf)],
    services: services.map((item) => ({
      name: item.name, probePath: item.probePath, connections: item.connections, coldMs: item.coldMs, coldPerSecond: item.coldPerSecond
    })),
    limits: { headerBytes: maxHeaderBytes, bodyBytes: maxBodyBytes, headerMs, idleMs, maxDepth },
    customers: document.customers,
    zonesOut: zones.filter((item) => item.state === 'out').map((item) => item.name)
  }
}

function routesOfService (declared: Service): Route[] {
  return declared.kinds.map((item) => ({
    name: item.name,
    host: declared.host,
    prefix: declared.path,
    methods: item.methods,
    shares: [{ service: declared.name, weight: 1 }],
    ...requestPolicyOf(item)
  }))
}

function routeOf (declared: DeclaredRoute): Route {
  return {
    name: declared.name,
    host: declared.host,
    prefix: declared.path,
    methods: declared.methods,
    shares: declared.split,
    ...requestPolicyOf(declared)
  }
}

type RequestPolicy = Pick<Route, 'repeatable' | 'timeoutMs' | 'targetMs' | 'priority' | 'attempts' | 'open'>

function requestPolicyOf (item: Kind | DeclaredRoute): RequestPolicy {
  return {
    repeatable: item.idempotent,
    timeoutMs: item.deadlineMs,
    targetMs: item.targetMs ?? item.deadlineMs * DEFAULT_TARGET_FRACTION,
    priority: 1 / item.weight,
    attempts: item.attempts,
    open: item.open
  }
}

function duplicateNames (at: string, items: Array<{ name: string }>): ConfigurationFault[] {
  const seen = new Set<string>()
  const faults: ConfigurationFault[] = []
  for (const [index, item] of items.entries()) {
    if (seen.has(item.name)) faults.push({ path: `${at}.${index}.name`, reason: `'${item.name}' is declared twice` })
    seen.add(item.name)
  }
  return faults
}

/** One key names one customer. */
function sharedKeys (customers: ReadonlyArray<Pick<Customer, 'name' | 'keyDigests'>>): ConfigurationFault[] {
  const holders = new Map<string, string>()
  const faults: ConfigurationFault[] = []
  for (const [index, { name, keyDigests }] of customers.entries()) {
    for (const [at, digest] of keyDigests.entries()) {
      const holder = holders.get(digest)
      if (holder !== undefined) faults.push({ path: `customers.${index}.keyDigests.${at}`, reason: `'${holder}' has the same key` })
      holders.set(digest, name)
    }
  }
  return faults
}

function duplicatePaths (services: Service[]): ConfigurationFault[] {
  const seen = new Map<string, string>()
  const faults: ConfigurationFault[] = []
  for (const [index, item] of services.entries()) {
    const hostAndPath = `${item.host ?? ''}${item.path}`
    const other = seen.get(hostAndPath)
    if (other) faults.push({ path: `services.${index}.path`, reason: `'${hostAndPath}' already leads to '${other}'` })
    seen.set(hostAndPath, item.name)
  }
  return faults
}

function unknownServices (routes: DeclaredRoute[], services: Service[]): ConfigurationFault[] {
  const known = new Set(services.map((item) => item.name))
  const faults: ConfigurationFault[] = []
  for (const [index, item] of routes.entries()) {
    for (const [at, { service: target }] of item.split.entries()) {
      if (!known.has(target)) faults.push({ path: `routes.${index}.split.${at}.service`, reason: `no service '${target}' is declared` })
    }
  }
  return faults
}
