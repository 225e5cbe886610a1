/** Starts processes, restarts failed ones, and stops all of them when one fails too often. */
import csp from 'js-csp'
import { Channel, awaitPromise, sleepUnlessClosed, type ProcessBody } from './channel.js'
import { FailedProcess, TooManyRestarts } from './errors.js'

/** Passed to each process. The `stopping` channel closes when the process should end. */
export interface Scope {
  readonly stopping: Channel<never>
}

/** A process that a supervisor runs. */
export interface Child {
  name: string
  /** Runs until the `stopping` channel closes. Returning earlier or throwing counts as a failure. */
  run (scope: Scope): ProcessBody<void>
}

/** Determines when and how often a failed process is restarted. */
export interface RestartPolicy {
  /** Failures of one child that are tolerated within the window; after one more, the supervisor stops all children. */
  maxFailures: number
  windowMs: number
  initialPauseMs: number
  maxPauseMs: number
}

/** Receives notifications of failures. */
export interface SupervisorListener {
  failed (child: string, error: Error, pauseMs: number): void
  gaveUp (error: Error): void
}

export interface SupervisorOptions {
  name: string
  children: Child[]
  policy: RestartPolicy
  watcher: SupervisorListener
}

/** Default policy: tolerates up to five failures within a minute. */
export const RESTART_POLICY: RestartPolicy = { maxFailures: 5, windowMs: 60_000, initialPauseMs: 100, maxPauseMs: 5000 }

/** For children without which the process is still of use: they are started again however often they fail. */
export const ENDLESS_RESTART_POLICY: RestartPolicy = { maxFailures: Infinity, windowMs: 60_000, initialPauseMs: 100, maxPauseMs: 30_000 }

/** Runs its children. A supervisor can itself be the child of another supervisor. */
export class Supervisor implements Child {
  readonly name: string
  private readonly _options: SupervisorOptions
  private readonly _stopping = new Channel<never>()
  private _ended: Promise<void> | undefined

  constructor (options: SupervisorOptions) {
    this.name = options.name
    this._options = options
  }

  /** Starts all children. The promise settles when all children have ended, and rejects if one failed too often. */
  start (): Promise<void> {
    this._ended ??= this._runAll()
    return this._ended
  }

  /** Stops all children and waits until they have ended. */
  async stop (): Promise<void> {
    this._stopping.close()
    await this._ended
  }

  * run (scope: Scope): ProcessBody<void> {
    const ended = this.start()
    yield * sleepUntilStopped(scope)
    this._stopping.close()
    const result = yield * awaitPromise(ended)
    if (!result.ok) throw result.error
  }

  private async _runAll (): Promise<void> {
    const scope = { stopping: this._stopping }
    const runs = this._options.children.map((child) => spawn(this._runWithRestarts(child, scope)))
    const results = await Promise.allSettled(runs)
    for (const result of results) {
      if (result.status === 'rejected') throw result.reason
    }
  }

  /** Runs one child, and restarts it after failures, until the scope stops. */
  private * _runWithRestarts (child: Child, scope: Scope): ProcessBody<void> {
    const { policy, watcher } = this._options
    let failures: number[] = []
    let pauseMs = policy.initialPauseMs
    while (!scope.stopping.closed) {
      const error = yield * runOnce(child, scope)
      if (scope.stopping.closed) return
      const now = performance.now()
      failures = [...failures.filter((at) => now - at < policy.windowMs), now]
      if (failures.length > policy.maxFailures) return this._giveUp(child, error)
      if (failures.length === 1) pauseMs = policy.initialPauseMs
      watcher.failed(child.name, error, pauseMs)
      yield * sleepUnlessClosed(pauseMs, scope.stopping)
      pauseMs = Math.min(policy.maxPauseMs, pauseMs * 2)
    }
  }

  private _giveUp (child: Child, cause: Error): never {
    const error = new TooManyRestarts(cause, 'process %s of %s failed too often', child.name, this.name)
    this._options.watcher.gaveUp(error)
    this._stopping.close()
    throw error
  }
}

/** Runs a body as a js-csp process. An exception rejects the returned promise, so that it does not become an uncaught exception. */
export function spawn<T> (body: ProcessBody<T>): Promise<T> {
  return new Promise((resolve, reject) => {
    csp.go(function * () {
      try {
        resolve((yield * body) as T)
      } catch (error) {
        reject(error)
      }
      return csp.CLOSED
    })
  })
}

/** Runs `act` repeatedly until the scope stops, with a pause of `periodMs` after each run. */
export function * runPeriodically (periodMs: number, scope: Scope, act: () => ProcessBody<void> | void): ProcessBody<void> {
  while (!scope.stopping.closed) {
    const steps = act()
    if (steps) yield * steps
    yield * sleepUnlessClosed(periodMs, scope.stopping)
  }
}

/** Waits until the scope stops. */
export function * sleepUntilStopped (scope: Scope): ProcessBody<void> {
  yield csp.take(scope.stopping.raw)
}

function * runOnce (child: Child, scope: Scope): ProcessBody<Error> {
  try {
    yield * child.run(scope)
    return new FailedProcess('process %s ended before it was asked to', child.name)
  } catch (error) {
    return error instanceof Error ? error : new FailedProcess('process %s failed: %s', child.name, String(error))
  }
}
