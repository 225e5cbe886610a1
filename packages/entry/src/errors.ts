/** Errors of an entry process. */
import VError from 'verror'

/** The settings are invalid or cannot be read. */
export class InvalidSettings extends VError {}

/** A request is invalid; `status` is the HTTP status of the answer and `field` names the invalid part. */
export class BadRequest extends VError {
  readonly status: number
  readonly field: string

  constructor (status: number, field: string, message: string) {
    super('%s', message)
    this.status = status
    this.field = field
  }
}
