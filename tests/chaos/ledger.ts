/** Compares what callers sent and received with what backend servers ran. */
import type { Random } from '@gooseberryspan/core'
import type { Disturbances } from './disturbances.js'
import type { Answer } from './callerConnection.js'
import type { Report } from './report.js'

/** What may be repeated: only `safe` requests. */
export type RequestKind = 'safe' | 'unsafe' | 'upload'

/** A request of a caller. */
export interface SentRequest {
  id: string
  kind: RequestKind
  path: string
  /** Index of the entry that received it. */
  entry: number
  deadlineMs: number
  sentAt: number
  /** The caller sent it whole, alone on its connection, and waits for the answer. */
  regular: boolean
  bodyBytes: number
  answerBytes: number
}

interface RequestRecord extends SentRequest {
  runs: Array<{ server: string, finished: boolean }>
  refused?: number
  endedAt?: number
  lost?: boolean
}

/** These statuses promise that the request has not run and will not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503]
/** Time between SIGTERM and SIGKILL: `grace_s` of the deployments. */
export const GRACE_MS = 6000
/** A request sent this long after the signal must be refused if it cannot finish: 3 s of the grace time. */
const LATE_IN_STOP_MS = 3000
/** A backend server that is still at work in the last sixth of the grace time excuses the loss of an earlier request. */
const LAST_PART_MS = GRACE_MS * 5 / 6

/** What all parts of a run share. */
export interface RunContext {
  report: Report
  ledger: Ledger
  disturbances: Disturbances
  random: Random
}

/** All requests of a run. */
export class Ledger {
  readonly counts: Record<string, number> = {}
  private readonly _requests = new Map<string, RequestRecord>()
  private readonly _report: Report
  private readonly _disturbances: Disturbances

  constructor (report: Report, disturbances: Disturbances) {
    this._report = report
    this._disturbances = disturbances
  }

  send (request: SentRequest): void {
    this._requests.set(request.id, { ...request, runs: [] })
    this._count('sent')
  }

  /** A backend server begins to work on a request. */
  ran (id: string, server: string, { path, body }: { path: string, body: Buffer }): void {
    const request = this._requests.get(id)
    if (!request) return this._report.finding('unasked', `${server} ran ${id}, which no caller sent`)
    if (request.path !== path || !body.equals(fill(id, request.bodyBytes))) {
      const what = `${path}, ${body.length} of ${request.bodyBytes} bytes`
      this._report.finding('unasked', `${server} ran ${id} with another path or body: ${what}`)
    }
    request.runs.push({ server, finished: false })
    if (request.kind !== 'safe' && request.runs.length > 1) {
      this._report.finding('twice', `${describe(request)} ran at ${request.runs.map((run) => run.server).join(' and ')}`)
    }
    if (request.refused !== undefined) this._report.finding('refused', `${describe(request)} ran after status ${request.refused}`)
  }

  /** A backend server has sent its whole answer. */
  finished (id: string, server: string): void {
    for (const run of this._requests.get(id)?.runs ?? []) if (run.server === server) run.finished = true
  }

  /** A caller received an answer. */
  answered (id: string, answer: Answer): void {
    const request = this._requests.get(id)!
    const { status, headers, body } = answer
    request.endedAt = this._report.now
    this._count(String(status))
    const stamp = headers['server-stamp']
    if ((headers['request-id'] ?? id) !== id || (stamp ?? stampOf(id)) !== stampOf(id)) {
      return this._report.finding('mixed', `${describe(request)} got the answer to ${headers['request-id']} ${stamp}`)
    }
    if (status >= 200 && status < 300 && (stamp === undefined || !body.equals(fill(id, request.answerBytes)))) {
      this._report.finding('mixed', `${describe(request)} got status ${status} with ${body.length} of ${request.answerBytes} bytes`)
    }
    if (!NOT_RUN_STATUSES.includes(status)) return
    request.refused = status
    if (request.runs.length > 0) this._report.finding('refused', `${describe(request)} got status ${status} after it ran`)
  }

  /** The connection of a request ended without a whole answer. `stopAt`: when the entry was told to stop, if it was. */
  lost (id: string, stopAt: number | undefined): void {
    const request = this._requests.get(id)!
    const now = this._report.now
    request.endedAt = now
    request.lost = true
    this._count('lost')
    const run = request.runs.at(-1)
    if (!request.regular || !run || now >= request.sentAt + request.deadlineMs) return
    const isExcused = stopAt !== undefined && !run.finished && now >= stopAt + LAST_PART_MS && request.sentAt <= stopAt + LATE_IN_STOP_MS
    const targets = [`entry ${request.entry}`, run.server, 'store']
    if (isExcused || !targets.every((target) => this._disturbances.calm(target, request.sentAt, now))) return
    const when = stopAt === undefined ? '' : `, stop at ${stopAt}`
    const state = run.finished ? 'answered' : 'ran'
    this._report.finding('lost', `${describe(request)} ${state} at ${run.server} and was cut${when}`)
  }

  /** The caller left, or stopped waiting. */
  abandoned (id: string): void {
    this._requests.get(id)!.endedAt = this._report.now
    this._count('abandoned')
  }

  /** Whether a request to an entry was open, or was lost, after a moment. */
  wasCut (entry: number, after: number): boolean {
    for (const request of this._requests.values()) {
      if (request.entry === entry && (request.endedAt === undefined || (request.endedAt >= after && request.lost))) return true
    }
    return false
  }

  private _count (what: string): void {
    this.counts[what] = (this.counts[what] ?? 0) + 1
  }
}

/** The bytes of a body: the id of the request, repeated. */
export function fill (id: string, size: number): Buffer {
  return Buffer.alloc(size, id)
}

/** The signature that a backend server gives to its answer. */
export function stampOf (id: string): string {
  return `stamp.${id}`
}

function describe ({ id, kind, entry, sentAt }: RequestRecord): string {
  return `${kind} request ${id} to entry ${entry}, sent at ${sentAt} ms,`
}
