/** What callers of one run of the placing model got. */
import type { Arrival, KindPlan, RunPlan } from './plan.js'
import { troubleSpan } from './plan.js'

/** Figures of one run. */
export interface PlacingOutcome {
  way: string
  /** Credit earned of the credit owed, over the whole run, its two worst windows, and the trouble's span. */
  credit: number
  worst: number
  inTrouble: number
  /** Share of requests that were answered at all. */
  served: number
  late: number
  refused: number
  failed: number
  /** Answers a second within the trouble's span, and how much of what the servers could do that is. */
  goodput: number
  ofCapacity: number
  /** The same with late answers. */
  answersOfCapacity: number
  probes: number
  overCold: number
  further: number
}

const WINDOW_MS = 2000
const WORST_WINDOWS = 2

interface Window {
  owed: number
  earned: number
}

/** Adds up a run. */
export class TallySheet {
  probes = 0
  further = 0
  private readonly _windows: Window[] = []
  private readonly _plan: RunPlan
  private _served = 0
  private _late = 0
  private _refused = 0
  private _failed = 0
  private _goodInTrouble = 0
  private _answersInTrouble = 0

  constructor (plan: RunPlan) {
    this._plan = plan
  }

  asked (arrival: Arrival): void {
    this._window(arrival.at).owed += arrival.kind.worth
  }

  answered (arrival: Arrival, at: number): void {
    this._served += 1
    const inTime = at - arrival.at <= arrival.kind.targetMs
    if (!inTime) this._late += 1
    this._window(arrival.at).earned += creditOf(arrival.kind, inTime)
    const [from, to] = troubleSpan(this._plan)
    if (at < from || at >= to) return
    this._answersInTrouble += 1
    if (inTime) this._goodInTrouble += 1
  }

  unanswered (refused: boolean): void {
    if (refused) this._refused += 1
    else this._failed += 1
  }

  outcome (way: string, capacityPerSecond: number, overCold: number): PlacingOutcome {
    const total = this._served + this._refused + this._failed
    const [from, to] = troubleSpan(this._plan)
    const goodput = this._goodInTrouble / ((to - from) / 1000)
    const ratios = this._windows.map(ratioOf).sort((a, b) => a - b)
    return {
      way,
      credit: ratioOf(sum(this._windows)),
      worst: ratios.slice(0, WORST_WINDOWS).reduce((a, b) => a + b, 0) / WORST_WINDOWS,
      inTrouble: ratioOf(sum(this._windows.filter((_, index) => index * WINDOW_MS >= from && index * WINDOW_MS < to))),
      served: this._served / total,
      late: this._late / total,
      refused: this._refused / total,
      failed: this._failed / total,
      goodput,
      ofCapacity: goodput / capacityPerSecond,
      answersOfCapacity: this._answersInTrouble / ((to - from) / 1000) / capacityPerSecond,
      probes: this.probes,
      overCold,
      further: this.further
    }
  }

  private _window (at: number): Window {
    const index = Math.floor(at / WINDOW_MS)
    while (this._windows.length <= index) this._windows.push({ owed: 0, earned: 0 })
    return this._windows[index]!
  }
}

function creditOf (kind: KindPlan, inTime: boolean): number {
  return inTime ? kind.worth : kind.lateWorth
}

function sum (windows: Window[]): Window {
  return windows.reduce((all, { owed, earned }) => ({ owed: all.owed + owed, earned: all.earned + earned }), { owed: 0, earned: 0 })
}

function ratioOf ({ owed, earned }: Window): number {
  return owed === 0 ? 1 : earned / owed
}
