/** The state of one backend server, as a scheduler knows it. */
import { ColdStartLimiter } from '../budgets/coldStartLimiter.js'
import type { RegisteredServer } from '../discovery/registeredServer.js'
import type { LoadReading, LoadReport } from './loadReading.js'
import type { AttemptReport } from './placementRequest.js'

/** A request that was granted the server and has not ended, as far as the scheduler knows. */
export interface OutstandingRequest {
  sentAt: number
  expectedAt: number
  deadlineAt: number
  pace: number
  full: boolean
  /** Whether the server was cold when it was sent. */
  cold?: boolean
  /** Whether it counts against the retry budget. */
  isFurtherAttempt?: boolean
}

/** The answer of a server to a probe. */
export interface ProbeAnswer {
  healthy: boolean
  /** Remaining time of its cold start, in milliseconds; absent if the server does not report it. */
  coldMs?: number
  load?: LoadReport
}

/** Whether a server can be reached; `silent` means unreachable. */
export type Reachability = 'unknown' | 'reached' | 'silent'

/** A request arrives at its server at most this long after it was granted. */
const MAX_TRANSIT_MS = 5
const BLAME_SMOOTHING_RATIO = 0.2
const BLAME_HALF_LIFE_MS = 3000
const INITIAL_REPROBE_DELAY_MS = 100
const MAX_REPROBE_DELAY_MS = 1000
const UNREACHABLE_FAILURE_COUNT = 2
/** A request is overdue when it takes this many times as long as expected. */
const OVERDUE_FACTOR = 3
/** About the duration of one request: requests of other senders that were counted in a reading of this age may have ended. */
const STALE_READING_AGE_MS = 100
/** Window in which requests to a server without a newer probe answer are counted; the cold tolerance is per second. */
const SENT_SINCE_PROBE_WINDOW_MS = 1000

/** Load, cold start, reachability and blame of one server. Blame is the decaying fraction of failed requests. */
export class ServerRecord {
  readonly cold = new ColdStartLimiter()
  readonly outstanding = new Map<string, OutstandingRequest>()
  /** When the pending probe was sent; undefined if there is none. */
  probedAt: number | undefined
  lastUsedAt = -Infinity
  reach: Reachability = 'unknown'
  /** The health that the server last reported. */
  healthy = true
  /** Another server answered at its address: its registration is stale. */
  moved = false
  private _entry: RegisteredServer
  private _reading: LoadReading | undefined
  private _endedSinceReading: number[] = []
  private _coldUntil: number
  /** Times at which requests were sent since the last answered probe. */
  private _sentSinceProbe: number[] = []
  private _blame = 0
  private _blamedAt = 0
  private _consecutiveFailures = 0
  private _reprobeAt = -Infinity
  private _reprobeDelayMs = INITIAL_REPROBE_DELAY_MS

  constructor (entry: RegisteredServer, now: number) {
    this._entry = entry
    this._coldUntil = now + entry.coldMs
  }

  get entry (): RegisteredServer {
    return this._entry
  }

  get reading (): LoadReading | undefined {
    return this._reading
  }

  get slots (): number {
    return this._reading?.slots ?? this._entry.slots
  }

  /** Updates the registration. A new incarnation is treated as a new server. */
  update (entry: RegisteredServer, now: number): void {
    if (entry.incarnation !== this._entry.incarnation) this._reset()
    this._coldUntil = Math.max(this._coldUntil, now + entry.coldMs)
    this.moved = false
    this._entry = entry
  }

  /** Whether the server is in its cold start. */
  isCold (now: number): boolean {
    return now < this._coldUntil
  }

  /** Number of requests sent within the last second and since the last answered probe. */
  sentSinceProbe (now: number): number {
    this._sentSinceProbe = this._sentSinceProbe.filter((at) => now - at < SENT_SINCE_PROBE_WINDOW_MS)
    return this._sentSinceProbe.length
  }

  /** Age of the newest load reading, in milliseconds. */
  readingAgeMs (now: number): number {
    return this._reading === undefined ? Infinity : now - this._reading.at
  }

  /** Estimated number of requests running and waiting on the server: the last reading, corrected for requests sent and ended since. */
  occupancy (now: number): number {
    if (!this._reading) return this._countOutstanding(now, -Infinity)
    const endedCount = this._endedSinceReading.length
    return Math.max(
      0, this._reading.running + this._reading.waiting + this._countOutstanding(now, this._reading.at - MAX_TRANSIT_MS) - endedCount
    )
  }

  /** Whether it counts as occupied by requests of other senders because of a stale reading, which no answer will replace. */
  hasStaleReading (now: number): boolean {
    if (this.probedAt !== undefined || this.readingAgeMs(now) < STALE_READING_AGE_MS) return false
    return this.occupancy(now) > this._countOutstanding(now, -Infinity)
  }

  /** Records that a request was granted this server. */
  recordSent (id: string, outstanding: OutstandingRequest): void {
    this.outstanding.set(id, outstanding)
    this._sentSinceProbe.push(outstanding.sentAt)
    this.lastUsedAt = outstanding.sentAt
  }

  /** Records how an attempt ended; returns the outstanding request, if it was known. */
  recordEnded (id: string, report: AttemptReport, now: number): OutstandingRequest | undefined {
    const outstanding = this.outstanding.get(id)
    this.outstanding.delete(id)
    if (report.load) this.recordReading({ ...report.load, at: now })
    else if (outstanding && this._reading && outstanding.sentAt <= this._reading.at - MAX_TRANSIT_MS) this._endedSinceReading.push(now)
    this._updateBlame(report, now)
    return outstanding
  }

  /** Stores a load reading, unless it is older than the last one. */
  recordReading (reading: LoadReading): void {
    if (this._reading && reading.at < this._reading.at) return
    this._reading = reading
    this._endedSinceReading = this._endedSinceReading.filter((at) => at > reading.at)
    this._markReachable()
  }

  /** Processes the answer to a probe. */
  answered (answer: ProbeAnswer, at: number): void {
    this.probedAt = undefined
    this.healthy = answer.healthy
    if (answer.coldMs !== undefined) this._coldUntil = at + answer.coldMs
    this._sentSinceProbe = this._sentSinceProbe.filter((sentAt) => sentAt > at)
    this._markReachable()
    if (answer.load) this.recordReading({ ...answer.load, at })
  }

  /** Records that a probe was not answered or that a connection failed. */
  probeFailed (now: number): void {
    this.probedAt = undefined
    this._consecutiveFailures += 1
    if (this.reach === 'reached' && this._consecutiveFailures < UNREACHABLE_FAILURE_COUNT) return
    this.reach = 'silent'
    this._reprobeAt = now + this._reprobeDelayMs
    this._reprobeDelayMs = Math.min(MAX_REPROBE_DELAY_MS, this._reprobeDelayMs * 2)
  }

  /** Whether the server is unreachable and should be probed again now. */
  isDueForReprobe (now: number): boolean {
    return this.reach === 'silent' && now >= this._reprobeAt && this.probedAt === undefined
  }

  /** Decaying fraction of its recent requests that failed, between 0 and 1. */
  blame (now: number): number {
    return this._blame * 0.5 ** ((now - this._blamedAt) / BLAME_HALF_LIFE_MS)
  }

  /** Time until the next answer is expected, in milliseconds; for a request past its expected end, half of its expected duration. */
  nextResponseMs (now: number): number {
    let nextMs = Infinity
    for (const { sentAt, expectedAt } of this.outstanding.values()) {
      const left = expectedAt > now ? expectedAt - now : (expectedAt - sentAt) / 2
      if (left < nextMs) nextMs = left
    }
    return nextMs
  }

  /** Whether an outstanding request takes several times as long as expected. */
  isOverdue (now: number): boolean {
    for (const { sentAt, expectedAt } of this.outstanding.values()) {
      if (now - sentAt > OVERDUE_FACTOR * (expectedAt - sentAt)) return true
    }
    return false
  }

  private _updateBlame (report: AttemptReport, now: number): void {
    switch (report.outcome) {
      case 'answered':
      case 'failed-below': return this._addBlameSample(0, now)
      case 'failed':
      case 'shed':
      case 'lost': return this._addBlameSample(1, now)
      case 'unreachable':
        this._addBlameSample(1, now)
        return this.probeFailed(now)
      case 'moved':
        this.moved = true
    }
  }

  private _addBlameSample (failure: number, now: number): void {
    const blame = this.blame(now)
    this._blame = blame + BLAME_SMOOTHING_RATIO * (failure - blame)
    this._blamedAt = now
  }

  private _markReachable (): void {
    this.reach = 'reached'
    this._consecutiveFailures = 0
    this._reprobeDelayMs = INITIAL_REPROBE_DELAY_MS
  }

  /** Number of outstanding requests that were sent after the given time. Removes those past their deadline. */
  private _countOutstanding (now: number, after: number): number {
    let count = 0
    for (const [id, outstanding] of this.outstanding) {
      if (outstanding.deadlineAt < now) this.outstanding.delete(id)
      else if (outstanding.sentAt > after) count += 1
    }
    return count
  }

  private _reset (): void {
    this.outstanding.clear()
    this._reading = undefined
    this._endedSinceReading = []
    this._blame = 0
    this._sentSinceProbe = []
    this._coldUntil = -Infinity
    this.reach = 'unknown'
  }
}
