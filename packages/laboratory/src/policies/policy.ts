/** A way to decide which server gets a request, run on the load model. */
import type { Random } from '@gooseberryspan/core'
import type { ModelServer } from '../model/modelServer.js'
import type { OutcomeRecorder } from '../model/outcome.js'
import type { ModelCall, Scenario } from '../model/scenario.js'
import type { VirtualTime } from '../model/virtualTime.js'

/** What a policy decides over. */
export interface World {
  scenario: Scenario
  time: VirtualTime
  servers: ModelServer[]
  random: Random
  recorder: OutcomeRecorder
}

/** One policy in one run. */
export interface Policy {
  /** Gets ready before the first request. */
  prepare (): void
  /** A caller sends a request now. */
  call (call: ModelCall): void
  /** An operator takes the zone out or brings it back in. */
  zone (name: string, state: 'in' | 'out'): void
}

/** Time from a caller to an entry, one way, in milliseconds. */
export const CALLER_HOP_MS = 0.5
/** Time within a zone, one way, in milliseconds. */
export const ZONE_HOP_MS = 0.1
/** Time between zones, one way, in milliseconds. */
export const FAR_HOP_MS = 0.75

/** Time between two zones, one way, in milliseconds. */
export function hopMs (from: string, to: string): number {
  return from === to ? ZONE_HOP_MS : FAR_HOP_MS
}
