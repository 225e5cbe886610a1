/** Errors of the platform layer. */
import VError from 'verror'

/** The platform did not answer in time, or not sensibly. A write may or may not have taken effect. */
export class PlatformUnavailable extends VError {}

/** The request was never sent: this process's own budget for the platform is spent. */
export class PlatformBudgetSpent extends VError {}
