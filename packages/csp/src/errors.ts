/** Errors of supervised processes. */
import VError from 'verror'

/** A process ended early, or threw a value that is not an `Error`. */
export class FailedProcess extends VError {}

/** A process failed more often than its restart policy allows. */
export class TooManyRestarts extends VError {}
