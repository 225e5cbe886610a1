/** What part of each customer's requests a scheduler has served lately, to see who is served too seldom. */

interface Fraction {
  granted: number
  total: number
  at: number
}

/** Older requests lose half of their weight in this time. */
const HALF_LIFE_MS = 3000
/** A customer whose requests are served this much less often than all requests comes first for a while. */
const MIN_RELATIVE_FRACTION = 0.6
/** Requests that a customer has to have made before its fraction says anything. */
const MIN_REQUESTS = 2

/**
 * The load it answers: a few customers, or those with a higher priority, ask for more than there is room for, and one with little demand
 * would get next to nothing. Fractions are compared, not numbers, so a customer that asks for more does not lose its share to others.
 */
export class ServedFractions {
  private readonly _byCustomer = new Map<string, Fraction>()
  private readonly _all: Fraction = { granted: 0, total: 0, at: 0 }

  /** Records the end of a customer's request at the scheduler. */
  record (customer: string | undefined, granted: boolean, now: number): void {
    if (customer === undefined) return
    let fraction = this._byCustomer.get(customer)
    if (!fraction) {
      fraction = { granted: 0, total: 0, at: now }
      this._byCustomer.set(customer, fraction)
    }
    for (const each of [fraction, this._all]) {
      decay(each, now)
      each.total += 1
      if (granted) each.granted += 1
    }
  }

  /** Whether a customer's requests are served much less often than those of all. */
  isUnderserved (customer: string | undefined, now: number): boolean {
    const fraction = customer === undefined ? undefined : this._byCustomer.get(customer)
    if (!fraction) return false
    decay(fraction, now)
    decay(this._all, now)
    if (fraction.total < MIN_REQUESTS || this._all.granted === this._all.total) return false
    return fraction.granted / fraction.total < MIN_RELATIVE_FRACTION * this._all.granted / this._all.total
  }
}

function decay (fraction: Fraction, now: number): void {
  const factor = 0.5 ** (Math.max(0, now - fraction.at) / HALF_LIFE_MS)
  fraction.granted *= factor
  fraction.total *= factor
  fraction.at = now
}
