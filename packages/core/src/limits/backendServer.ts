/** What one backend server can bear now, as its single holder knows it. */
import type { Service } from '../configuration/document.js'
import type { Invariants } from '../invariants.js'

/** How a backend server stands with its holder. */
export type ServerState = 'cold' | 'warming' | 'warm' | 'suspect' | 'draining' | 'gone'

/** How one attempt at a backend server ended. */
export type AttemptOutcome =
  | 'answered'
  | 'shed'
  | 'refused'
  | 'lost'
  | 'expired'
  | 'cancelled'

/** What a backend server says of itself, on an answer or at its load endpoint. */
export interface LoadReport {
  /** Changes at each start of the server. */
  epoch?: string
  /** Requests it can bear at a time now. */
  capacity?: number
  draining?: boolean
}

/** What is seen of an attempt's end. */
export interface AttemptEnd {
  outcome: AttemptOutcome
  latencyMs: number
  /** HTTP status of a whole answer. */
  status?: number
  /** Whether the server blames a call of its own for a failure that was retried below already. */
  fromBelow?: boolean
  report?: LoadReport
}

/** Where a backend server is and what it serves; from the platform's instance list. */
export interface ServerPlace {
  id: string
  service: string
  zone: string
  host: string
  port: number
}

/** What a holder passes on of a server to the next holder. */
export interface ServerHandover {
  id: string
  /** Time each request still in flight may yet take, in milliseconds. */
  inFlightMs: number[]
  limit: number
  epoch?: string
}

const LATENCY_SHARE = 0.2
const LEAST_LATENCY_MS = 0.01
const OUTLIER_SAMPLES = 8
const FAILURES_TO_SUSPECT = 3
const FAILURES_TO_GONE = 6
const FIRST_PAUSE_MS = 20
const LONGEST_PAUSE_MS = 2000
/** How long a server may take to notice that a request was given up. */
const SETTLE_MS = 10
const SHORTEST_SILENCE_MS = 100
const SILENCE_FACTOR = 20

/** Counts, limits and state of one backend server. */
export class BackendServer {
  readonly place: ServerPlace
  private _service: Service
  private readonly _invariants: Invariants
  private readonly _started = new Map<number, number>()
  /** Until when a slot may still be taken by a request that was given up, or that a crashed holder left. */
  private _assumed: number[] = []
  /** The same for requests of the former holder, which tells when they end. */
  private _inherited: number[] = []
  private _state: ServerState = 'cold'
  private _limit: number
  private _credits = 0
  private _failures = 0
  private _pauseMs = FIRST_PAUSE_MS
  private _pausedUntil = 0
  /** Smoothed logarithm of the latency: one answer from a heavy tail barely moves it, a slow server does. */
  private _logLatency = 0
  private _samples = 0
  private _lifeSignAt: number
  private _epoch: string | undefined

  constructor (place: ServerPlace, service: Service, now: number, invariants: Invariants) {
    this.place = place
    this._service = service
    this._invariants = invariants
    this._limit = service.coldLimit
    this._lifeSignAt = now
  }

  get state (): ServerState {
    return this._state
  }

  get limit (): number {
    return this._limit
  }

  /** When the server last gave an answer, or was last found idle. */
  get lifeSignAt (): number {
    return this._lifeSignAt
  }

  /** Whether failures in a row, or its own word, keep it from being used. */
  get failing (): boolean {
    return this._failures > 0 || this._state === 'gone'
  }

  /** Requests dispatched by this holder and not ended. */
  get inFlight (): number {
    return this._started.size
  }

  /** Typical time to an answer in milliseconds, 0 before the first. */
  get latencyMs (): number {
    return this._samples === 0 ? 0 : Math.exp(this._logLatency)
  }

  get samples (): number {
    return this._samples
  }

  /** How many more requests the server can bear at this moment. */
  room (now: number, silenceBaseMs: number): number {
    if (this._state === 'draining' || this._state === 'gone') return 0
    if (now < this._pausedUntil) return 0
    this._expireWarmth(now)
    if (this._isSilent(now, silenceBaseMs)) return 0
    return Math.max(0, this._limit - this.occupied(now))
  }

  /** Time until the server may be used at all, whatever ends here, in milliseconds. */
  blockedMs (now: number): number {
    if (this._state === 'draining' || this._state === 'gone') return Infinity
    const pauseMs = Math.max(0, this._pausedUntil - now)
    const left = [...this._assumed, ...this._inherited].filter((until) => until > now)
    if (left.length < this._limit) return pauseMs
    left.sort((a, b) => a - b)
    return Math.max(pauseMs, left[left.length - this._limit]! - now)
  }

  /** Requests in flight, with those a former holder may have left behind. */
  occupied (now: number): number {
    if (this._assumed.length > 0) this._assumed = this._assumed.filter((until) => until > now)
    if (this._inherited.length > 0) this._inherited = this._inherited.filter((until) => until > now)
    return this._started.size + this._assumed.length + this._inherited.length
  }

  /** Notes a dispatch. The limits are asserted here, where the one dispatcher counts. */
  begin (attempt: number, now: number): void {
    if (this._started.size === 0) this._lifeSignAt = now
    this._started.set(attempt, now)
    const occupied = this.occupied(now)
    this._invariants.check('slot-limit', occupied <= this._service.slots,
      () => `${this.place.id} has ${occupied} of ${this._service.slots} slots`)
    this._invariants.check('cold-limit', this._state !== 'cold' || occupied <= this._service.coldLimit,
      () => `${this.place.id} is cold and has ${occupied}`)
    this._invariants.check('leaving-server', this._state !== 'draining' && this._state !== 'gone',
      () => `${this.place.id} is ${this._state} and got new work`)
  }

  /** Notes the end of an attempt and what it tells of the server. */
  end (attempt: number, end: AttemptEnd, now: number): void {
    this._started.delete(attempt)
    if (end.outcome !== 'answered' && end.outcome !== 'refused') this._assumed.push(now + SETTLE_MS)
    if (end.report) this.hear(end.report, now)
    switch (end.outcome) {
      case 'answered': return this._answered(end, now)
      case 'shed': return this._shed(now)
      case 'refused':
      case 'lost': return this._failed(now)
      case 'expired': return this._failed(now)
      case 'cancelled':
    }
  }

  /** Takes a report: it may lower the limit at once, and never raises it. */
  hear (report: LoadReport, now: number): void {
    if (report.epoch !== undefined && this._epoch !== undefined && report.epoch !== this._epoch) this._turnCold(now)
    if (report.epoch !== undefined) this._epoch = report.epoch
    if (report.draining === true) this.drain()
    if (report.draining === false && this._state === 'draining') this.restore(now)
    if (report.capacity === undefined || report.capacity >= this._limit) return
    if (report.capacity < 1) return this._shed(now)
    this._limit = Math.max(1, report.capacity)
    this._credits = 0
    if (this._state !== 'draining' && this._state !== 'gone') this._state = 'warming'
    if (this._limit <= this._service.coldLimit && this._state === 'warming') this._state = 'cold'
  }

  /** Declared limits changed. */
  reconfigure (service: Service): void {
    this._service = service
    this._limit = Math.min(this._limit, service.slots)
    if (this._state === 'cold') this._limit = service.coldLimit
  }

  /** Lowers a server that answers far slower than its peers to one request at a time. */
  markOutlier (): void {
    if (this._state === 'draining' || this._state === 'gone') return
    this._state = 'suspect'
    this._limit = 1
    this._credits = 0
  }

  /** Whether enough answers were seen to compare this server with its peers. */
  get comparable (): boolean {
    return this._samples >= OUTLIER_SAMPLES
  }

  /** No new work from now on; what is in flight may end. */
  drain (): void {
    if (this._state !== 'gone') this._state = 'draining'
  }

  /** Takes back a server that was leaving: it starts cold. */
  restore (now: number): void {
    if (this._state !== 'draining' && this._state !== 'gone') return
    this._state = 'cold'
    this._turnCold(now)
  }

  /** A probe found the server well: a server given up on may try again, cold. */
  probed (healthy: boolean, report: LoadReport | undefined, now: number): void {
    if (report) this.hear(report, now)
    if (!healthy) return
    if (this._state === 'gone') this._state = 'cold'
    if (this._state === 'cold' && this._failures > 0) {
      this._failures = 0
      this._pausedUntil = 0
    }
  }

  /** What the next holder has to know. */
  handOver (deadlineOf: (attempt: number) => number, now: number): ServerHandover {
    const own = [...this._started.keys()].map((attempt) => deadlineOf(attempt) - now)
    const assumed = [...this._assumed, ...this._inherited].map((until) => until - now)
    const inFlightMs = [...own, ...assumed].filter((left) => left > 0)
    return { id: this.place.id, inFlightMs, limit: this._limit, epoch: this._epoch }
  }

  /** Takes over from the former holder: its requests count until their deadlines. */
  takeOver (handover: ServerHandover, now: number): void {
    this._inherited = handover.inFlightMs.map((left) => now + left)
    this._epoch = handover.epoch
    this._limit = Math.min(this._service.slots, Math.max(1, handover.limit))
    this._lifeSignAt = now
    if (this._limit > this._service.coldLimit) this._state = this._limit >= this._service.slots ? 'warm' : 'warming'
  }

  /** The former holder tells how many of its requests are left. Late words count no more. */
  formerEnded (left: number, now: number): void {
    if (left >= this._inherited.length) return
    this._inherited.sort((a, b) => b - a)
    this._inherited.length = left
    this._assumed.push(now + SETTLE_MS)
  }

  /** After a crash of the former holder: its unknown requests count for a time. */
  assume (count: number, untilMs: number): void {
    this._assumed = Array.from({ length: count }, () => untilMs)
  }

  private _answered (end: AttemptEnd, now: number): void {
    this._lifeSignAt = now
    if ((end.status ?? 200) >= 500) return end.fromBelow ? undefined : this._failed(now)
    this._failures = 0
    this._pauseMs = FIRST_PAUSE_MS
    const logLatency = Math.log(Math.max(LEAST_LATENCY_MS, end.latencyMs))
    this._logLatency = this._samples === 0 ? logLatency : this._logLatency + LATENCY_SHARE * (logLatency - this._logLatency)
    this._samples += 1
    if (this._state === 'draining' || this._state === 'gone') return
    this._credits += 1
    if (this._credits < this._service.warmCompletions || this._limit >= this._service.slots) return
    this._credits = 0
    this._limit += 1
    this._state = this._limit >= this._service.slots ? 'warm' : 'warming'
  }

  private _shed (now: number): void {
    this._lifeSignAt = now
    this._turnCold(now)
    this._pause(now)
  }

  private _failed (now: number): void {
    this._failures += 1
    if (this._state === 'draining') return
    if (this._failures < FAILURES_TO_SUSPECT) return
    this._state = this._failures >= FAILURES_TO_GONE ? 'gone' : 'suspect'
    this._limit = 1
    this._credits = 0
    this._pause(now)
  }

  private _turnCold (now: number): void {
    this._limit = this._service.coldLimit
    this._credits = 0
    this._samples = 0
    this._lifeSignAt = now
    if (this._state !== 'draining' && this._state !== 'gone') this._state = 'cold'
  }

  private _pause (now: number): void {
    this._pausedUntil = now + this._pauseMs
    this._pauseMs = Math.min(LONGEST_PAUSE_MS, this._pauseMs * 2)
  }

  private _expireWarmth (now: number): void {
    if (this._state === 'cold' || this._started.size > 0) return
    if (now - this._lifeSignAt > this._service.warmForMs) this._turnCold(now)
  }

  private _isSilent (now: number, baseMs: number): boolean {
    if (this._started.size === 0) return false
    return now - this._lifeSignAt > Math.max(SHORTEST_SILENCE_MS, SILENCE_FACTOR * baseMs)
  }
}
