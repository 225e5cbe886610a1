/** Computes the differences between two configuration documents, for display to operators. */
import { isDeepStrictEqual } from 'node:util'
import type { DeclaredCustomer, DeclaredRoute, Document, Service, Zone } from './document.js'

/** Added or changed items, and the names of removed items. */
export interface Delta {
  zones: Zone[]
  removedZones: string[]
  services: Service[]
  removedServices: string[]
  routes: DeclaredRoute[]
  removedRoutes: string[]
  customers: DeclaredCustomer[]
  removedCustomers: string[]
  policies?: Document['policies']
}

/** Computes the changes that turn one document into the other. */
export function deltaBetween (from: Document, to: Document): Delta {
  const delta: Delta = {
    zones: changed(from.zones, to.zones),
    removedZones: removed(from.zones, to.zones),
    services: changed(from.services, to.services),
    removedServices: removed(from.services, to.services),
    routes: changed(from.routes, to.routes),
    removedRoutes: removed(from.routes, to.routes),
    customers: changed(from.customers ?? [], to.customers ?? []),
    removedCustomers: removed(from.customers ?? [], to.customers ?? [])
  }
  if (!isDeepStrictEqual(from.policies, to.policies)) delta.policies = to.policies
  return delta
}

function changed<T extends { name: string }> (from: T[], to: T[]): T[] {
  const before = new Map(from.map((item) => [item.name, item]))
  return to.filter((item) => !isDeepStrictEqual(before.get(item.name), item))
}

function removed<T extends { name: string }> (from: T[], to: T[]): string[] {
  const after = new Set(to.map((item) => item.name))
  return from.filter((item) => !after.has(item.name)).map((item) => item.name)
}
