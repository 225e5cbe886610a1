/** One round of asking all watchers for time while the table service cannot be reached. */
import type { Lease } from './lease.js'

/** Extends the lease once every asked watcher has agreed. */
export class PromiseRound {
  nextAt = -Infinity
  private _round = 0
  private _askedAt = 0
  private _missing = new Set<string>()
  private _shortestMs = Infinity
  private readonly _lease: Lease

  constructor (lease: Lease) {
    this._lease = lease
  }

  /** Begins a round; answers to earlier ones no longer count. */
  start (watchers: string[], now: number, gapMs: number): number {
    this._round += 1
    this._askedAt = now
    this._missing = new Set(watchers)
    this._shortestMs = Infinity
    this.nextAt = now + gapMs
    return this._round
  }

  granted (watcher: string, round: number, forMs: number): void {
    if (round !== this._round || !this._missing.delete(watcher)) return
    this._shortestMs = Math.min(this._shortestMs, forMs)
    if (this._missing.size === 0) this._lease.promised(this._askedAt, this._shortestMs)
  }

  /** Nobody else is there who could evict. */
  settleAlone (now: number, termMs: number): void {
    this._lease.promised(now, termMs)
  }
}
