/** Counts of the answers that two versions of a service gave. */
import type { AttemptReport } from '../placement/placementRequest.js'

/** Answers of one route, from servers of one side. */
export interface AnswerCount {
  total: number
  /** Failed answers, and requests without an answer. */
  failed: number
  /** Answers whose duration was compared with the usual one. */
  timed: number
  /** Of these, answers that took several times as long as requests of the route usually take. */
  slow: number
}

/** Answers of one route: of the version in service, and of each server of the target. */
export interface RouteCounts {
  route: string
  former: AnswerCount
  target: Array<AnswerCount & { server: string }>
}

/** An answer counts as slow when it takes this many times as long as a request of its route usually takes. */
const SLOW_FACTOR = 2.5
/**
 * Of the answers of one server within this time, one is timed. Machines are slow for spells of about this length, and answers of the same
 * spell are not independent evidence.
 */
const TIMING_INTERVAL_MS = 300

/** What an ended attempt says about its server, or undefined if it says nothing. */
export type AnswerQuality = 'good' | 'slow' | 'failed' | undefined

/**
 * Judges one ended attempt. A refusal says nothing about the version. A cancelled attempt does only if it was slow: it usually lost
 * against a hedge.
 */
export function qualityOf ({ outcome, tookMs }: AttemptReport, usualMs: number): AnswerQuality {
  const isSlow = tookMs > usualMs * SLOW_FACTOR
  switch (outcome) {
    case 'answered': return isSlow ? 'slow' : 'good'
    case 'cancelled': return isSlow ? 'slow' : undefined
    case 'failed':
    case 'failed-below':
    case 'lost': return 'failed'
    case 'shed':
    case 'moved':
    case 'unreachable':
    case 'unused': return undefined
  }
}

/** Answers by route that one entry has counted since a roll-out began. They only grow, so a lost report is made up for by the next. */
export class AnswerCounts {
  private readonly _former = new Map<string, AnswerCount>()
  private readonly _target = new Map<string, Map<string, AnswerCount>>()
  /** When an answer was last timed, by server and route. */
  private readonly _timedAt = new Map<string, number>()

  /** Counts an answer of a server of the version in service. */
  addFormer (route: string, server: string, quality: AnswerQuality, now: number): void {
    if (quality !== undefined) add(countOf(this._former, route), quality, this._isTimed(route, server, now))
  }

  /** Counts an answer of a server of the target. */
  addTarget (route: string, server: string, quality: AnswerQuality, now: number): void {
    if (quality === undefined) return
    let servers = this._target.get(route)
    if (!servers) {
      servers = new Map()
      this._target.set(route, servers)
    }
    add(countOf(servers, server), quality, this._isTimed(route, server, now))
  }

  private _isTimed (route: string, server: string, now: number): boolean {
    const key = `${server}|${route}`
    if (now - (this._timedAt.get(key) ?? -Infinity) < TIMING_INTERVAL_MS) return false
    this._timedAt.set(key, now)
    return true
  }

  /** Whether nothing has been counted. */
  get isEmpty (): boolean {
    return this._former.size === 0 && this._target.size === 0
  }

  /** The counts to report. */
  routes (): RouteCounts[] {
    const names = new Set([...this._former.keys(), ...this._target.keys()])
    return [...names].map((route) => ({
      route,
      former: this._former.get(route) ?? newCount(),
      target: [...this._target.get(route) ?? []].map(([server, count]) => ({ server, ...count }))
    }))
  }
}

function countOf (counts: Map<string, AnswerCount>, key: string): AnswerCount {
  let count = counts.get(key)
  if (!count) {
    count = newCount()
    counts.set(key, count)
  }
  return count
}

function add (count: AnswerCount, quality: NonNullable<AnswerQuality>, isTimed: boolean): void {
  count.total += 1
  if (quality === 'failed') {
    count.failed += 1
    return
  }
  if (!isTimed) return
  count.timed += 1
  if (quality === 'slow') count.slow += 1
}

/** A count of nothing. */
export function newCount (): AnswerCount {
  return { total: 0, failed: 0, timed: 0, slow: 0 }
}

/** Adds up the counts of several entries by route. */
export function sumOfCounts (reports: Iterable<readonly RouteCounts[]>): RouteCounts[] {
  const byRoute = new Map<string, { former: AnswerCount, target: Map<string, AnswerCount> }>()
  for (const routes of reports) {
    for (const { route, former, target } of routes) {
      let sum = byRoute.get(route)
      if (!sum) {
        sum = { former: newCount(), target: new Map() }
        byRoute.set(route, sum)
      }
      addCount(sum.former, former)
      for (const { server, ...count } of target) addCount(countOf(sum.target, server), count)
    }
  }
  return [...byRoute].map(([route, { former, target }]) => ({
    route, former, target: [...target].map(([server, count]) => ({ server, ...count }))
  }))
}

/** Adds one count to another. */
export function addCount (sum: AnswerCount, { total, failed, timed, slow }: AnswerCount): void {
  sum.total += total
  sum.failed += failed
  sum.timed += timed
  sum.slow += slow
}
