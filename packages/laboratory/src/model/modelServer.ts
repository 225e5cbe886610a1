/** A backend server in the load model: slots, cold start, a queue of its own for what is sent too early. */
import type { LoadReport, Random } from '@gooseberryspan/core'
import type { VirtualTime } from './virtualTime.js'

/** What a server is built from. */
export interface ModelServerOptions {
  id: string
  service: string
  zone: string
  slots: number
  coldLimit: number
  warmAfter: number
  warm: boolean
}

/** One request at a server. */
export interface Job {
  /** Time the work takes on a well server, in milliseconds. */
  workMs: number
  done: (report: LoadReport) => void
}

/** Counts what a policy sent too early. */
export interface OverCounts {
  dispatches: number
  overSlot: number
  overCold: number
}

/** An answer's way to a dispatcher in the same zone and a request's way back, in milliseconds. */
const NOTICE_MS = 0.2

/** One server in virtual time. */
export class ModelServer {
  readonly counts: OverCounts = { dispatches: 0, overSlot: 0, overCold: 0 }
  slowFactor = 1
  private readonly _time: VirtualTime
  private readonly _options: ModelServerOptions
  private readonly _queue: Job[] = []
  private _running = 0
  private _completed: number
  private _epoch = 1
  /** When the first answer since the server turned cold can have reached its dispatcher, and the next request the server. */
  private _noticedAt = -Infinity

  constructor (time: VirtualTime, options: ModelServerOptions) {
    this._time = time
    this._options = options
    this._completed = options.warm ? options.warmAfter : 0
  }

  get id (): string {
    return this._options.id
  }

  get service (): string {
    return this._options.service
  }

  get zone (): string {
    return this._options.zone
  }

  /** Requests running and waiting here. */
  get load (): number {
    return this._running + this._queue.length
  }

  get slots (): number {
    return this._options.slots
  }

  /** Turns cold without a warning. */
  turnCold (): void {
    this._completed = 0
    this._epoch += 1
    this._noticedAt = Infinity
  }

  /** Takes a request; what cannot run yet waits, and is counted. */
  take (job: Job): void {
    this.counts.dispatches += 1
    if (this.load >= this._options.slots) this.counts.overSlot += 1
    else if (this.load >= this._capacity && this._time.now > this._noticedAt) this.counts.overCold += 1
    this._queue.push(job)
    this._start()
  }

  private get _capacity (): number {
    return this._completed >= this._options.warmAfter ? this._options.slots : this._options.coldLimit
  }

  private _start (): void {
    while (this._running < this._capacity) {
      const job = this._queue.shift()
      if (!job) return
      this._running += 1
      this._time.after(job.workMs * this.slowFactor, () => this._end(job))
    }
  }

  private _end (job: Job): void {
    this._running -= 1
    this._completed += 1
    this._noticedAt = Math.min(this._noticedAt, this._time.now + NOTICE_MS)
    this._start()
    job.done({ epoch: String(this._epoch), capacity: this._capacity, draining: false })
  }
}

/** Mean time of one request in milliseconds. */
export const MEAN_WORK_MS = 8.2
const SPREAD = 0.7
const LOG_MEAN = Math.log(MEAN_WORK_MS) - SPREAD * SPREAD / 2

/** Time of one request, log-normal: half take less than 6.5 ms, one in a hundred more than 32 ms. */
export function drawWorkMs (random: Random): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
  return Math.exp(LOG_MEAN + SPREAD * normal)
}
