/** Collects the results of the callers and the backend servers in the demo. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { Kind } from '@gooseberryspan/core'
import type { BackendCounts } from '../backend/backendCounts.js'
import type { CallResult } from '../caller/caller.js'

/** Counts and latencies of one kind of request. */
export interface KindResult {
  kind: string
  answered: number
  notRun: number
  unknown: number
  p50Ms: number
  p99Ms: number
  p999Ms: number
}

/** The result of a demo run. */
export interface DemoResult {
  kinds: KindResult[]
  full: number
  overCold: number
  /** Number of checks that found a new request in the zone taken out, after the time bound. */
  zoneWork: number
  /** Non-idempotent requests that ran more than once. */
  doubleRuns: number
  /** Requests that ran although the caller received "not run". */
  falseNotRun: number
  /** Answers that were cut off, and answers that belonged to another request. */
  cut: number
  wrong: number
  probes: number
  revisionKept: boolean
  gracefulStop: boolean
  broken: string[]
  reasons: Array<{ reason: string, count: number }>
  /** Whether all checks of the run passed. */
  sound: boolean
}

interface KindCounts {
  answered: number
  notRun: number
  unknown: number
  latency: Histogram
}

/** Collects results during a demo run. */
export class ResultCollector {
  revision = 0
  private readonly _rows = new Map<string, KindCounts>()
  private readonly _reasons = new Map<string, number>()
  private readonly _notRun: string[] = []
  private readonly _nonIdempotent: string[] = []
  private readonly _truth: BackendCounts
  private _cut = 0
  private _wrong = 0
  private _zoneWork = 0
  private _stoppedGracefully = false

  constructor (truth: BackendCounts) {
    this._truth = truth
  }

  accepted (revision: number): void {
    this.revision = revision
  }

  stopped (graceful: boolean): void {
    this._stoppedGracefully = graceful
  }

  zoneViolated (): void {
    this._zoneWork += 1
  }

  /** Records the result of one call. */
  recordCall (kind: Kind, name: string, result: CallResult): void {
    const row = this._row(kind.name)
    if (!kind.idempotent) this._nonIdempotent.push(name)
    if (result.reason) this._countReason(`${result.outcome}: ${result.reason}`)
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
    const kinds = [...this._rows].map(([kind, row]) => kindResult(kind, row))
    const result: DemoResult = {
      kinds,
      full: this._truth.full,
      overCold: this._truth.overCold,
      zoneWork: this._zoneWork,
      doubleRuns: this._nonIdempotent.filter((name) => this._truth.runCount(name) > 1).length,
      falseNotRun: this._notRun.filter((name) => this._truth.runCount(name) > 0).length,
      cut: this._cut,
      wrong: this._wrong,
      probes: this._truth.probes,
      revisionKept: end.revisionKept,
      gracefulStop: this._stoppedGracefully,
      broken: end.broken,
      reasons: [...this._reasons].map(([reason, count]) => ({ reason, count })),
      sound: false
    }
    result.sound = isSound(result)
    return result
  }

  private _countReason (reason: string): void {
    this._reasons.set(reason, (this._reasons.get(reason) ?? 0) + 1)
  }

  private _row (kind: string): KindCounts {
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

function kindResult (kind: string, row: KindCounts): KindResult {
  const at = (percentile: number): number => row.latency.getValueAtPercentile(percentile) / 1000
  return { kind, answered: row.answered, notRun: row.notRun, unknown: row.unknown, p50Ms: at(50), p99Ms: at(99), p999Ms: at(99.9) }
}
