/** What really happened at the backend servers, counted there and not by the system under test. */

/** Counts over all backend servers of a run. */
export class BackendTruth {
  /** Requests that arrived when all slots of a warm server were taken. */
  overSlot = 0
  /** Requests that arrived at a cold server beyond what it could bear. */
  overCold = 0
  shed = 0
  ran = 0
  probes = 0
  private readonly _orders = new Set<string>()
  private readonly _runs = new Map<string, number>()
  private readonly _lastArrival = new Map<string, number>()

  /** Notes that a request with that mark ran. */
  run (mark: string, order: boolean): void {
    if (order) this._orders.add(mark)
    this.ran += 1
    this._runs.set(mark, (this._runs.get(mark) ?? 0) + 1)
  }

  /** How often the request with that mark ran. */
  runsOf (mark: string): number {
    return this._runs.get(mark) ?? 0
  }

  /** Marks of all requests that ran. */
  get marks (): string[] {
    return [...this._runs.keys()]
  }

  /** Orders, requests by POST, that ran more than once. */
  get doubleRuns (): number {
    return [...this._orders].filter((mark) => this.runsOf(mark) > 1).length
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
