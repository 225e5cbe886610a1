/** Adds up what callers and backend servers saw. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { Kind } from '@gooseberryspan/core'
import type { BackendTruth } from '../backend/backendTruth.js'
import type { CallResult } from '../caller/caller.js'

/** One kind of request. */
export interface KindRow {
  kind: string
  answered: number
  notRun: number
  unknown: number
  p50Ms: number
  p99Ms: number
  p999Ms: number
}

/** What came of a demo. */
export interface DemoResult {
  kinds: KindRow[]
  full: number
  overCold: number
  /** Looks at the removed zone, after the bound, that found new work. */
  zoneWork: number
  /** Non-idempotent requests that ran more than once. */
  doubleRuns: number
  /** Requests told "not run" that ran. */
  falseNotRun: number
  /** Answers that were cut off, or were another request's. */
  cut: number
  wrong: number
  probes: number
  revisionKept: boolean
  gracefulStop: boolean
  broken: string[]
  reasons: Array<{ reason: string, count: number }>
  /** Whether all that must hold held. */
  sound: boolean
}

interface Row {
  answered: number
  notRun: number
  unknown: number
  latency: Histogram
}

/** Collects results during a run. */
export class Tally {
  revision = 0
  private readonly _rows = new Map<string, Row>()
  private readonly _reasons = new Map<string, number>()
  private readonly _notRun: string[] = []
  private readonly _once: string[] = []
  private readonly _truth: BackendTruth
  private _cut = 0
  private _wrong = 0
  private _zoneWork = 0
  private _graceful = false

  constructor (truth: BackendTruth) {
    this._truth = truth
  }

  accepted (revision: number): void {
    this.revision = revision
  }

  stopped (graceful: boolean): void {
    this._graceful = graceful
  }

  zoneBroken (): void {
    this._zoneWork += 1
  }

  /** Notes one call's result. */
  called (kind: Kind, name: string, result: CallResult): void {
    const row = this._row(kind.name)
    if (!kind.idempotent) this._once.push(name)
    if (result.reason) this._count(`${result.outcome}: ${result.reason}`)
    switch (result.outcome) {
      case 'answered':
        row.answered += 1
        row.latency.recordValue(Math.max(1, Math.round(result.ms * 1000)))
        if (result.status === 200 && !result.text.includes(`"${name}"`)) this._wrong += 1
        return
      case 'not-run':
        row.notRun += 1
        this._notRun.push(name)
        return
      case 'unknown':
        row.unknown += 1
        return
      case 'cut':
        this._cut += 1
    }
  }

  result (end: { broken: string[], revisionKept: boolean }): DemoResult {
    const kinds = [...this._rows].map(([kind, row]) => rowOf(kind, row))
    const result: DemoResult = {
      kinds,
      full: this._truth.full,
      overCold: this._truth.overCold,
      zoneWork: this._zoneWork,
      doubleRuns: this._once.filter((name) => this._truth.runsOf(name) > 1).length,
      falseNotRun: this._notRun.filter((name) => this._truth.runsOf(name) > 0).length,
      cut: this._cut,
      wrong: this._wrong,
      probes: this._truth.probes,
      revisionKept: end.revisionKept,
      gracefulStop: this._graceful,
      broken: end.broken,
      reasons: [...this._reasons].map(([reason, count]) => ({ reason, count })),
      sound: false
    }
    result.sound = isSound(result)
    return result
  }

  private _count (reason: string): void {
    this._reasons.set(reason, (this._reasons.get(reason) ?? 0) + 1)
  }

  private _row (kind: string): Row {
    let row = this._rows.get(kind)
    if (!row) {
      row = { answered: 0, notRun: 0, unknown: 0, latency: build({ highestTrackableValue: 60_000_000 }) }
      this._rows.set(kind, row)
    }
    return row
  }
}

function isSound (result: DemoResult): boolean {
  const { full, overCold, zoneWork, doubleRuns, falseNotRun, cut, wrong, broken } = result
  const zeros = [full, overCold, zoneWork, doubleRuns, falseNotRun, cut, wrong, broken.length]
  if (zeros.some((count) => count > 0)) return false
  return result.revisionKept && result.gracefulStop && result.kinds.every((kind) => kind.answered > 0)
}

function rowOf (kind: string, row: Row): KindRow {
  const at = (percentile: number): number => row.latency.getValueAtPercentile(percentile) / 1000
  return { kind, answered: row.answered, notRun: row.notRun, unknown: row.unknown, p50Ms: at(50), p99Ms: at(99), p999Ms: at(99.9) }
}
