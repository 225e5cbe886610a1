/** Orders to move a service to another software version, and the record of how far each has come. */
import * as z from 'zod'
import type { StoredRow } from '../store/row.js'

/** An operator's order to move a service to backend servers of another software version. */
export interface RolloutOrder {
  service: string
  /** Software version of the servers that take over. */
  target: string
  /** Time that the roll-out may take, in milliseconds. */
  durationMs: number
}

/** An order with the version of the store row that holds it. A later order of the same service has a higher version. */
export interface PlacedOrder extends RolloutOrder {
  version: number
}

/** How far a roll-out has come. Phases follow each other in this order; the last two are final. */
export type RolloutPhase =
  /** The target gets a limited share of the requests and is compared with the version in service. */
  | 'trial'
  /** The target has passed. It gets all new requests, and those on the former servers end. */
  | 'switching'
  | 'completed'
  | 'rolled-back'

/** The state of a roll-out as the store holds it. */
export interface RolloutRecord {
  service: string
  /** Version of the store row with the order. */
  order: number
  target: string
  /** Software versions that were in service when the roll-out began. */
  former: string[]
  phase: RolloutPhase
  /** Time of day at which the roll-out began, in milliseconds since 1970. */
  startedAt: number
  durationMs: number
}

/** A record with the version of its store row, which the next write requires. */
export interface StoredRecord extends RolloutRecord {
  version: number
}

const recordSchema = z.object({
  service: z.string(),
  order: z.number(),
  target: z.string(),
  former: z.array(z.string()),
  phase: z.enum(['trial', 'switching', 'completed', 'rolled-back']),
  startedAt: z.number(),
  durationMs: z.number().min(0)
})

/** Whether a roll-out has ended. */
export function isFinal ({ phase }: Pick<RolloutRecord, 'phase'>): boolean {
  return phase === 'completed' || phase === 'rolled-back'
}

/** Encodes a record for its store row. */
export function encodeRecord ({ service, order, target, former, phase, startedAt, durationMs }: RolloutRecord): string {
  return JSON.stringify({ service, order, target, former, phase, startedAt, durationMs })
}

/** Decodes the store row of a record. Returns undefined if the row is malformed. */
export function decodeRecord ({ value, version }: StoredRow): StoredRecord | undefined {
  try {
    const result = recordSchema.safeParse(JSON.parse(value ?? ''))
    return result.success ? { ...result.data, version } : undefined
  } catch {
    return undefined
  }
}
