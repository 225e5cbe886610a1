/** Reports what is turned away in large numbers: counts each loss and logs at most one line a second for each kind. */
import type { Logger } from 'pino'

/** Options of a `LossReport`. */
export interface LossReportOptions {
  log: Logger
  /** Time in milliseconds. */
  now: () => number
}

/** Losses of one kind. */
interface Tally {
  total: number
  logged: number
  loggedAt: number
}

const LOG_INTERVAL_MS = 1000

/** Counts losses by decision and reason. */
export class LossReport {
  private readonly _options: LossReportOptions
  private readonly _tallies = new Map<string, Tally>()

  constructor (options: LossReportOptions) {
    this._options = options
  }

  /** Counts one loss. The next line of its kind states how many there were since the last one. */
  record (decision: string, reason: string): void {
    const name = `${decision} ${reason}`
    let tally = this._tallies.get(name)
    if (!tally) {
      tally = { total: 0, logged: 0, loggedAt: -Infinity }
      this._tallies.set(name, tally)
    }
    tally.total += 1
    const now = this._options.now()
    if (now - tally.loggedAt < LOG_INTERVAL_MS) return
    this._options.log.warn({ decision, reason, count: tally.total - tally.logged, total: tally.total })
    tally.logged = tally.total
    tally.loggedAt = now
  }

  /** Number of losses of a decision since the start, for all reasons. */
  totalOf (decision: string): number {
    let total = 0
    for (const [name, tally] of this._tallies) {
      if (name.startsWith(`${decision} `)) total += tally.total
    }
    return total
  }
}
