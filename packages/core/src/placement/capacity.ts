/** Computes the request rate that all servers of a cell can serve together. */
import type { ServerRecord } from './serverRecord.js'
import type { WorkEstimate } from './workEstimate.js'

/** What the capacity is computed from. */
export interface CapacityOptions {
  records: ReadonlyMap<string, ServerRecord>
  work: WorkEstimate
  /** Requests per millisecond that this scheduler may send to one cold server. */
  coldRatePerMs: () => number
}

/** Caches the sum over all servers until `invalidate`, since the scheduler reads it several times per request. */
export class Capacity {
  private readonly _options: CapacityOptions
  private _slots: number | undefined
  private _coldRatePerMs = 0

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
    return this._coldRatePerMs + this._slots / baseMs
  }

  private _sumSlots (now: number): number {
    let slots = 0
    this._coldRatePerMs = 0
    for (const record of this._options.records.values()) {
      if (record.reach === 'silent' || record.moved) continue
      if (record.isCold(now)) this._coldRatePerMs += this._options.coldRatePerMs()
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
