/** Records the outcomes of the requests of one run of the placing model. */
import type { Arrival, KindPlan, RunPlan } from './plan.js'
import { faultPeriod } from './plan.js'

/** Figures of one run. */
export interface PlacingOutcome {
  way: string
  /** Share of the possible credit that was earned: over the entire run, in its two worst windows, and in the fault period. */
  credit: number
  worst: number
  inTrouble: number
  /** Share of requests that were answered, in time or late. */
  served: number
  late: number
  refused: number
  failed: number
  /** Answers in time per second of the fault period, and their share of the capacity of the reachable servers. */
  goodput: number
  ofCapacity: number
  /** The share of that capacity with late answers included. */
  answersOfCapacity: number
  probes: number
  overCold: number
  further: number
}

const WINDOW_MS = 2000
const WORST_WINDOWS = 2

interface Window {
  possible: number
  earned: number
}

/** Counts the outcomes of a run and computes its figures. */
export class OutcomeRecorder {
  probes = 0
  further = 0
  private readonly _windows: Window[] = []
  private readonly _plan: RunPlan
  private _served = 0
  private _late = 0
  private _refused = 0
  private _failed = 0
  private _inTimeDuringFault = 0
  private _answersDuringFault = 0

  constructor (plan: RunPlan) {
    this._plan = plan
  }

  arrived (arrival: Arrival): void {
    this._window(arrival.at).possible += arrival.kind.credit
  }

  answered (arrival: Arrival, at: number): void {
    this._served += 1
    const inTime = at - arrival.at <= arrival.kind.targetMs
    if (!inTime) this._late += 1
    this._window(arrival.at).earned += creditOf(arrival.kind, inTime)
    const [from, to] = faultPeriod(this._plan)
    if (at < from || at >= to) return
    this._answersDuringFault += 1
    if (inTime) this._inTimeDuringFault += 1
  }

  unanswered (refused: boolean): void {
    if (refused) this._refused += 1
    else this._failed += 1
  }

  outcome (way: string, capacityPerSecond: number, overCold: number): PlacingOutcome {
    const total = this._served + this._refused + this._failed
    const [from, to] = faultPeriod(this._plan)
    const goodput = this._inTimeDuringFault / ((to - from) / 1000)
    const ratios = this._windows.map(creditRatio).sort((a, b) => a - b)
    return {
      way,
      credit: creditRatio(sumWindows(this._windows)),
      worst: ratios.slice(0, WORST_WINDOWS).reduce((a, b) => a + b, 0) / WORST_WINDOWS,
      inTrouble: creditRatio(sumWindows(this._windows.filter((_, index) => index * WINDOW_MS >= from && index * WINDOW_MS < to))),
      served: this._served / total,
      late: this._late / total,
      refused: this._refused / total,
      failed: this._failed / total,
      goodput,
      ofCapacity: goodput / capacityPerSecond,
      answersOfCapacity: this._answersDuringFault / ((to - from) / 1000) / capacityPerSecond,
      probes: this.probes,
      overCold,
      further: this.further
    }
  }

  private _window (at: number): Window {
    const index = Math.floor(at / WINDOW_MS)
    while (this._windows.length <= index) this._windows.push({ possible: 0, earned: 0 })
    return this._windows[index]!
  }
}

function creditOf (kind: KindPlan, inTime: boolean): number {
  return inTime ? kind.credit : kind.lateCredit
}

function sumWindows (windows: Window[]): Window {
  return windows.reduce(
    (all, { possible, earned }) => ({ possible: all.possible + possible, earned: all.earned + earned }),
    { possible: 0, earned: 0 }
  )
}

function creditRatio ({ possible, earned }: Window): number {
  return possible === 0 ? 1 : earned / possible
}
