/** What really happened at the backend servers, counted there and not by the system under test. */

/** Counts over all backend servers of a run. */
export class BackendTruth {
  /** Requests that reached a server whose slots and queue were full. */
  full = 0
  /** Requests within a second at a cold server beyond what it could bear. */
  overCold = 0
  ran = 0
  probes = 0
  private readonly _runs = new Map<string, number>()
  private readonly _orders = new Set<string>()
  private readonly _lastArrival = new Map<string, number>()

  /** Notes that the request with that name ran. */
  run (request: string, order: boolean): void {
    if (order) this._orders.add(request)
    this.ran += 1
    this._runs.set(request, (this._runs.get(request) ?? 0) + 1)
  }

  /** How often the request with that name ran. */
  runsOf (request: string): number {
    return this._runs.get(request) ?? 0
  }

  /** Orders, requests by POST, that ran more than once. */
  get doubleRuns (): number {
    return [...this._orders].filter((request) => this.runsOf(request) > 1).length
  }

  /** Names of all requests that ran. */
  get requests (): string[] {
    return [...this._runs.keys()]
  }

  /** Notes new work in a zone. */
  arrived (zone: string, now: number): void {
    this._lastArrival.set(zone, now)
  }

  /** When a zone last got new work. */
  lastArrivalIn (zone: string): number {
    return this._lastArrival.get(zone) ?? -Infinity
  }
}
