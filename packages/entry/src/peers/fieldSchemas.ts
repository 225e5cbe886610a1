/** Schemas of the structured fields in messages between entries. */
import * as z from 'zod'

export const tableSchema = z.enum(['declarations', 'servers', 'rollouts'])
/** A row of a table, or a record of its removal. */
export const rowSchema = z.object({ key: z.string(), version: z.number(), value: z.string().optional() })

/** Era of the store; absent in older versions' messages. */
export const eraSchema = z.int().min(0).optional()
const replicaSchema = z.object({
  table: tableSchema, version: z.number(), changedAt: z.number().optional(), era: eraSchema, ageMs: z.number()
})
const loadSchema = z.object({ running: z.number(), waiting: z.number(), slots: z.number(), pace: z.number() })
const outcomeSchema = z.enum([
  'answered', 'failed', 'failed-below', 'shed', 'moved', 'unreachable', 'lost', 'cancelled', 'unused'
])

const countSchema = z.number().min(0)
const answerCountSchema = z.object({ total: countSchema, failed: countSchema, timed: countSchema, slow: countSchema })

/** Schemas by the name that a message's field has for its type. */
export const FIELD_SCHEMAS = {
  table: tableSchema,
  rows: z.array(rowSchema),
  tables: z.array(replicaSchema),
  relay: z.object({ from: z.string(), to: z.string() }),
  purpose: z.enum(['first', 'diverted', 'again', 'retry', 'hedge']),
  basis: z.object({ ageMs: z.number(), running: z.number(), waiting: z.number(), pace: z.number() }),
  refusal: z.enum(['no-server', 'overload', 'deadline', 'budget']),
  report: z.object({
    outcome: outcomeSchema,
    tookMs: z.number(),
    load: loadSchema.optional(),
    limitPerSecond: z.number().min(0).optional(),
    answerBytes: z.number().min(0).optional()
  }),
  limits: z.array(z.object({
    server: z.string(), incarnation: z.string(), perSecond: z.number().min(0), ageMs: z.number().min(0)
  })),
  flag: z.boolean(),
  fleet: z.object({ count: countSchema, ageMs: countSchema }),
  answers: z.array(z.object({
    route: z.string(), former: answerCountSchema, target: z.array(answerCountSchema.extend({ server: z.string() }))
  }))
}
