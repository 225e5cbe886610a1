/** What an entry keeps for a group of customers that it counts, or may count. */
import type { Customer } from '../configuration/gateway.js'
import { QuotaPool } from './quotaPool.js'

export interface QuotaGroup {
  pool: QuotaPool
  /** This entry counts for the group until this time even if it is not the first candidate, because others ask it. */
  activeUntil: number
  /** When each entry is asked for its part again. */
  collectAt: Map<string, number>
  /** The latest end of a loan that was asked for, and of those that were given back. */
  requestedUntil: number
  returnedUntil: number
  /** Questions wait until this time for the answers to the first messages. */
  collectingUntil: number
  reserveUntil: number
  /** Another holder that has parts, as their lenders report. */
  otherHolder: { instance: string, at: number } | undefined
  claimedAt: number
  loggedFraction: number
  /** When this entry has handed over to another one, and the other way round. */
  handedOverAt: number
  handedOverToAt: number
}

export function newQuotaGroup (customers: () => Iterable<Customer>): QuotaGroup {
  return {
    pool: new QuotaPool(customers),
    activeUntil: -Infinity,
    collectAt: new Map(),
    requestedUntil: -Infinity,
    returnedUntil: -Infinity,
    collectingUntil: -Infinity,
    reserveUntil: -Infinity,
    otherHolder: undefined,
    claimedAt: -Infinity,
    loggedFraction: 0,
    handedOverAt: -Infinity,
    handedOverToAt: -Infinity
  }
}
