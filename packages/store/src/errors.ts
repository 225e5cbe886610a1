/** Errors of the store client. */
import VError from 'verror'

/** The store did not answer in time, or its response was unusable. A write may have taken effect, or may still do so later. */
export class StoreUnavailable extends VError {
  /**
   * Whether the store refused the request, or a new connection to it failed or got no answer. The failure of a connection that was open
   * before says nothing about the store.
   */
  isRefusal = false
}

/** The call was not sent, because this process has used up its request budget for the store. */
export class StoreBudgetSpent extends StoreUnavailable {}

/** The store refused a write. Repeating the write does not help. */
export class StoreRefused extends VError {}
