/** A backend server whose pace changes every few hundred milliseconds, in virtual time. */
import type { LoadReport, ProbeAnswer, Random } from '@gooseberryspan/core'
import type { VirtualTime } from '../model/virtualTime.js'

/** What a server is like. */
export interface BackendTraits {
  slots: number
  /** Requests that may wait beside those that run. */
  queue: number
  /** Share of the time in which work is slow, how slow, and how long a spell lasts, in milliseconds. */
  slowShare: number
  slowFactor: number
  spellMs: number
  /** Share of taken slots from which work slows down, and by how much. */
  knee: number
  kneeFactor: number
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

interface Running {
  job: Job
  leftMs: number
}

/** One server. */
export class NoisyBackend {
  dark = false
  /** A standing slowness on top of the spells. */
  slowness = 1
  arrivals = 0
  overCold = 0
  private readonly _running: Running[] = []
  private readonly _waiting: Job[] = []
  private _spell = 1
  private _coldUntil = -Infinity
  private _coldArrivals: number[] = []
  private _movedAt = 0
  private _usualMs = 0
  private _plan = 0

  private readonly _traits: BackendTraits
  private readonly _time: VirtualTime
  private readonly _random: Random

  constructor (readonly id: string, readonly zone: string, traits: BackendTraits, time: VirtualTime, random: Random) {
    this._traits = traits
    this._time = time
    this._random = random
    time.after(random.next() * traits.spellMs, () => this._nextSpell())
  }

  get isCold (): boolean {
    return this._time.now < this._coldUntil
  }

  /** Takes a request, or sheds it when all is taken. A dark server says nothing. Returns whether it was taken. */
  take (job: Job): boolean {
    if (this.dark) return false
    this.arrivals += 1
    this._countCold()
    if (this._running.length + this._waiting.length >= this._traits.slots + this._traits.queue) {
      job.ended('shed', this.load())
      return false
    }
    this._advance()
    this._waiting.push(job)
    this._fill()
    this._replan()
    return true
  }

  /** Gives a request up. */
  drop (job: Job): void {
    this._advance()
    const index = this._running.findIndex((running) => running.job === job)
    if (index >= 0) this._running.splice(index, 1)
    const waiting = this._waiting.indexOf(job)
    if (waiting >= 0) this._waiting.splice(waiting, 1)
    this._fill()
    this._replan()
  }

  turnCold (forMs: number): void {
    this._advance()
    this._coldUntil = this._time.now + forMs
    this._time.after(forMs, () => {
      this._advance()
      this._replan()
    })
    this._replan()
  }

  /** How long it would have worked so far at its usual pace, in milliseconds: slow spells count for less. */
  usualMs (): number {
    this._advance()
    return this._usualMs
  }

  load (): LoadReport {
    return { running: this._running.length, waiting: this._waiting.length, slots: this._traits.slots, pace: this._spell * this.slowness }
  }

  probe (): ProbeAnswer {
    return { healthy: true, coldMs: Math.max(0, this._coldUntil - this._time.now), load: this.load() }
  }

  private _countCold (): void {
    const { now } = this._time
    if (now >= this._coldUntil) return
    this._coldArrivals = this._coldArrivals.filter((at) => at > now - 1000)
    this._coldArrivals.push(now)
    if (this._coldArrivals.length > this._traits.coldPerSecond * 1.5 + 5) this.overCold += 1
  }

  private _nextSpell (): void {
    this._advance()
    this._spell = this._random.next() < this._traits.slowShare ? this._traits.slowFactor : 1
    this._replan()
    this._time.after(this._traits.spellMs, () => this._nextSpell())
  }

  private get _rate (): number {
    const { slots, knee, kneeFactor, coldFactor } = this._traits
    const full = this._running.length / slots > knee ? kneeFactor : 1
    const cold = this.isCold ? coldFactor : 1
    return 1 / (this._spell * this.slowness * full * cold)
  }

  private _advance (): void {
    const passed = this._time.now - this._movedAt
    const done = passed * this._rate
    this._usualMs += passed / (this._spell * this.slowness)
    this._movedAt = this._time.now
    for (const running of this._running) running.leftMs -= done
  }

  private _fill (): void {
    while (this._running.length < this._traits.slots && this._waiting.length > 0) {
      const job = this._waiting.shift()!
      this._running.push({ job, leftMs: job.workMs })
    }
  }

  private _replan (): void {
    this._plan += 1
    if (this._running.length === 0) return
    const plan = this._plan
    const least = Math.max(0, Math.min(...this._running.map(({ leftMs }) => leftMs)))
    this._time.after(least / this._rate, () => {
      if (plan === this._plan) this._finish()
    })
  }

  private _finish (): void {
    this._advance()
    const ended = this._running.filter(({ leftMs }) => leftMs <= 1e-6)
    for (const running of ended) this._running.splice(this._running.indexOf(running), 1)
    this._fill()
    this._replan()
    if (this.dark) return
    for (const { job } of ended) job.ended('done', this.load())
  }
}
