/** Validates a caller's request when it arrives; later code relies on the result. */
import { createHash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import type { Customer, Declarations, RequestSpec, Route, RouteQuery, WeightedPicker } from '@gooseberryspan/core'
import type { Dialect } from '../dialect.js'
import { BadRequest } from '../errors.js'
import { headerFault, headerSectionBytes, singleHeader, parseNonNegativeInteger } from '../headers.js'

/** Data needed to resolve a request. */
export interface ResolveContext {
  declarations: Declarations
  weightedPicker: WeightedPicker
  dialect: Dialect
  nextId: () => number
  /** How far the keys that this entry knows can be relied on. */
  keysAreCurrent: () => KeyCurrency
  /** Returns a label for a request whose caller sent none. */
  generateLabel: (id: number) => string
}

/**
 * `current`: the configuration was confirmed lately. `stale`: a newer one may have further keys. `expired`: it may have withdrawn keys that
 * must not be served any more.
 */
export type KeyCurrency = 'current' | 'stale' | 'expired'

const MAX_LABEL_LENGTH = 64
/** Node's parser accepts other characters in a path, but refuses to send them. */
const PATH_PATTERN = /^[\x21-\x7e\x80-\xff]+$/

/** Converts an HTTP request to the core's request. Throws a `BadRequest` that names the invalid field. */
export function resolveRequest (message: IncomingMessage, context: ResolveContext): RequestSpec {
  const { declarations, dialect: { headers }, weightedPicker } = context
  const { limits } = declarations
  if (!limits) throw new BadRequest(503, 'configuration', 'this entry has no configuration yet')
  if (headerSectionBytes(message.rawHeaders) > limits.headerBytes) {
    throw new BadRequest(
      431, 'header', `the header is larger than ${limits.headerBytes} bytes`
    )
  }
  const fault = headerFault(message.rawHeaders)
  if (fault !== undefined) throw new BadRequest(400, 'header', `a header is not valid HTTP: ${fault}`)
  if (!PATH_PATTERN.test(message.url ?? '')) throw new BadRequest(400, 'path', 'the path has a character that is not valid HTTP')
  const route = routeOf(message, context)
  const customer = customerOf(message, route, context)
  const id = context.nextId()
  const label = singleHeader(message.headers, headers.requestId)?.slice(0, MAX_LABEL_LENGTH)
  const spec: RequestSpec = {
    id,
    label: label ?? context.generateLabel(id),
    route,
    service: weightedPicker.next(route),
    customer,
    deadlineMs: deadlineOf(message, route, headers.deadline),
    replayable: true,
    retrySpent: singleHeader(message.headers, headers.retry) === 'spent',
    depth: depthOf(message, context, limits.maxDepth)
  }
  return spec
}

function routeOf (message: IncomingMessage, { declarations, dialect: { headers } }: ResolveContext): Route {
  const query: RouteQuery = {
    host: hostOf(message), path: message.url ?? '/', method: message.method ?? 'GET', routeName: singleHeader(message.headers, headers.kind)
  }
  const service = singleHeader(message.headers, headers.service)
  const route = service === undefined ? declarations.findRoute(query) : declarations.findServiceRoute(service, query)
  if (route) return route
  if (service !== undefined && !declarations.service(service)) throw new BadRequest(404, headers.service!, `no service '${service}'`)
  const otherMethods = service === undefined && declarations.findRoute({ ...query, method: undefined, routeName: undefined })
  if (otherMethods || service !== undefined) throw new BadRequest(405, 'method', `no kind of request for ${query.method} is declared here`)
  throw new BadRequest(404, 'path', 'no route has this host and path')
}

/** Returns the customer that holds the key of a request, if requests of the route need one. */
function customerOf (message: IncomingMessage, route: Route, context: ResolveContext): Customer | undefined {
  const { declarations, dialect, keysAreCurrent } = context
  if (!declarations.hasCustomers || route.open) return undefined
  const [scheme, key] = message.headers.authorization?.split(/ +/) ?? []
  const isKey = key !== undefined && scheme?.toLowerCase() === dialect.keyScheme.toLowerCase()
  const customer = isKey ? declarations.customerOfKey(createHash('sha256').update(key).digest('hex')) : undefined
  const currency = keysAreCurrent()
  if (currency === 'expired') throw new BadRequest(503, 'configuration', 'this entry has not received the configuration for too long')
  if (customer) return customer
  // A newer configuration may have the key.
  if (isKey && currency === 'stale') throw new BadRequest(503, 'configuration', 'this entry may not know the key yet')
  throw new BadRequest(401, 'authorization', 'the request has no key that this configuration has')
}

function hostOf (message: IncomingMessage): string {
  const host = (message.headers.host ?? '').toLowerCase()
  const colon = host.lastIndexOf(':')
  return colon > 0 && /^\d+$/.test(host.slice(colon + 1)) ? host.slice(0, colon) : host
}

function deadlineOf (message: IncomingMessage, route: Route, name: string): number {
  const text = singleHeader(message.headers, name)
  if (text === undefined) return route.timeoutMs
  const value = parseNonNegativeInteger(text)
  if (value === undefined || value === 0) throw new BadRequest(400, name, 'must be a whole number of milliseconds above 0')
  return value
}

function depthOf (message: IncomingMessage, { dialect: { headers } }: ResolveContext, maxDepth: number): number {
  const text = singleHeader(message.headers, headers.depth)
  if (text === undefined) return 0
  const depth = parseNonNegativeInteger(text)
  if (depth === undefined) throw new BadRequest(400, headers.depth!, 'must be a whole number of calls')
  if (depth > maxDepth) throw new BadRequest(508, headers.depth!, `a chain of calls is at most ${maxDepth} deep`)
  return depth
}
