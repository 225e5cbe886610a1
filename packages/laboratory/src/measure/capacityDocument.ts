/** The target's shape: 3 regions, 7 zones, any number of services. */
import { validateDocument, type Document } from '@gooseberryspan/core'

/** The zones of the target. */
export const ZONES = [
  { name: 'r1-a', region: 'r1' }, { name: 'r1-b', region: 'r1' }, { name: 'r1-c', region: 'r1' },
  { name: 'r2-a', region: 'r2' }, { name: 'r2-b', region: 'r2' },
  { name: 'r3-a', region: 'r3' }, { name: 'r3-b', region: 'r3' }
] as const

/** A document with that many services of two kinds each. */
export function capacityDocument (services: number): Document {
  return validateDocument({
    zones: ZONES.map((zone) => ({ ...zone })),
    services: Array.from({ length: services }, (_, index) => ({
      name: `service-${index}`,
      path: `/service-${index}`,
      kinds: [
        { name: 'read', methods: ['GET'], idempotent: true },
        { name: 'write', methods: ['POST'], idempotent: false, deadlineMs: 4000, weight: 3 }
      ]
    }))
  })
}
