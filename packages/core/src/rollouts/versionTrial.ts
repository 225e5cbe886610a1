/** The part of a service's requests that one entry's schedulers give to a version on trial, and the answers that they see. */
import type { RegisteredServer } from '../discovery/registeredServer.js'
import type { Candidate } from '../placement/candidates.js'
import type { AttemptReport, PlacementRequest } from '../placement/placementRequest.js'
import { AnswerCounts, qualityOf } from './answerCounts.js'

/** Bounds of the requests that a version may get before it has passed, over all entries. */
export interface ExposureLimit {
  /** Fraction of the requests of its service. */
  share: number
  /** Further requests in one roll-out. */
  slack: number
}

export interface VersionTrialOptions {
  order: number
  limit: ExposureLimit
  /** Fraction of the slack that this entry may use, between 0 and 1. It stays the same, whoever takes over from whom. */
  slackShare: number
  isTarget: (server: Pick<RegisteredServer, 'id' | 'service' | 'softwareVersion'>) => boolean
  /** Whether the target gets only its share; afterwards its answers are still counted. */
  isLimited: () => boolean
  /** Whether the trial may go on: the deciding entry has answered lately and has not found the version bad. */
  isOpen: (now: number) => boolean
}

/** Leaves a margin for requests that reached a server although their entry did not learn of it. */
const USED_SHARE_FRACTION = 0.9
/** Entries that are split into two groups when a roll-out begins may both use the slack. */
const USED_SLACK_FRACTION = 0.5
/** Servers of the target that share its requests at first, so that the answers of one faulty server do not decide. */
const MIN_TRIAL_SERVERS = 2

/**
 * Limits and watches a version on trial. Each entry counts the requests that its schedulers place, so the sum over all entries stays
 * within the share without any message. Requests go to few servers, which therefore carry about the usual load.
 */
export class VersionTrial {
  readonly counts = new AnswerCounts()
  private readonly _options: VersionTrialOptions
  private _arrived = 0
  private _given = 0
  private readonly _givenByRoute = new Map<string, number>()
  private readonly _arrivedByRoute = new Map<string, number>()

  constructor (options: VersionTrialOptions) {
    this._options = options
  }

  /** Requests that reached servers of the service since the trial began. */
  get arrived (): number {
    return this._arrived
  }

  /** Requests that were given to the target. */
  get given (): number {
    return this._given
  }

  get order (): number {
    return this._options.order
  }

  /** Whether a server is reserved for the requests of the trial. */
  isReserved (server: RegisteredServer): boolean {
    return this._options.isLimited() && this.isTarget(server)
  }

  /** Whether a server runs the version on trial. */
  isTarget (server: Pick<RegisteredServer, 'id' | 'service' | 'softwareVersion'>): boolean {
    return this._options.isTarget(server)
  }

  /** The candidates that a request may use: those of the target if it is the turn of one of them, and otherwise the others. */
  eligible (request: PlacementRequest, candidates: readonly Candidate[], records: ReadonlyMap<string, unknown>, now: number): Candidate[] {
    if (!this._options.isLimited()) return [...candidates]
    const former = candidates.filter(({ record }) => !this.isTarget(record.entry))
    const isFirst = request.purpose === 'first' || request.purpose === 'diverted' || request.purpose === 'again'
    if (!isFirst || !this._isTurnOf(request.route) || !this._options.isOpen(now)) return former
    const target = candidates.filter(({ record }) => this.isTarget(record.entry))
    const used = target.sort((a, b) => a.record.entry.id < b.record.entry.id ? -1 : 1).slice(0, this._trialServerCount(records.size))
    return used.length > 0 ? used.sort((a, b) => a.costMs - b.costMs) : former
  }

  /** Records that a request was granted a server. */
  granted (route: string, server: RegisteredServer): void {
    if (!this.isTarget(server)) return
    this._given += 1
    this._givenByRoute.set(route, (this._givenByRoute.get(route) ?? 0) + 1)
  }

  /**
   * Records how an attempt ended on a server that this entry granted; `usualMs` is how long requests of the route usually take, undefined
   * if the attempt cannot be compared with it.
   */
  ended (route: string, server: RegisteredServer, report: AttemptReport, usualMs: number | undefined, now: number): void {
    if (report.outcome !== 'unused' && report.outcome !== 'unreachable') {
      this._arrived += 1
      this._arrivedByRoute.set(route, (this._arrivedByRoute.get(route) ?? 0) + 1)
    }
    if (usualMs === undefined) return
    const quality = qualityOf(report, usualMs)
    if (this.isTarget(server)) this.counts.addTarget(route, server.id, quality, now)
    else this.counts.addFormer(route, server.id, quality, now)
  }

  /** Whether the next request of a route may go to the target. Each route gets its part, since a version may be bad on one of them only. */
  private _isTurnOf (route: string): boolean {
    const { limit: { share, slack }, slackShare } = this._options
    const usedShare = share * USED_SHARE_FRACTION
    const usableSlack = slack * USED_SLACK_FRACTION * slackShare
    if (this._given + 1 > this._arrived * usedShare + usableSlack) return false
    const routes = Math.max(1, this._arrivedByRoute.size)
    return (this._givenByRoute.get(route) ?? 0) + 1 <= (this._arrivedByRoute.get(route) ?? 0) * usedShare + usableSlack / routes
  }

  private _trialServerCount (serverCount: number): number {
    return Math.max(MIN_TRIAL_SERVERS, Math.floor(serverCount / 2 * this._options.limit.share))
  }
}
