/** Finds what a valid document declares in vain or in contradiction, before it is sent. */
import type { ConfigurationFault } from '../errors.js'
import type { DeclaredRoute, Document, Kind, Service } from './document.js'

/** A kind or route with where it stands and what it matches. */
interface Matched {
  path: string
  name: string
  host: string | undefined
  prefix: string
  methods: readonly string[] | undefined
}

/** Returns what is declared in vain or in contradiction. None of it makes the document invalid. */
export function reviewDocument (document: Document): ConfigurationFault[] {
  return [
    ...unmatched(document),
    ...document.services.flatMap((service, index) => contradictionsOfService(service, `services.${index}`)),
    ...document.routes.flatMap((route, index) => contradictionsOfPolicy(route, `routes.${index}`)),
    ...sharedPaths(document),
    ...contradictionsOfCustomers(document),
    ...contradictionsOfPolicies(document)
  ]
}

/** Kinds and routes that can never match, because others take all their requests. */
function unmatched (document: Document): ConfigurationFault[] {
  const all: Matched[] = [
    ...document.services.flatMap(({ host, path: prefix, kinds }, index) => kinds.map(({ name, methods }, at) => ({
      path: `services.${index}.kinds.${at}`, name, host, prefix, methods
    }))),
    ...document.routes.map(({ name, host, path: prefix, methods }, index) => ({ path: `routes.${index}`, name, host, prefix, methods }))
  ]
  const faults: ConfigurationFault[] = []
  for (const [index, each] of all.entries()) {
    const before = all.slice(0, index).filter(({ host, prefix }) => host === each.host && prefix === each.prefix)
    const taken = new Set(before.flatMap(({ methods }) => methods ?? ['*']))
    const isTaken = taken.has('*') || (each.methods !== undefined && each.methods.every((method) => taken.has(method)))
    if (!isTaken) continue
    faults.push({ path: each.path, reason: `'${each.name}' matches nothing unless a caller names it: ${namesOf(before)} come first` })
  }
  return faults
}

function namesOf (items: readonly Matched[]): string {
  return items.map(({ name }) => `'${name}'`).join(', ')
}

function contradictionsOfService (service: Service, path: string): ConfigurationFault[] {
  const faults = service.kinds.flatMap((kind, index) => contradictionsOfPolicy(kind, `${path}.kinds.${index}`))
  if (service.coldPerSecond > service.connections) {
    faults.push({ path: `${path}.coldPerSecond`, reason: 'a cold server bears more requests a second than it takes connections' })
  }
  return faults
}

function contradictionsOfPolicy (policy: Kind | DeclaredRoute, path: string): ConfigurationFault[] {
  const faults: ConfigurationFault[] = []
  const { targetMs, deadlineMs, attempts, idempotent } = policy
  if (targetMs !== undefined && targetMs > deadlineMs) {
    faults.push({ path: `${path}.targetMs`, reason: `the target of ${targetMs} ms lies after the deadline of ${deadlineMs} ms` })
  }
  if (attempts === 1 && idempotent) {
    faults.push({ path: `${path}.attempts`, reason: 'with one attempt, a request that may run twice is never sent to a second server' })
  }
  return faults
}

/** Services and routes with the same path: the kinds of the service take the methods that they name. */
function sharedPaths ({ services, routes }: Document): ConfigurationFault[] {
  const faults: ConfigurationFault[] = []
  const prefixes = new Set(routes.map(({ host = '', path }) => `${host}${path}`))
  for (const [index, { name, host = '', path }] of services.entries()) {
    if (prefixes.has(`${host}${path}`)) {
      faults.push({ path: `services.${index}.path`, reason: `a route has the path of '${name}' too; kinds of the service come first` })
    }
  }
  return faults
}

function contradictionsOfCustomers ({ customers, services, routes }: Document): ConfigurationFault[] {
  const policiesOfRequests = [...services.flatMap(({ kinds }) => kinds), ...routes]
  if (customers === undefined) {
    return policiesOfRequests.some(({ open }) => open)
      ? [{ path: 'customers', reason: 'routes are open, but without customers no request needs a key' }]
      : []
  }
  const faults: ConfigurationFault[] = []
  if (policiesOfRequests.length > 0 && policiesOfRequests.every(({ open }) => open)) {
    faults.push({ path: 'customers', reason: 'all routes are open, so that no key and no quota is ever looked at' })
  }
  for (const [index, { ratePerSecond, burst }] of customers.entries()) {
    if (ratePerSecond === 0 && burst > 0) {
      faults.push({ path: `customers.${index}.burst`, reason: 'a burst has no effect without ratePerSecond' })
    }
  }
  return faults
}

function contradictionsOfPolicies ({ policies, services, routes, zones }: Document): ConfigurationFault[] {
  const faults: ConfigurationFault[] = []
  const deadlines = [...services.flatMap(({ kinds }) => kinds), ...routes].map(({ deadlineMs }) => deadlineMs)
  const longestMs = Math.max(0, ...deadlines)
  if (policies.headerMs > policies.idleMs) {
    faults.push({ path: 'policies.headerMs', reason: 'a connection may be idle for less time than a head may take' })
  }
  if (longestMs > 0 && policies.headerMs > longestMs) {
    faults.push({ path: 'policies.headerMs', reason: `a head may take longer than the longest deadline, ${longestMs} ms` })
  }
  if (zones.every(({ state }) => state === 'out')) faults.push({ path: 'zones', reason: 'all zones are out, so that no request is served' })
  return faults
}
