/** Estimates how long requests of a service take, from completed requests. */

const DURATION_SMOOTHING_RATIO = 0.08
/** Fraction of its declared target latency that a request of a route without samples is expected to take. */
const INITIAL_WORK_TARGET_FRACTION = 0.3
/** The pace of a machine stays about the same for this long; after that, the mean pace is the best estimate. */
const PACE_PERSISTENCE_MS = 150
const PACE_SMOOTHING_RATIO = 0.02
const INITIAL_PACE = 1.5
const INITIAL_FULL_SLOWDOWN_RATIO = 1.3
/** Number of samples after which the initial ratio and the observed ratio have equal weight. */
const INITIAL_RATIO_WEIGHT_SAMPLES = 6
/** The last slot of a server is used only if that raises the server's throughput by at least this factor. */
const MIN_LAST_SLOT_GAIN_RATIO = 1.05
const MAX_FULL_SLOWDOWN_RATIO = 3

/** Exponentially smoothed mean of logarithms, which limits the influence of outliers. */
class SmoothedLog {
  private _value = 0
  samples = 0

  add (value: number): void {
    this.samples += 1
    const weight = Math.max(DURATION_SMOOTHING_RATIO, 1 / this.samples)
    this._value += weight * (Math.log(Math.max(1, value)) - this._value)
  }

  get (): number | undefined {
    return this.samples === 0 ? undefined : Math.exp(this._value)
  }
}

/** The state of the server while a request ran. */
export interface RunConditions {
  pace: number
  /** Whether it took the last slot of its server. */
  full: boolean
  /** Whether all slots were taken when it ended; false if that is unknown. */
  fullAtEnd: boolean
}

/** Estimates the work of the requests of one service. */
export class WorkEstimate {
  private readonly _byRoute = new Map<string, SmoothedLog>()
  private readonly _notFull = new SmoothedLog()
  private readonly _full = new SmoothedLog()
  private _pace = INITIAL_PACE

  /** Expected duration of a request of the route on a free server at its usual pace, in milliseconds. */
  baseMs (route: string, targetMs: number): number {
    return this._byRoute.get(route)?.get() ?? targetMs * INITIAL_WORK_TARGET_FRACTION
  }

  /** Factor by which work takes longer on a server whose last slot is taken. */
  get fullSlowdownRatio (): number {
    const notFull = this._notFull.get()
    const full = this._full.get()
    if (notFull === undefined || full === undefined) return INITIAL_FULL_SLOWDOWN_RATIO
    const observedRatio = Math.min(MAX_FULL_SLOWDOWN_RATIO, Math.max(1, full / notFull))
    const sampleWeight = this._full.samples / (this._full.samples + INITIAL_RATIO_WEIGHT_SAMPLES)
    return INITIAL_FULL_SLOWDOWN_RATIO + sampleWeight * (observedRatio - INITIAL_FULL_SLOWDOWN_RATIO)
  }

  /** Number of slots of a server to use: one less if using the last slot adds too little throughput, as it slows down the others. */
  usefulSlots (slots: number): number {
    if (slots < 2) return slots
    return slots / this.fullSlowdownRatio > (slots - 1) * MIN_LAST_SLOT_GAIN_RATIO ? slots : slots - 1
  }

  /** The mean pace of the machines that run the service. */
  get meanPace (): number {
    return this._pace
  }

  /** Records how long a request took, and under which conditions it ran. */
  recordDuration (route: string, tookMs: number, sent: RunConditions): void {
    const base = this.baseMs(route, tookMs / INITIAL_WORK_TARGET_FRACTION)
    const normalizedMs = tookMs / (this.durationMs(base, sent.pace) / base)
    if (sent.pace < INITIAL_PACE && sent.fullAtEnd === sent.full) (sent.full ? this._full : this._notFull).add(normalizedMs)
    let log = this._byRoute.get(route)
    if (!log) {
      log = new SmoothedLog()
      this._byRoute.set(route, log)
    }
    log.add(sent.full ? normalizedMs / this.fullSlowdownRatio : normalizedMs)
  }

  /** Records the pace of a machine. */
  recordPace (pace: number): void {
    this._pace += PACE_SMOOTHING_RATIO * (pace - this._pace)
  }

  /** Expected duration of work that starts at the given pace and continues at the mean pace once the pace has changed, in milliseconds. */
  durationMs (workMs: number, pace: number): number {
    const workWithinPersistenceMs = PACE_PERSISTENCE_MS / pace
    if (workMs <= workWithinPersistenceMs) return workMs * pace
    return PACE_PERSISTENCE_MS + (workMs - workWithinPersistenceMs) * this._pace
  }
}
