/** Errors of an entry process. */
import VError from 'verror'

/** The settings file cannot be used. */
export class BadSettings extends VError {}

/** A caller's request cannot be understood; `status` is the HTTP status it is answered with. */
export class BadRequest extends VError {
  readonly status: number
  readonly field: string

  constructor (status: number, field: string, message: string) {
    super('%s', message)
    this.status = status
    this.field = field
  }
}
