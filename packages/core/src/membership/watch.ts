/** What an entry has seen of the leases of those it watches, and what it promised them. */
import type { LeaseTimes } from './lease.js'

/** One watched lease as last seen. */
interface Sighting {
  version: number
  /** When this version was first seen here, on this entry's clock. */
  since: number
}

/** Decides when a watched entry may be evicted: never before its own count has ended. */
export class Watch {
  private readonly _sightings = new Map<string, Sighting>()
  /** Lease versions at which an eviction was sent that may yet take effect. */
  private readonly _evicting = new Map<string, number>()
  private readonly _promisedUntil = new Map<string, number>()
  private readonly _times: LeaseTimes

  constructor (times: LeaseTimes) {
    this._times = times
  }

  /** Notes the version of a lease row, read at that time. */
  saw (instance: string, version: number, now: number): void {
    const sighting = this._sightings.get(instance)
    if (sighting && sighting.version === version) return
    if (this._evicting.get(instance) !== version) this._evicting.delete(instance)
    this._sightings.set(instance, { version, since: now })
  }

  /** Stops watching all but these. */
  keep (instances: ReadonlySet<string>): void {
    for (const instance of this._sightings.keys()) {
      if (!instances.has(instance)) this._sightings.delete(instance)
    }
  }

  /** Notes that an eviction is sent. Until the row or the view is seen to have moved, it may still take effect. */
  evictionSent (instance: string, version: number): void {
    this._evicting.set(instance, version)
  }

  /** The view has moved: evictions sent under the last one can no longer take effect. */
  viewMoved (): void {
    this._evicting.clear()
  }

  /** Whether this entry's word not to evict would be true. */
  mayPromise (instance: string): boolean {
    return !this._evicting.has(instance)
  }

  /** Promises not to evict for a time. */
  promise (instance: string, untilMs: number): void {
    this._promisedUntil.set(instance, Math.max(this._promisedUntil.get(instance) ?? 0, untilMs))
  }

  /** The version to evict at, once the row stood still for long enough; else undefined. */
  evictable (instance: string, waitMs: number, now: number): number | undefined {
    const sighting = this._sightings.get(instance)
    if (!sighting || sighting.version === 0) return undefined
    if (now - sighting.since < waitMs + this._times.marginMs) return undefined
    if (now < (this._promisedUntil.get(instance) ?? 0) + this._times.marginMs) return undefined
    return sighting.version
  }

  /** When the last promise given ends; a leaving entry stays until then. */
  get lastPromiseEnds (): number {
    let last = -Infinity
    for (const until of this._promisedUntil.values()) last = Math.max(last, until)
    return last
  }
}
