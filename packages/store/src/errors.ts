/** Errors of the store client. */
import VError from 'verror'

/** The store did not answer in time, or its response was unusable. A write may have taken effect, or may still do so later. */
export class StoreUnavailable extends VError {}

/** The call was not sent, because this process has used up its request budget for the store. */
export class StoreBudgetSpent extends StoreUnavailable {}

/** The store refused a write. Repeating the write does not help. */
export class StoreRefused extends VError {}
