/** Errors of the decision core. */
import VError from 'verror'

/** Thrown in tests when an invariant is violated. */
export class InvariantError extends VError {}

/** A fault in a configuration document and its position. */
export interface ConfigurationFault {
  /** Dotted path in the document, for example `services.0.slots`. */
  path: string
  reason: string
}

/** Thrown when a configuration document has faults; nothing of it is adopted. */
export class ConfigurationError extends VError {
  readonly faults: ConfigurationFault[]

  constructor (faults: ConfigurationFault[]) {
    super('configuration refused: %s', faults.map((fault) => `${fault.path || 'document'}: ${fault.reason}`).join('; '))
    this.faults = faults
  }
}
