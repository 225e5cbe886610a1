/** Selects the server of a cell for a request, or decides that waiting for a busy server is better. */
import { evaluateCandidate, expectedPace, type Candidate, type CandidateContext } from './candidates.js'
import type { CrossingCost } from './crossingCost.js'
import type { LimitedRates } from './limitedRates.js'
import type { PlacementRequest } from './placementRequest.js'
import { DEADLINE_MARGIN_MS, type QueuePolicy } from './queuePolicy.js'
import type { WaitingRequest } from './requestQueue.js'
import type { ServerRecord } from './serverRecord.js'
import type { WorkEstimate } from './workEstimate.js'

/** What the selector reads of the scheduler that uses it. */
export interface CandidateSelectorOptions {
  records: ReadonlyMap<string, ServerRecord>
  work: WorkEstimate
  policy: QueuePolicy
  rates: LimitedRates
  /** Whether a server is reserved for the trial of a new version. */
  isReserved: (record: ServerRecord) => boolean
  crossing: CrossingCost
  context: () => Omit<CandidateContext, 'work' | 'medianBlame' | 'rates' | 'crossing'>
}

/** A request waits for a busy server only if a free server would cost more by this factor. */
const MIN_WAIT_GAIN_FACTOR = 1.15

/** Only an answer shows that the limit of a server is over. One that has a limit and got no request for this long gets the next one. */
const LIMIT_TEST_INTERVAL_MS = 1000

/** Ranks the servers of one cell by the cost of sending a request to each. */
export class CandidateSelector {
  private readonly _options: CandidateSelectorOptions

  constructor (options: CandidateSelectorOptions) {
    this._options = options
  }

  /** The context for all candidates of one placement round. */
  context (now: number): CandidateContext {
    const { work, rates, crossing } = this._options
    return { ...this._options.context(), work, rates, crossing, medianBlame: this._medianBlame(now) }
  }

  /** Servers that can take the request now, the one with the lowest cost first. */
  candidates (request: PlacementRequest, context: CandidateContext, now: number): Candidate[] {
    const candidates: Candidate[] = []
    for (const record of this._options.records.values()) {
      if (record.reach === 'silent' || record.moved) continue
      const candidate = evaluateCandidate(record, request, context, now)
      if (candidate) candidates.push(candidate)
    }
    return candidates.sort((a, b) => a.costMs - b.costMs || a.record.lastUsedAt - b.record.lastUsedAt)
  }

  /** Picks the candidate for a request. Under overload, a late request only gets a server that is too slow for requests in time. */
  pick ({ request, late }: WaitingRequest, candidates: readonly Candidate[], now: number): Candidate | undefined {
    if (!late || !this._options.policy.isOverloaded(request, now)) return this._limitTest(request, candidates, now) ?? candidates[0]
    const inTime = (responseMs: number): boolean => now + responseMs + DEADLINE_MARGIN_MS < request.deadlineAt
    return candidates.find(({ responseMs }) => responseMs > request.targetMs && inTime(responseMs))
  }

  /** A server whose limit may be over, if it can answer a first attempt in time. */
  private _limitTest (request: PlacementRequest, candidates: readonly Candidate[], now: number): Candidate | undefined {
    if (request.purpose !== 'first' && request.purpose !== 'again') return undefined
    for (const candidate of candidates) {
      const { record, responseMs, full } = candidate
      if (this._options.rates.perMs(record.entry) === undefined || full || !record.healthy) continue
      if (now - record.lastUsedAt >= LIMIT_TEST_INTERVAL_MS && now + responseMs <= request.targetAt) return candidate
    }
    return undefined
  }

  /** Whether waiting for a busy server gives a better response time than the best candidate. */
  isWorthWaiting (waiting: WaitingRequest, best: Candidate, waitingAhead: number, now: number): boolean {
    const { work, rates, isReserved } = this._options
    const baseMs = work.baseMs(waiting.request.route, waiting.request.targetMs)
    const costMs = best.costMs - best.preferenceMs
    if (waiting.late || costMs <= baseMs * MIN_WAIT_GAIN_FACTOR) return false
    const responseTimes: number[] = []
    for (const record of this._options.records.values()) {
      const isRestricted = record.isCold(now) || rates.perMs(record.entry) !== undefined
      if (record.reach === 'silent' || record.outstanding.size === 0 || isRestricted || isReserved(record)) continue
      const pace = expectedPace(record, work.meanPace, now)
      responseTimes.push(record.nextResponseMs(now) + work.durationMs(baseMs, pace))
    }
    responseTimes.sort((a, b) => a - b)
    const responseAfterWaitMs = responseTimes[waitingAhead]
    return responseAfterWaitMs !== undefined && responseAfterWaitMs * MIN_WAIT_GAIN_FACTOR < costMs &&
      now + responseAfterWaitMs + DEADLINE_MARGIN_MS < waiting.request.deadlineAt
  }

  private _medianBlame (now: number): number {
    const blames: number[] = []
    for (const record of this._options.records.values()) if (record.reach === 'reached') blames.push(record.blame(now))
    blames.sort((a, b) => a - b)
    return blames[Math.floor((blames.length - 1) / 2)] ?? 0
  }
}
