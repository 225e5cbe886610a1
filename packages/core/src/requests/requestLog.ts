/** The log lines on the requests that an entry handles. */
import type { Declarations } from '../configuration/declarations.js'
import type { FailureReason, Outbox } from '../effects.js'
import type { AttemptReport, GrantBasis } from '../placement/placementRequest.js'
import type { Rollouts } from '../rollouts/rollouts.js'
import type { Attempt, OpenRequest } from './request.js'

export interface RequestLogOptions {
  outbox: Outbox
  declarations: Declarations
  rollouts: Pick<Rollouts, 'trialOf'>
}

/** Logs what happens to requests. */
export class RequestLog {
  private readonly _options: RequestLogOptions

  constructor (options: RequestLogOptions) {
    this._options = options
  }

  dispatched (request: OpenRequest, { ask, id, server, expectedMs }: Attempt, basis: GrantBasis | undefined, now: number): void {
    const { spec } = request
    this._options.outbox.log({
      decision: 'dispatched',
      request: spec.label,
      route: spec.route.name,
      customer: spec.customer?.name,
      service: spec.service,
      server: server.id,
      softwareVersion: this._options.rollouts.trialOf(spec.service) && server.softwareVersion,
      instance: ask.scheduler,
      attempt: id,
      purpose: ask.purpose,
      expectedMs: Math.round(expectedMs),
      leftMs: Math.round(request.expiresAt - now),
      readingAgeMs: basis?.ageMs,
      running: basis?.running,
      waiting: basis?.waiting,
      pace: basis?.pace,
      revision: this._options.declarations.revision
    })
  }

  attemptEnded ({ spec }: OpenRequest, attempt: Attempt, report: AttemptReport, status: number | undefined): void {
    this._options.outbox.log({
      decision: 'attempt-ended',
      request: spec.label,
      service: spec.service,
      server: attempt.server.id,
      attempt: attempt.id,
      reason: report.outcome,
      status,
      tookMs: Math.round(report.tookMs)
    })
  }

  answered (request: OpenRequest, attempt: Attempt, load: AttemptReport['load'], status: number | undefined, now: number): void {
    const { spec } = request
    this._options.outbox.log({
      decision: 'answered',
      request: spec.label,
      service: spec.service,
      server: attempt.server.id,
      attempt: attempt.id,
      status,
      tookMs: Math.round(now - request.arrivedAt),
      running: load?.running,
      waiting: load?.waiting,
      pace: load?.pace,
      count: request.sentTo.length
    })
  }

  /** Logs that a server's error answer was passed on, since no other attempt succeeded. */
  answeredWithFailure (request: OpenRequest, attempt: number, reason: FailureReason, now: number): void {
    const { spec } = request
    this._options.outbox.log({
      decision: 'answered',
      request: spec.label,
      service: spec.service,
      attempt,
      reason,
      tookMs: Math.round(now - request.arrivedAt),
      count: request.sentTo.length
    })
  }

  refused (request: OpenRequest, reason: string, retryAfterMs: number | undefined, now: number): void {
    const { spec } = request
    this._options.outbox.log({
      decision: 'refused',
      request: spec.label,
      route: spec.route.name,
      customer: spec.customer?.name,
      service: spec.service,
      reason,
      tookMs: Math.round(now - request.arrivedAt),
      count: request.sentTo.length,
      retryAfterMs: retryAfterMs === undefined ? undefined : Math.round(retryAfterMs)
    })
  }
}
