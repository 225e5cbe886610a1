/** What travels with a request that is sent on to another entry, in one header. */
import { z } from 'zod'
import type { RequestSpec } from '@gooseberryspan/core'

const forwardSchema = z.object({
  service: z.string(),
  kind: z.string(),
  leftMs: z.number(),
  depth: z.int(),
  hops: z.int(),
  caller: z.string(),
  retrySpent: z.boolean()
})

/** The facts a peer cannot work out by itself. */
export type ForwardFacts = z.infer<typeof forwardSchema>

/** Packs the facts of a request. */
export function packForward (spec: RequestSpec, leftMs: number): string {
  const facts: ForwardFacts = {
    service: spec.service,
    kind: spec.kind,
    leftMs,
    depth: spec.depth,
    hops: spec.hops + 1,
    caller: spec.caller,
    retrySpent: spec.retrySpent
  }
  return encodeURIComponent(JSON.stringify(facts))
}

/** The facts, or undefined when they are malformed. */
export function unpackForward (text: string): ForwardFacts | undefined {
  try {
    return forwardSchema.parse(JSON.parse(decodeURIComponent(text)))
  } catch {
    return undefined
  }
}
