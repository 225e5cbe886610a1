/** The tRPC interface between entries. */
import { initTRPC } from '@trpc/server'
import { asDelivery, deliverySchema, type Delivery } from './messageSchema.js'

/** What the interface needs of the entry. */
export interface PeerInbox {
  received (delivery: Delivery): void
}

const trpc = initTRPC.create()

/** Builds the router over an entry's inbox. */
export function peerRouter (inbox: PeerInbox) {
  return trpc.router({
    deliver: trpc.procedure.input(deliverySchema).mutation(({ input }) => {
      inbox.received(asDelivery(input))
      return true
    })
  })
}

/** The interface's type, for the client. */
export type PeerRouter = ReturnType<typeof peerRouter>
