/** How long requests of a service take, learned from those that ended. */

const SHARE = 0.08
/** Part of its declared target that a request of an unknown route is taken to need. */
const GUESS = 0.3
/** A machine's pace holds about this long, in milliseconds; later it is as likely to be any other. */
const PACE_HOLD_MS = 150
const PACE_SHARE = 0.02
const FIRST_PACE = 1.5
const FIRST_FULL_RATIO = 1.3
/** Samples until the first guess at the ratio weighs no more than half. */
const GUESS_SAMPLES = 6
/** Filling the last slot must raise a server's rate by this factor to be worth it. */
const FILL_GAIN = 1.05
const MOST_FULL_RATIO = 3

/** A smoothed logarithm: outliers weigh little. */
class SmoothedLog {
  private _value = 0
  samples = 0

  note (value: number): void {
    this.samples += 1
    const share = Math.max(SHARE, 1 / this.samples)
    this._value += share * (Math.log(Math.max(1, value)) - this._value)
  }

  get (): number | undefined {
    return this.samples === 0 ? undefined : Math.exp(this._value)
  }
}

/** What a request ran under. */
export interface Conditions {
  pace: number
  /** Whether it took the last slot of its server. */
  full: boolean
  /** Whether all slots were taken when it ended; unknown counts as not taken. */
  fullAtEnd: boolean
}

/** Estimates of one service's work. */
export class WorkEstimate {
  private readonly _byRoute = new Map<string, SmoothedLog>()
  private readonly _alone = new SmoothedLog()
  private readonly _full = new SmoothedLog()
  private _pace = FIRST_PACE

  /** Time that a request of the route takes on a free server at its usual pace, in milliseconds. */
  baseMs (route: string, targetMs: number): number {
    return this._byRoute.get(route)?.get() ?? targetMs * GUESS
  }

  /** How much longer work takes on a server whose last slot is taken. */
  get fullRatio (): number {
    const alone = this._alone.get()
    const full = this._full.get()
    if (alone === undefined || full === undefined) return FIRST_FULL_RATIO
    const seen = Math.min(MOST_FULL_RATIO, Math.max(1, full / alone))
    const trust = this._full.samples / (this._full.samples + GUESS_SAMPLES)
    return FIRST_FULL_RATIO + trust * (seen - FIRST_FULL_RATIO)
  }

  /** How many of a server's slots are worth using: one less where the last one slows the others more than it adds. */
  usefulSlots (slots: number): number {
    if (slots < 2) return slots
    return slots / this.fullRatio > (slots - 1) * FILL_GAIN ? slots : slots - 1
  }

  /** The mean pace of the service's machines. */
  get meanPace (): number {
    return this._pace
  }

  /** Notes how long a request took, and under which circumstances it was sent. */
  note (route: string, tookMs: number, sent: Conditions): void {
    const base = this.baseMs(route, tookMs / GUESS)
    const normal = tookMs / (this.stretched(base, sent.pace) / base)
    if (sent.pace < FIRST_PACE && sent.fullAtEnd === sent.full) (sent.full ? this._full : this._alone).note(normal)
    let log = this._byRoute.get(route)
    if (!log) {
      log = new SmoothedLog()
      this._byRoute.set(route, log)
    }
    log.note(sent.full ? normal / this.fullRatio : normal)
  }

  /** Notes a machine's pace. */
  notePace (pace: number): void {
    this._pace += PACE_SHARE * (pace - this._pace)
  }

  /** Time that work takes which begins at a pace now and goes on at whatever pace follows, in milliseconds. */
  stretched (workMs: number, pace: number): number {
    const held = PACE_HOLD_MS / pace
    if (workMs <= held) return workMs * pace
    return PACE_HOLD_MS + (workMs - held) * this._pace
  }
}
