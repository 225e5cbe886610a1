/** Checks messages between entries at the edge. */
import { z } from 'zod'
import type { PeerMessage } from '@gooseberryspan/core'

const member = z.object({
  instance: z.string(),
  incarnation: z.string(),
  zone: z.string(),
  region: z.string(),
  host: z.string(),
  port: z.int(),
  peerPort: z.int(),
  state: z.enum(['joining', 'confirmed', 'stopping']),
  joinedView: z.int()
})
const split = z.object({ service: z.string(), holders: z.int() })
const view = z.object({ version: z.int(), members: z.array(member), splits: z.array(split) })
const server = z.object({ id: z.string(), inFlightMs: z.array(z.number()), limit: z.number(), epoch: z.string().optional() })
const named = { view: z.int(), revision: z.int() }

const message = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('promise-request'), incarnation: z.string(), round: z.int(), ...named }),
  z.object({
    kind: z.literal('promise'), incarnation: z.string(), round: z.int(), granted: z.boolean(), forMs: z.number(), ...named
  }),
  z.object({ kind: z.literal('release-request'), shard: z.string(), incarnation: z.string(), version: z.int(), view: z.int() }),
  z.object({ kind: z.literal('release'), shard: z.string(), version: z.int(), view: z.int(), servers: z.array(server) }),
  z.object({ kind: z.literal('ended'), server: z.string(), left: z.int() }),
  z.object({ kind: z.literal('news'), ...named }),
  z.object({ kind: z.literal('fetch'), ...named }),
  z.object({
    kind: z.literal('catch-up'),
    view: view.optional(),
    changes: z.array(z.looseObject({})).optional(),
    document: z.looseObject({}).optional()
  })
])

/** A message with its sender. */
export const deliverySchema = z.object({ from: z.string(), incarnation: z.string(), message })

/** A checked message with its sender. */
export interface Delivery {
  from: string
  incarnation: string
  message: PeerMessage
}

/** The document and changes inside were validated when they were accepted; only their frame is checked here. */
export function asDelivery (checked: z.infer<typeof deliverySchema>): Delivery {
  return checked as unknown as Delivery
}
