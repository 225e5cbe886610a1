/** Errors of the store's layer. */
import VError from 'verror'

/** The store did not answer in time, or not sensibly. A write may or may not have taken effect, or may do so later. */
export class StoreUnavailable extends VError {}

/** The call was never sent: this process's own budget for the store is spent. */
export class StoreBudgetSpent extends StoreUnavailable {}

/** The store refused a write for good. */
export class StoreRefused extends VError {}
