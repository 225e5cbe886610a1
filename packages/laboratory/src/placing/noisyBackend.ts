/** A simulated backend server whose speed changes every few hundred milliseconds, in virtual time. */
import type { LoadReport, ProbeAnswer, Random } from '@gooseberryspan/core'
import type { VirtualTime } from '../model/virtualTime.js'

/** Properties of a simulated server. */
export interface BackendTraits {
  slots: number
  /** Number of requests that may wait in addition to those that run. */
  maxWaiting: number
  /** Fraction of time periods in which work is slow, its slowdown factor, and the length of a period in milliseconds. */
  slowRatio: number
  slowFactor: number
  periodMs: number
  /** Fraction of busy slots above which work slows down, and the slowdown factor. */
  busyRatio: number
  busyFactor: number
  coldPerSecond: number
  coldFactor: number
}

/** How a request ended at a server. */
export type JobEnd = 'done' | 'shed' | 'dropped'

/** One request at a server. */
export interface Job {
  workMs: number
  ended: (end: JobEnd, load: LoadReport) => void
}

interface RunningJob {
  job: Job
  leftMs: number
}

/** One simulated server. */
export class SimulatedBackend {
  isUnreachable = false
  /** A constant slowdown factor that multiplies that of the slow periods. */
  slowdownFactor = 1
  arrivals = 0
  overCold = 0
  private readonly _running: RunningJob[] = []
  private readonly _waiting: Job[] = []
  private _paceFactor = 1
  private _coldUntil = -Infinity
  private _coldArrivals: number[] = []
  private _advancedAt = 0
  private _normalPaceMs = 0
  private _scheduleVersion = 0

  private readonly _traits: BackendTraits
  private readonly _time: VirtualTime
  private readonly _random: Random

  constructor (readonly id: string, readonly zone: string, traits: BackendTraits, time: VirtualTime, random: Random) {
    this._traits = traits
    this._time = time
    this._random = random
    time.after(random.next() * traits.periodMs, () => this._drawPace())
  }

  get isCold (): boolean {
    return this._time.now < this._coldUntil
  }

  /** Accepts a request, or sheds it when the queue is full. An unreachable server does not answer. Returns whether it was accepted. */
  accept (job: Job): boolean {
    if (this.isUnreachable) return false
    this.arrivals += 1
    this._countArrivalWhileCold()
    if (this._running.length + this._waiting.length >= this._traits.slots + this._traits.maxWaiting) {
      job.ended('shed', this.load())
      return false
    }
    this._advance()
    this._waiting.push(job)
    this._startWaitingJobs()
    this._scheduleNextCompletion()
    return true
  }

  /** Cancels a request. */
  cancel (job: Job): void {
    this._advance()
    const index = this._running.findIndex((running) => running.job === job)
    if (index >= 0) this._running.splice(index, 1)
    const waiting = this._waiting.indexOf(job)
    if (waiting >= 0) this._waiting.splice(waiting, 1)
    this._startWaitingJobs()
    this._scheduleNextCompletion()
  }

  makeCold (forMs: number): void {
    this._advance()
    this._coldUntil = this._time.now + forMs
    this._time.after(forMs, () => {
      this._advance()
      this._scheduleNextCompletion()
    })
    this._scheduleNextCompletion()
  }

  /** Time so far, in milliseconds, divided by the slowdown factors: slow periods count for less. */
  normalPaceMs (): number {
    this._advance()
    return this._normalPaceMs
  }

  load (): LoadReport {
    return {
      running: this._running.length,
      waiting: this._waiting.length,
      slots: this._traits.slots,
      pace: this._paceFactor * this.slowdownFactor
    }
  }

  probe (): ProbeAnswer {
    return { healthy: true, coldMs: Math.max(0, this._coldUntil - this._time.now), load: this.load() }
  }

  private _countArrivalWhileCold (): void {
    const { now } = this._time
    if (now >= this._coldUntil) return
    this._coldArrivals = this._coldArrivals.filter((at) => at > now - 1000)
    this._coldArrivals.push(now)
    if (this._coldArrivals.length > this._traits.coldPerSecond * 1.5 + 5) this.overCold += 1
  }

  private _drawPace (): void {
    this._advance()
    this._paceFactor = this._random.next() < this._traits.slowRatio ? this._traits.slowFactor : 1
    this._scheduleNextCompletion()
    this._time.after(this._traits.periodMs, () => this._drawPace())
  }

  private get _workRate (): number {
    const { slots, busyRatio, busyFactor, coldFactor } = this._traits
    const saturationFactor = this._running.length / slots > busyRatio ? busyFactor : 1
    const coldFactorNow = this.isCold ? coldFactor : 1
    return 1 / (this._paceFactor * this.slowdownFactor * saturationFactor * coldFactorNow)
  }

  private _advance (): void {
    const elapsedMs = this._time.now - this._advancedAt
    const done = elapsedMs * this._workRate
    this._normalPaceMs += elapsedMs / (this._paceFactor * this.slowdownFactor)
    this._advancedAt = this._time.now
    for (const running of this._running) running.leftMs -= done
  }

  private _startWaitingJobs (): void {
    while (this._running.length < this._traits.slots && this._waiting.length > 0) {
      const job = this._waiting.shift()!
      this._running.push({ job, leftMs: job.workMs })
    }
  }

  private _scheduleNextCompletion (): void {
    this._scheduleVersion += 1
    if (this._running.length === 0) return
    const version = this._scheduleVersion
    const shortestLeftMs = Math.max(0, Math.min(...this._running.map(({ leftMs }) => leftMs)))
    this._time.after(shortestLeftMs / this._workRate, () => {
      if (version === this._scheduleVersion) this._completeJobs()
    })
  }

  private _completeJobs (): void {
    this._advance()
    const ended = this._running.filter(({ leftMs }) => leftMs <= 1e-6)
    for (const running of ended) this._running.splice(this._running.indexOf(running), 1)
    this._startWaitingJobs()
    this._scheduleNextCompletion()
    if (this.isUnreachable) return
    for (const { job } of ended) job.ended('done', this.load())
  }
}
