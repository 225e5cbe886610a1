/** The invariants, which are checked where the decision is made. */
import { InvariantError } from './errors.js'

export type Invariant =
  | 'zone-out'
  | 'leaving-server'
  | 'not-run-truth'
  | 'at-most-once'
  | 'one-answer'
  | 'no-revert'
  | 'stop-cuts-nothing'

/** Receives each violation of an invariant. */
export interface InvariantReporter {
  broken (invariant: Invariant, detail: string): void
}

/** Throws at the first violation; used by tests, replay and the soak run. */
export class ThrowingReporter implements InvariantReporter {
  broken (invariant: Invariant, detail: string): void {
    throw new InvariantError('%s: %s', invariant, detail)
  }
}

/** Checks invariants, counts violations by name and reports them; running entries log them. */
export class Invariants {
  private readonly _counts = new Map<Invariant, number>()
  private readonly _watcher: InvariantReporter

  constructor (watcher: InvariantReporter) {
    this._watcher = watcher
  }

  /** Reports a violation unless the invariant holds. The detail is only built for a violation. */
  check (invariant: Invariant, holds: boolean, detail: () => string): void {
    if (holds) return
    this._counts.set(invariant, (this._counts.get(invariant) ?? 0) + 1)
    this._watcher.broken(invariant, detail())
  }

  /** Number of violations of each invariant since start. */
  get counts (): ReadonlyMap<Invariant, number> {
    return this._counts
  }
}
