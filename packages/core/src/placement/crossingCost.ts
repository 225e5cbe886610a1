/** Decides when leaving the availability zone pays: what sending a request to a server of another zone costs, as waiting time. */
import type { PlacementRequest } from './placementRequest.js'

/** Operators pay for bytes between zones; a kilobyte counts like this much waiting time. */
const COST_MS_PER_KILOBYTE = 1
const BYTES_PER_KILOBYTE = 1000
/**
 * A server of another zone has to answer sooner by this fraction of the target latency. Callers do not notice less, and each crossing costs
 * the heads of a request and its answer too.
 */
const MIN_GAIN_TARGET_FRACTION = 0.04
/** Most of its target latency that a request may lose for staying in its zone. */
const MAX_TARGET_FRACTION = 0.25
/** Round trip between zones until it has been observed. */
const INITIAL_ROUND_TRIP_MS = 4
const MIN_ROUND_TRIP_MS = 0.5
const MAX_ROUND_TRIP_MS = 50
const SMOOTHING_RATIO = 0.05
/** Observations to either side before the round trip counts as known. */
const MIN_OBSERVATIONS = 20

class SmoothedTime {
  ms = 0
  count = 0

  add (value: number): void {
    this.count += 1
    this.ms += Math.max(SMOOTHING_RATIO, 1 / this.count) * (value - this.ms)
  }
}

/** The cost of crossing between zones, from the round trips of probes and the sizes of bodies and answers. */
export class CrossingCost {
  private readonly _zone: string | undefined
  private readonly _within = new SmoothedTime()
  private readonly _across = new SmoothedTime()
  private readonly _answerBytes = new Map<string, SmoothedTime>()

  /** `zone` is that of the scheduler, whose probes are observed; without one, the initial round trip stays. */
  constructor (zone: string | undefined) {
    this._zone = zone
  }

  /** Extra round-trip time to a server of another zone, in milliseconds. */
  get roundTripMs (): number {
    if (this._within.count < MIN_OBSERVATIONS || this._across.count < MIN_OBSERVATIONS) return INITIAL_ROUND_TRIP_MS
    return Math.min(MAX_ROUND_TRIP_MS, Math.max(MIN_ROUND_TRIP_MS, this._across.ms - this._within.ms))
  }

  /** Records the round trip of a probe to a server of a zone. */
  probed (zone: string, roundTripMs: number): void {
    if (this._zone === undefined) return
    const side = zone === this._zone ? this._within : this._across
    side.add(roundTripMs)
  }

  /** Records the size of an answer to a request of a route. */
  answered (route: string, bytes: number): void {
    let size = this._answerBytes.get(route)
    if (!size) {
      size = new SmoothedTime()
      this._answerBytes.set(route, size)
    }
    size.add(bytes)
  }

  /** What sending a request to another zone costs beside the round trip, in milliseconds of waiting time. */
  transferMs ({ route, bodyBytes, targetMs }: PlacementRequest): number {
    const kilobytes = (bodyBytes + (this._answerBytes.get(route)?.ms ?? 0)) / BYTES_PER_KILOBYTE
    return Math.min(targetMs * MAX_TARGET_FRACTION, Math.max(kilobytes * COST_MS_PER_KILOBYTE, targetMs * MIN_GAIN_TARGET_FRACTION))
  }
}
