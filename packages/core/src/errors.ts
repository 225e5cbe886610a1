/** Errors of the decision core. */
import VError from 'verror'

/** Thrown in tests when one of the stated invariants does not hold. */
export class BrokenInvariant extends VError {}

/** One thing wrong with a configuration document and where it stands. */
export interface Fault {
  /** Dotted path in the document, for example `services.0.slots`. */
  path: string
  reason: string
}

/** A configuration document was refused as a whole. */
export class RefusedDocument extends VError {
  readonly faults: Fault[]

  constructor (faults: Fault[]) {
    super('configuration refused: %s', faults.map((fault) => `${fault.path || 'document'}: ${fault.reason}`).join('; '))
    this.faults = faults
  }
}
