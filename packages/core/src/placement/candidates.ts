/** Which servers a request may be sent to, and what each would cost it. */
import type { ColdTolerance } from '../budgets/coldAllowance.js'
import type { PlacementRequest } from './placementRequest.js'
import type { ServerRecord } from './serverRecord.js'
import type { WorkEstimate } from './workEstimate.js'

/** A server with room for a request. */
export interface Candidate {
  record: ServerRecord
  /** Expected time until an answer, in milliseconds. */
  finishMs: number
  /** The same with what sending it there costs others and risks. */
  costMs: number
  /** Whether its load was read just now. */
  fresh: boolean
  /** Whether the request would take its last slot. */
  full: boolean
  pace: number
}

/** What candidates are judged by. */
export interface Circumstances {
  work: WorkEstimate
  cold: ColdTolerance
  /** This scheduler's part of sums over all entries. */
  share: number
  /** Age up to which a reading counts as made just now, in milliseconds. */
  freshMs: number
  /** Whether servers are asked for their load and warmth at all. */
  asks: boolean
  /** Blame that half of the servers exceed: what all do is no reason to use one of them less. */
  usualBlame: number
}

/** A reading says nothing of a machine's pace any more at this age, in milliseconds. */
const PACE_KNOWN_MS = 300
/** Sending to another zone costs its way there and back, and its bytes. */
const OTHER_ZONE_MS = 4
const COLD_STRETCH = 2
/** A failed attempt costs about this many times the work. */
const FAILURE_FACTOR = 3
const UNHEALTHY_FACTOR = 3
const OVERDUE_FACTOR = 2
const UNANSWERED_FACTOR = 2
/** A server that is well answers a probe within this time, in milliseconds. */
const PROMPT_MS = 6
const MOST_BLAME = 0.9
const DOUBTFUL_BLAME = 0.5
/** Part of what a cold server bears that it may get before it has said that it is cold. */
const UNCHECKED_PART = 0.6

/** The candidate for a server, or undefined when it cannot take the request now. */
export function candidateOf (
  record: ServerRecord, request: PlacementRequest, circumstances: Circumstances, now: number
): Candidate | undefined {
  if (request.avoid.includes(record.entry.id)) return undefined
  const occupancy = record.occupancy(now)
  const cold = record.isCold(now)
  const blame = Math.min(MOST_BLAME, Math.max(0, record.blame(now) - circumstances.usualBlame))
  const { work } = circumstances
  if (occupancy >= slotsFor(record, work, cold || blame > DOUBTFUL_BLAME)) return undefined
  if (cold && !record.cold.allows(circumstances.cold, circumstances.share, now)) return undefined
  if (circumstances.asks && record.unchecked(now) > mostUnchecked(circumstances) + record.slots) return undefined
  const full = record.slots > 1 && occupancy + 1 >= record.slots
  const base = work.baseMs(request.route, request.targetMs)
  const pace = expectedPace(record, work.meanPace, now)
  const ownMs = base * (full ? work.fullRatio : 1) * (cold ? COLD_STRETCH : 1)
  const finishMs = work.stretched(ownMs, pace)
  const harmMs = full ? (work.fullRatio - 1) * base * occupancy / 2 : 0
  const riskMs = base * riskOf(record, blame, now)
  const wayMs = record.entry.zone === request.zone ? 0 : OTHER_ZONE_MS
  const fresh = record.age(now) <= circumstances.freshMs && record.unchecked(now) <= mostUnchecked(circumstances)
  return { record, finishMs: finishMs + wayMs, costMs: finishMs + wayMs + harmMs + riskMs, fresh, full, pace }
}

/**
 * Requests that may go to a server before it is asked anew whether it is cold: it may turn cold without a warning, and what it
 * got before that shows counts as well.
 */
function mostUnchecked ({ cold, share }: Circumstances): number {
  return Math.floor((cold.perSecond * cold.overage + cold.slack) * share * UNCHECKED_PART)
}

/** The pace that a server probably has now: what was read, fading into the mean. */
export function expectedPace (record: ServerRecord, mean: number, now: number): number {
  const { reading } = record
  if (!reading) return mean
  const faded = Math.min(1, Math.max(0, now - reading.at) / PACE_KNOWN_MS)
  return reading.pace + (mean - reading.pace) * faded
}

/** What sending a request to a server risks, as a multiple of the work. */
function riskOf (record: ServerRecord, blame: number, now: number): number {
  let risk = FAILURE_FACTOR * blame / (1 - blame)
  if (!record.healthy) risk += UNHEALTHY_FACTOR
  if (record.isOverdue(now)) risk += OVERDUE_FACTOR
  if (record.probedAt !== undefined && now - record.probedAt > PROMPT_MS) risk += UNANSWERED_FACTOR
  return risk
}

function slotsFor (record: ServerRecord, work: WorkEstimate, one: boolean): number {
  return one ? 1 : work.usefulSlots(record.slots)
}
