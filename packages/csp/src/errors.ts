/** Errors of the process layer. */
import VError from 'verror'

/** A process ended with an error. */
export class FailedProcess extends VError {}

/** A process failed too often within its window. */
export class TooManyRestarts extends VError {}
