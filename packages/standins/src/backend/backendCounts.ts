/** Counts of what happened at the backend servers, recorded by them and not by the system under test. */

/** Counts over all backend servers of a test run. */
export class BackendCounts {
  /** Requests that reached a server whose slots and queue were full. */
  full = 0
  /** Requests that exceeded the rate that a cold server can handle, over a window of one second. */
  overCold = 0
  ran = 0
  probes = 0
  private readonly _runs = new Map<string, number>()
  private readonly _postRequests = new Set<string>()
  private readonly _lastArrival = new Map<string, number>()

  /** Records that the request with this name ran; `order` is true for a POST request. */
  run (request: string, order: boolean): void {
    if (order) this._postRequests.add(request)
    this.ran += 1
    this._runs.set(request, (this._runs.get(request) ?? 0) + 1)
  }

  /** How often the request with this name ran. */
  runCount (request: string): number {
    return this._runs.get(request) ?? 0
  }

  /** Number of POST requests that ran more than once. */
  get doubleRuns (): number {
    return [...this._postRequests].filter((request) => this.runCount(request) > 1).length
  }

  /** Names of all requests that ran. */
  get requests (): string[] {
    return [...this._runs.keys()]
  }

  /** Records that a request arrived at a server in an availability zone. */
  arrived (zone: string, now: number): void {
    this._lastArrival.set(zone, now)
  }

  /** Time of the last request that arrived in an availability zone. */
  lastArrivalAt (zone: string): number {
    return this._lastArrival.get(zone) ?? -Infinity
  }
}
