/** The tRPC interface between entries, for state that is too large for datagrams. */
import { initTRPC } from '@trpc/server'
import * as z from 'zod'
import type { PeerState, PeerStateQuery } from '@gooseberryspan/core'
import { eraSchema, rowSchema, tableSchema } from './fieldSchemas.js'

/** The part of an entry that the interface needs. */
export interface PeerStateSource {
  stateFor (query: PeerStateQuery): PeerState
}

const querySchema = z.object({
  versions: z.object({ declarations: z.number().optional(), servers: z.number().optional() }),
  eras: z.object({ declarations: eraSchema, servers: eraSchema }).optional()
})

/** Schema of the state that another entry returns; also used to validate it. */
export const peerStateSchema = z.object({
  tables: z.array(z.object({
    table: tableSchema,
    from: z.number().optional(),
    version: z.number(),
    era: eraSchema,
    ageMs: z.number(),
    rows: z.array(rowSchema)
  })),
  recoveredMs: z.number().min(0).optional(),
  steadyMs: z.number().min(0).optional()
})

const trpc = initTRPC.create()

/** Creates the router for an entry's state. */
export function peerRouter (source: PeerStateSource) {
  return trpc.router({
    state: trpc.procedure.input(querySchema).query(({ input }) => source.stateFor(input))
  })
}

/** Type of the router, for the client. */
export type PeerRouter = ReturnType<typeof peerRouter>
