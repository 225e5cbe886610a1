/** Sends calls at a steady rate whatever comes back, and keeps their times. */
import { Agent, request } from 'node:http'
import { build, type Histogram } from 'hdr-histogram-js'

/** One load. */
export interface OpenLoopOptions {
  url: string
  path: string
  callsPerSecond: number
  seconds: number
}

/** What came of it. */
export interface OpenLoopResult {
  calls: number
  failed: number
  p50Ms: number
  p99Ms: number
  p999Ms: number
}

const STEP_MS = 2
const MICROSECONDS = 1000

/** Runs one load to its end. */
export class OpenLoop {
  private readonly _agent = new Agent({ keepAlive: true, maxFreeSockets: 256 })
  private readonly _latency: Histogram = build({ highestTrackableValue: 60_000_000 })
  private readonly _options: OpenLoopOptions
  private _sent = 0
  private _done = 0
  private _failed = 0

  constructor (options: OpenLoopOptions) {
    this._options = options
  }

  async run (): Promise<OpenLoopResult> {
    const { callsPerSecond, seconds } = this._options
    const total = Math.round(callsPerSecond * seconds)
    const startedAt = performance.now()
    while (this._sent < total) {
      const due = Math.min(total, Math.floor((performance.now() - startedAt) * callsPerSecond / 1000))
      while (this._sent < due) this._send()
      await pause(STEP_MS)
    }
    while (this._done < this._sent) await pause(STEP_MS)
    this._agent.destroy()
    const at = (percentile: number): number => this._latency.getValueAtPercentile(percentile) / MICROSECONDS
    return { calls: this._sent, failed: this._failed, p50Ms: at(50), p99Ms: at(99), p999Ms: at(99.9) }
  }

  private _send (): void {
    this._sent += 1
    const sentAt = performance.now()
    let ended = false
    const end = (good: boolean): void => {
      if (ended) return
      ended = true
      this._done += 1
      if (!good) this._failed += 1
      this._latency.recordValue(Math.max(1, Math.round((performance.now() - sentAt) * MICROSECONDS)))
    }
    const call = request(new URL(this._options.path, this._options.url), { agent: this._agent }, (answer) => {
      answer.resume()
      answer.on('close', () => end(answer.complete && answer.statusCode === 200))
    })
    call.on('error', () => end(false))
    call.end()
  }
}

/** Waits for a time in milliseconds. */
export function pause (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
