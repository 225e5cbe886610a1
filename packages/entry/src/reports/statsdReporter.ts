/** Sends counts and gauges by UDP in StatsD's format. */
import { every, type Child, type Scope, type Steps } from '@gooseberryspan/csp'
import type { DecisionLine } from '@gooseberryspan/core'
import type { StatsD } from 'hot-shots'
import type { Meter } from '../runtime/entryNode.js'
import type { Status } from '../runtime/status.js'

/** What the reporter is built from. */
export interface StatsdOptions {
  client: StatsD
  everyMs: number
  status: () => Status
}

/** Counts decisions and sends them from time to time. */
export class StatsdReporter implements Meter, Child {
  readonly name = 'statsd'
  private readonly _counts = new Map<string, number>()
  private readonly _options: StatsdOptions

  constructor (options: StatsdOptions) {
    this._options = options
  }

  decided ({ decision }: DecisionLine): void {
    this._counts.set(decision, (this._counts.get(decision) ?? 0) + 1)
  }

  * run (scope: Scope): Steps<void> {
    yield * every(this._options.everyMs, scope, () => this._report())
  }

  private _report (): void {
    const { client, status } = this._options
    for (const [name, count] of this._counts) client.increment(`decisions.${name}`, count)
    this._counts.clear()
    const now = status()
    for (const { name, count } of now.broken) client.gauge(`broken.${name}`, count)
    client.gauge('requests.open', now.openRequests)
    client.gauge('copy.age_ms', now.copyAgeMs)
    client.gauge('configuration.revision', now.revision)
    client.gauge('members', now.members.length)
    client.gauge('process.resident_bytes', now.residentBytes)
  }
}
