/** Bounds retries and hedges to a share of the first attempts of a service. */

const BURST = 10

/** Each first attempt earns a fraction of a retry; a retry spends a whole one. */
export class RetryBudget {
  private _earned = 0

  /** Notes a first attempt under the service's declared ratio. */
  earn (ratio: number): void {
    this._earned = Math.min(BURST, this._earned + ratio)
  }

  /** Spends one retry if the budget allows it. */
  spend (): boolean {
    if (this._earned < 1) return false
    this._earned -= 1
    return true
  }
}
