/** Errors and exit codes of the operator's command-line tool. */
import VError from 'verror'

/** Exit codes of the process. */
export const EXIT = { done: 0, refused: 1, usage: 2, unavailable: 3 } as const

/** A command failed; the process ends with the error's exit code. */
export class CommandError extends VError {
  readonly exitCode: number

  constructor (exitCode: number, message: string) {
    super('%s', message)
    this.exitCode = exitCode
  }
}
