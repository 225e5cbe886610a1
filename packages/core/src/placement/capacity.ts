/** Computes the request rate that all servers of a cell can serve together. */
import type { ServerRecord } from './serverRecord.js'
import type { LimitedRates } from './limitedRates.js'
import type { WorkEstimate } from './workEstimate.js'

/** What the capacity is computed from. */
export interface CapacityOptions {
  records: ReadonlyMap<string, ServerRecord>
  work: WorkEstimate
  rates: LimitedRates
  /** Whether a server is reserved for the trial of a new version. */
  isReserved: (record: ServerRecord) => boolean
  /** Requests per millisecond that this scheduler may send to one cold server. */
  coldRatePerMs: () => number
}

/** Caches the sum over all servers until `invalidate`, since the scheduler reads it several times per request. */
export class Capacity {
  private readonly _options: CapacityOptions
  private _slots: number | undefined
  private _coldRatePerMs = 0
  private _limited: Array<{ slots: number, perMs: number }> = []

  constructor (options: CapacityOptions) {
    this._options = options
  }

  /** Discards the cached sum, because servers or their state may have changed. */
  invalidate (): void {
    this._slots = undefined
  }

  /** Requests per millisecond that the servers can serve, for requests that take `baseMs` on a free server at its usual pace. */
  ratePerMs (baseMs: number, now: number): number {
    this._slots ??= this._sumSlots(now)
    let ratePerMs = this._coldRatePerMs + this._slots / baseMs
    for (const { slots, perMs } of this._limited) ratePerMs += Math.min(perMs, slots / baseMs)
    return ratePerMs
  }

  private _sumSlots (now: number): number {
    let slots = 0
    this._coldRatePerMs = 0
    this._limited = []
    for (const record of this._options.records.values()) {
      if (record.reach === 'silent' || record.moved || this._options.isReserved(record)) continue
      const perMs = this._options.rates.perMs(record.entry)
      if (record.isCold(now)) this._coldRatePerMs += Math.min(perMs ?? Infinity, this._options.coldRatePerMs())
      else if (perMs !== undefined) this._limited.push({ slots: this._normalizedSlots(record), perMs })
      else slots += this._normalizedSlots(record)
    }
    return slots
  }

  /** The slots of a server, as the equivalent number of slots of a free server at the usual pace. */
  private _normalizedSlots (record: ServerRecord): number {
    const { work } = this._options
    const useful = work.usefulSlots(record.slots)
    const slowdownRatio = useful === record.slots && useful > 1 ? work.fullSlowdownRatio : 1
    return useful / (slowdownRatio * work.meanPace)
  }
}
