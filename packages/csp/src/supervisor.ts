/** Starts processes, restarts those that fail, and gives up when one fails too often. */
import csp from 'js-csp'
import { Channel, settle, sleepUnless, type Steps } from './channel.js'
import { FailedProcess, TooManyRestarts } from './errors.js'

/** What a process is given: a channel that closes when it should end. */
export interface Scope {
  readonly stopping: Channel<never>
}

/** One process under a supervisor. */
export interface Child {
  name: string
  /** Runs until its scope stops; ending early or throwing counts as a failure. */
  run (scope: Scope): Steps<void>
}

/** How failures are met. */
export interface RestartPolicy {
  /** Failures of one child within the window after which the supervisor gives up. */
  mostFailures: number
  windowMs: number
  firstPauseMs: number
  longestPauseMs: number
}

/** Told of failures. */
export interface SupervisorWatcher {
  failed (child: string, error: Error, pauseMs: number): void
  gaveUp (error: Error): void
}

/** What a supervisor is built from. */
export interface SupervisorOptions {
  name: string
  children: Child[]
  policy: RestartPolicy
  watcher: SupervisorWatcher
}

/** The usual policy: five failures within a minute are too many. */
export const RESTART_POLICY: RestartPolicy = { mostFailures: 5, windowMs: 60_000, firstPauseMs: 100, longestPauseMs: 5000 }

/** A node of the supervisor tree; it may itself be a child. */
export class Supervisor implements Child {
  readonly name: string
  private readonly _options: SupervisorOptions
  private readonly _stopping = new Channel<never>()
  private _ended: Promise<void> | undefined

  constructor (options: SupervisorOptions) {
    this.name = options.name
    this._options = options
  }

  /** Starts all children. Settles when all have ended, with an error if the supervisor gave up. */
  start (): Promise<void> {
    this._ended ??= this._runAll()
    return this._ended
  }

  /** Asks all children to end. */
  async stop (): Promise<void> {
    this._stopping.close()
    await this._ended
  }

  * run (scope: Scope): Steps<void> {
    const ended = this.start()
    yield * sleepForever(scope)
    this._stopping.close()
    const result = yield * settle(ended)
    if (!result.ok) throw result.error
  }

  private async _runAll (): Promise<void> {
    const scope = { stopping: this._stopping }
    const runs = this._options.children.map((child) => spawn(this._keep(child, scope)))
    const results = await Promise.allSettled(runs)
    for (const result of results) {
      if (result.status === 'rejected') throw result.reason
    }
  }

  /** Runs one child again and again until the scope stops. */
  private * _keep (child: Child, scope: Scope): Steps<void> {
    const { policy, watcher } = this._options
    let failures: number[] = []
    let pauseMs = policy.firstPauseMs
    while (!scope.stopping.closed) {
      const error = yield * attempt(child, scope)
      if (scope.stopping.closed) return
      const now = performance.now()
      failures = [...failures.filter((at) => now - at < policy.windowMs), now]
      if (failures.length > policy.mostFailures) return this._giveUp(child, error)
      if (failures.length === 1) pauseMs = policy.firstPauseMs
      watcher.failed(child.name, error, pauseMs)
      yield * sleepUnless(pauseMs, scope.stopping)
      pauseMs = Math.min(policy.longestPauseMs, pauseMs * 2)
    }
  }

  private _giveUp (child: Child, cause: Error): never {
    const error = new TooManyRestarts(cause, 'process %s of %s failed too often', child.name, this.name)
    this._options.watcher.gaveUp(error)
    this._stopping.close()
    throw error
  }
}

/** Runs a body as a js-csp process; an exception rejects the promise in place of surfacing as an uncaught one. */
export function spawn<T> (body: Steps<T>): Promise<T> {
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

/** Does something at a steady pace until the scope stops. */
export function * every (periodMs: number, scope: Scope, act: () => Steps<void> | void): Steps<void> {
  while (!scope.stopping.closed) {
    const steps = act()
    if (steps) yield * steps
    yield * sleepUnless(periodMs, scope.stopping)
  }
}

/** Waits until the scope stops. */
export function * sleepForever (scope: Scope): Steps<void> {
  yield csp.take(scope.stopping.raw)
}

function * attempt (child: Child, scope: Scope): Steps<Error> {
  try {
    yield * child.run(scope)
    return new FailedProcess('process %s ended before it was asked to', child.name)
  } catch (error) {
    return error instanceof Error ? error : new FailedProcess('process %s failed: %s', child.name, String(error))
  }
}
