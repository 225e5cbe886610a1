/** Differences between two documents, so that a change costs its own size and not the document's. */
import { isDeepStrictEqual } from 'node:util'
import type { Document, Service, Zone } from './document.js'

/** What one accepted change did. Removed items are given by name. */
export interface Delta {
  zones: Zone[]
  removedZones: string[]
  services: Service[]
  removedServices: string[]
  policies?: Document['policies']
}

/** The difference that leads from one document to another. */
export function deltaBetween (from: Document, to: Document): Delta {
  const delta: Delta = {
    zones: changed(from.zones, to.zones),
    removedZones: removed(from.zones, to.zones),
    services: changed(from.services, to.services),
    removedServices: removed(from.services, to.services)
  }
  if (!isDeepStrictEqual(from.policies, to.policies)) delta.policies = to.policies
  return delta
}

/** The document that results from a difference. */
export function applyDelta (document: Document, delta: Delta): Document {
  return {
    zones: merged(document.zones, delta.zones, delta.removedZones),
    services: merged(document.services, delta.services, delta.removedServices),
    policies: delta.policies ?? document.policies
  }
}

function changed<T extends { name: string }> (from: T[], to: T[]): T[] {
  const before = new Map(from.map((item) => [item.name, item]))
  return to.filter((item) => !isDeepStrictEqual(before.get(item.name), item))
}

function removed<T extends { name: string }> (from: T[], to: T[]): string[] {
  const after = new Set(to.map((item) => item.name))
  return from.filter((item) => !after.has(item.name)).map((item) => item.name)
}

function merged<T extends { name: string }> (items: T[], upserts: T[], removals: string[]): T[] {
  const result = new Map(items.map((item) => [item.name, item]))
  for (const name of removals) result.delete(name)
  for (const item of upserts) result.set(item.name, item)
  return [...result.values()]
}
