/** Periods in which a fault affected an entry, a backend server or the store. */

/** The time after a fault during which its target may still be affected: `contact_ms` of the deployments. */
const RECOVERY_MS = 3000

interface Period {
  target: string
  from: number
  to: number
}

/** Records which faults were active when. */
export class Disturbances {
  private readonly _periods: Period[] = []

  /** Opens a period and returns a function that ends it. */
  begin (target: string, now: number): (endedAt: number) => void {
    const period = { target, from: now, to: Infinity }
    this._periods.push(period)
    return (endedAt) => {
      period.to = endedAt
    }
  }

  /** Whether a target was free of faults during a period and for the recovery time before it. */
  calm (target: string, from: number, to: number): boolean {
    return !this._periods.some((period) => period.target === target && period.from <= to && period.to + RECOVERY_MS >= from)
  }

  /** Whether a fault of the target is active. */
  active (target: string): boolean {
    return this._periods.some((period) => period.target === target && period.to === Infinity)
  }
}
