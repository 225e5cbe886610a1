/** Decides which servers a request may be sent to, and estimates the cost of each choice. */
import type { ColdTolerance } from '../budgets/coldStartLimiter.js'
import type { CrossingCost } from './crossingCost.js'
import type { LimitedRates } from './limitedRates.js'
import type { PlacementRequest } from './placementRequest.js'
import type { ServerRecord } from './serverRecord.js'
import type { WorkEstimate } from './workEstimate.js'

/** A server that can take a request now. */
export interface Candidate {
  record: ServerRecord
  /** Expected response time, in milliseconds. */
  responseMs: number
  /** `responseMs` plus the delay for other requests on the server, the expected cost of a failure and `preferenceMs`, in milliseconds. */
  costMs: number
  /** What the choice costs beside time: bytes between zones, and a new connection; as time that a caller would wait instead. */
  preferenceMs: number
  /** Whether its load reading is recent enough to rely on. */
  fresh: boolean
  /** Whether it has received so many requests since it last answered a probe that it may be cold without notice. */
  unverified: boolean
  /** Whether the request would take its last slot. */
  full: boolean
  /** How long work takes there now, as a multiple of the usual time. */
  pace: number
}

/** The state of the service that candidates are evaluated with. */
export interface CandidateContext {
  work: WorkEstimate
  cold: ColdTolerance
  /** Fraction of the limits over all entries that this scheduler may use. */
  share: number
  /** The same for servers that are known to be cold. */
  coldShare: number
  /** Age up to which a load reading counts as fresh, in milliseconds. */
  freshMs: number
  /** Whether servers are probed before placements. */
  asks: boolean
  /** Median blame of the servers. It is subtracted from the blame of each, so that failures common to all servers exclude none. */
  medianBlame: number
  /** Limits that servers have stated. */
  rates: LimitedRates
  crossing: CrossingCost
}

/** A load reading of this age no longer predicts the pace of the machine. */
const PACE_READING_LIFETIME_MS = 300
/**
 * Among servers that are about as good, one to which the entry has an open connection is preferred: servers spend time on a new one, and
 * callers do not notice this fraction of their target latency.
 */
const NEW_CONNECTION_TARGET_FRACTION = 0.03
const COLD_SLOWDOWN_FACTOR = 2
/** A failed attempt costs about this many times the work of the request. */
const FAILURE_COST_FACTOR = 3
const UNHEALTHY_COST_FACTOR = 3
const OVERDUE_COST_FACTOR = 2
const PENDING_PROBE_COST_FACTOR = 2
/** A server without problems answers a probe within this time. */
const PROMPT_PROBE_ANSWER_MS = 6
const MAX_BLAME = 0.9
/** A server with more blame than this gets one request at a time. */
const MAX_MULTI_SLOT_BLAME = 0.5
/** Fraction of the cold tolerance that a server may receive before a probe answer has shown whether it is cold. */
const SENT_SINCE_PROBE_FRACTION = 0.6

/** Returns the candidate for a server, or undefined if the server cannot take the request now. */
export function evaluateCandidate (
  record: ServerRecord, request: PlacementRequest, context: CandidateContext, now: number
): Candidate | undefined {
  if (request.avoid.includes(record.entry.id)) return undefined
  // A hedge would give a server that has asked for less load work that another one does as well.
  if (request.purpose === 'hedge' && context.rates.perMs(record.entry) !== undefined) return undefined
  if (context.rates.waitMs(record.entry, now) > 0) return undefined
  const occupancy = record.occupancy(now)
  const cold = record.isCold(now)
  const blame = Math.min(MAX_BLAME, Math.max(0, record.blame(now) - context.medianBlame))
  const { work } = context
  if (occupancy >= usableSlots(record, work, cold || blame > MAX_MULTI_SLOT_BLAME)) return undefined
  if (cold && !record.cold.allows(context.cold, context.coldShare, now)) return undefined
  if (context.asks && record.sentSinceProbe(now) > maxSentSinceProbe(context) + record.slots) return undefined
  const full = record.slots > 1 && occupancy + 1 >= record.slots
  const baseMs = work.baseMs(request.route, request.targetMs)
  const pace = expectedPace(record, work.meanPace, now)
  const workMs = baseMs * (full ? work.fullSlowdownRatio : 1) * (cold ? COLD_SLOWDOWN_FACTOR : 1)
  const serverMs = work.durationMs(workMs, pace)
  const slowdownOfOthersMs = full ? (work.fullSlowdownRatio - 1) * baseMs * occupancy / 2 : 0
  const riskMs = baseMs * riskFactor(record, blame, now)
  const isSameZone = record.entry.zone === request.zone
  const networkMs = isSameZone ? 0 : context.crossing.roundTripMs
  const preferenceMs = (isSameZone ? 0 : context.crossing.transferMs(request)) + connectionCostMs(record, request, context)
  const unverified = record.sentSinceProbe(now) > maxSentSinceProbe(context)
  const fresh = record.readingAgeMs(now) <= context.freshMs && !unverified
  const responseMs = serverMs + networkMs
  const costMs = responseMs + slowdownOfOthersMs + riskMs + preferenceMs
  return { record, responseMs, costMs, preferenceMs, fresh, unverified, full, pace }
}

/** Cost of a new connection. A server that states a limit is not preferred, since its limit is for all entries. */
function connectionCostMs ({ entry }: ServerRecord, { connected, targetMs }: PlacementRequest, { rates }: CandidateContext): number {
  if (connected === undefined) return 0
  const isPreferred = connected.includes(entry.id) && rates.perMs(entry) === undefined
  return isPreferred ? 0 : targetMs * NEW_CONNECTION_TARGET_FRACTION
}

/**
 * Requests that may be sent to a server before it has to be probed again. A server may become cold without notice, and requests
 * that it receives before a probe shows this count against the cold tolerance too.
 */
function maxSentSinceProbe ({ cold, share }: CandidateContext): number {
  return Math.floor((cold.perSecond * cold.overage + cold.slack) * share * SENT_SINCE_PROBE_FRACTION)
}

/** The expected pace of a server now: the pace of its last load reading, moving towards the mean with the reading's age. */
export function expectedPace (record: ServerRecord, meanPace: number, now: number): number {
  const { reading } = record
  if (!reading) return meanPace
  const fadedFraction = Math.min(1, Math.max(0, now - reading.at) / PACE_READING_LIFETIME_MS)
  return reading.pace + (meanPace - reading.pace) * fadedFraction
}

/** Expected cost of a failure on a server, as a multiple of the work of the request. */
function riskFactor (record: ServerRecord, blame: number, now: number): number {
  let risk = FAILURE_COST_FACTOR * blame / (1 - blame)
  if (!record.healthy) risk += UNHEALTHY_COST_FACTOR
  if (record.isOverdue(now)) risk += OVERDUE_COST_FACTOR
  if (record.probedAt !== undefined && now - record.probedAt > PROMPT_PROBE_ANSWER_MS) risk += PENDING_PROBE_COST_FACTOR
  return risk
}

function usableSlots (record: ServerRecord, work: WorkEstimate, singleSlot: boolean): number {
  return singleSlot ? 1 : work.usefulSlots(record.slots)
}
