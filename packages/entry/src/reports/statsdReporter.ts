/** Sends counts and gauges by UDP in the StatsD format. */
import { runPeriodically, type Child, type Scope, type ProcessBody } from '@gooseberryspan/csp'
import type { DecisionLine } from '@gooseberryspan/core'
import type { StatsD } from 'hot-shots'
import type { DecisionObserver } from '../runtime/entryNode.js'
import type { Status } from '../runtime/status.js'

/** Options of a `StatsdReporter`. */
export interface StatsdReporterOptions {
  client: StatsD
  everyMs: number
  status: () => Status
}

/** Counts decisions and sends the counts and gauges periodically. */
export class StatsdReporter implements DecisionObserver, Child {
  readonly name = 'statsd'
  private readonly _counts = new Map<string, number>()
  private readonly _options: StatsdReporterOptions

  constructor (options: StatsdReporterOptions) {
    this._options = options
  }

  onDecision ({ decision }: DecisionLine): void {
    this._counts.set(decision, (this._counts.get(decision) ?? 0) + 1)
  }

  * run (scope: Scope): ProcessBody<void> {
    yield * runPeriodically(this._options.everyMs, scope, () => this._report())
  }

  private _report (): void {
    const { client, status } = this._options
    for (const [name, count] of this._counts) client.increment(`decisions.${name}`, count)
    this._counts.clear()
    const currentStatus = status()
    for (const { name, count } of currentStatus.broken) client.gauge(`broken.${name}`, count)
    client.gauge('requests.open', currentStatus.openRequests)
    client.gauge('copy.age_ms', currentStatus.copyAgeMs)
    client.gauge('configuration.revision', currentStatus.revision)
    client.gauge('members', currentStatus.members.length)
    client.gauge('process.resident_bytes', currentStatus.residentBytes)
  }
}
