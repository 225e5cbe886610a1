/** Errors of the operator's program; each has the exit code it ends with. */
import VError from 'verror'

/** What the process's exit code says. */
export const EXIT = { done: 0, refused: 1, usage: 2, unavailable: 3 } as const

/** The command could not be done. */
export class FailedCommand extends VError {
  readonly exitCode: number

  constructor (exitCode: number, message: string) {
    super('%s', message)
    this.exitCode = exitCode
  }
}
