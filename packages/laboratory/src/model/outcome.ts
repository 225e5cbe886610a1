/** What callers of one run of the load model saw. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { ModelServer } from './modelServer.js'
import type { ModelCall, Scenario } from './scenario.js'

/** Figures of one run. */
export interface Outcome {
  policy: string
  calls: number
  answered: number
  refused: number
  p50Ms: number
  p99Ms: number
  p999Ms: number
  refusalP99Ms: number
  dispatches: number
  overSlot: number
  overCold: number
  /** Worth of the requests answered within their deadlines in the middle third. */
  middleWorth: number
  /** Requests answered within their deadlines, a millisecond of measured time. */
  goodput: number
  measuringMessages: number
}

const MICROSECONDS = 1000

/** Collects one run. */
export class OutcomeRecorder {
  measuringMessages = 0
  private readonly _latency: Histogram = build({ highestTrackableValue: 100_000_000 })
  private readonly _refusal: Histogram = build({ highestTrackableValue: 100_000_000 })
  private readonly _scenario: Scenario
  private _start = 0
  private _answered = 0
  private _good = 0
  private _refused = 0
  private _calls = 0
  private _middleWorth = 0

  constructor (scenario: Scenario) {
    this._scenario = scenario
  }

  /** When the run's time began on the virtual clock. */
  startAt (start: number): void {
    this._start = start
  }

  answered (call: ModelCall, now: number): void {
    if (!this._counts(call)) return
    const ms = now - call.at
    this._calls += 1
    this._answered += 1
    this._latency.recordValue(Math.max(1, Math.round(ms * MICROSECONDS)))
    if (ms > call.kind.deadlineMs) return
    this._good += 1
    if (this._isMiddle(call)) this._middleWorth += call.kind.weight
  }

  refused (call: ModelCall, now: number): void {
    if (!this._counts(call)) return
    this._calls += 1
    this._refused += 1
    this._refusal.recordValue(Math.max(1, Math.round((now - call.at) * MICROSECONDS)))
  }

  outcome (policy: string, servers: ModelServer[]): Outcome {
    const sum = (pick: (server: ModelServer) => number): number => servers.reduce((total, server) => total + pick(server), 0)
    const at = (histogram: Histogram, percentile: number): number => histogram.getValueAtPercentile(percentile) / MICROSECONDS
    return {
      policy,
      calls: this._calls,
      answered: this._answered,
      refused: this._refused,
      p50Ms: at(this._latency, 50),
      p99Ms: at(this._latency, 99),
      p999Ms: at(this._latency, 99.9),
      refusalP99Ms: this._refused > 0 ? at(this._refusal, 99) : 0,
      dispatches: sum((server) => server.counts.dispatches),
      overSlot: sum((server) => server.counts.overSlot),
      overCold: sum((server) => server.counts.overCold),
      middleWorth: this._middleWorth,
      goodput: this._good / this._scenario.runMs,
      measuringMessages: this.measuringMessages
    }
  }

  private _counts (call: ModelCall): boolean {
    return call.at - this._start >= this._scenario.warmUpMs
  }

  private _isMiddle (call: ModelCall): boolean {
    const { warmUpMs, runMs } = this._scenario
    const at = call.at - this._start - warmUpMs
    return at >= runMs / 3 && at < 2 * runMs / 3
  }
}
