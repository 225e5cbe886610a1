/** Time limits that take input into account which the process has received but not read yet. */

/**
 * Calls `act` after the input that has already arrived was read. Node runs due timers before it reads sockets, so when a paused process
 * resumes, a timer expires before the input is read that arrived in time.
 */
export function afterPendingInput (act: () => void): NodeJS.Immediate {
  return setImmediate(act)
}

/** A time limit on input. It expires only if pending input, once read, did not clear it. */
export class InputTimeout {
  private readonly _timer: NodeJS.Timeout
  private _pending: NodeJS.Immediate | undefined

  /** Calls `expired` after `ms` milliseconds unless it is cleared before. */
  constructor (ms: number, expired: () => void) {
    this._timer = setTimeout(() => {
      this._pending = afterPendingInput(expired)
    }, ms)
  }

  clear (): void {
    clearTimeout(this._timer)
    clearImmediate(this._pending)
  }
}
