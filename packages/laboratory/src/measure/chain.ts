/** How much a deep chain of calls is amplified when its last service fails half of the time. */
import {
  EntryCore, LEASE_TIMES, SeededRandom, ThrowingWatcher, changeTransaction, configurationRows, readConfiguration, validateDocument,
  type Effect, type Event
} from '@gooseberryspan/core'
import { TableEngine } from '@gooseberryspan/standins'
import { VirtualTime } from '../model/virtualTime.js'

const DEPTH = 29
const CALLS = 400
const GAP_MS = 5
const FAILING_SHARE = 0.5

/** What a server does whose own call failed: answers so, as the contract asks, or loses its answer. */
export type Manners = 'answers' | 'loses'

/** Dispatches to the last service for each call at the top that reached it at all. */
export function chainAmplification (manners: Manners): number {
  return new Chain(manners).run()
}

/** One core that holds a server of each of 29 services; each server calls the next service. */
class Chain {
  private readonly _time = new VirtualTime()
  private readonly _random = new SeededRandom(5)
  private readonly _table = new TableEngine()
  private readonly _core: EntryCore
  private readonly _ends = new Map<number, (answered: boolean) => void>()
  private readonly _requests = new Map<number, { top: number, level: number, retrySpent: boolean }>()
  /** Dispatches to the last service for each call at the top that reached it. */
  private readonly _leafVisits = new Map<number, number>()
  private _id = 0

  constructor (private readonly _manners: Manners) {
    const identity = { instance: 'one', zone: 'a', region: 'r', host: 'h', port: 1, peerPort: 2 }
    this._core = new EntryCore({ identity, times: LEASE_TIMES, random: this._random, watcher: new ThrowingWatcher() })
    const document = validateDocument({
      zones: [{ name: 'a', region: 'r' }],
      services: Array.from({ length: DEPTH }, (_, level) => ({
        name: `s${level}`,
        path: `/s${level}`,
        slots: 1000,
        coldLimit: 1000,
        connections: 2001,
        kinds: [{ name: 'k', methods: ['GET'], idempotent: true, deadlineMs: 5000 }]
      }))
    })
    this._table.run(changeTransaction(configurationRows(this._table.run(readConfiguration())), document, 'first'))
  }

  run (): number {
    const servers = Array.from({ length: DEPTH }, (_, level) => [0, 1, 2].map((copy) => ({
      id: `s${level}-${copy}`, service: `s${level}`, zone: 'a', host: 'h', port: 1, state: 'live' as const
    }))).flat()
    this._give({ kind: 'listed', change: { whole: true, servers, removed: [] } })
    this._tick()
    this._time.runUntil(3000)
    for (let call = 0; call < CALLS; call++) this._time.after(call * GAP_MS, () => this._call(call, 0, false, () => {}))
    this._time.runUntil(3000 + CALLS * GAP_MS + 3000)
    let visits = 0
    for (const count of this._leafVisits.values()) visits += count
    return visits / this._leafVisits.size
  }

  private _tick (): void {
    this._give({ kind: 'tick' })
    this._time.after(10, () => this._tick())
  }

  private _call (top: number, level: number, retrySpent: boolean, end: (answered: boolean) => void): void {
    this._id += 1
    const id = this._id
    this._ends.set(id, end)
    this._requests.set(id, { top, level, retrySpent })
    this._give({
      kind: 'request-arrived',
      request: {
        id,
        service: `s${level}`,
        kind: 'k',
        idempotent: true,
        replayable: true,
        weight: 1,
        deadlineAt: this._time.now + 4000,
        depth: level,
        retrySpent,
        caller: 'c',
        hops: 0,
        claims: 'refuse'
      }
    })
  }

  private _give (event: Event): void {
    for (const effect of this._core.handle(event, this._time.now)) this._perform(effect)
  }

  private _perform (effect: Effect): void {
    switch (effect.kind) {
      case 'transact':
        return this._time.after(1, () => {
          const results = effect.transactions.map((transaction) => this._table.run(transaction))
          this._give({ kind: 'transacted', id: effect.id, results })
        })
      case 'answer': return this._end(effect.request, true)
      case 'refuse': return this._end(effect.request, false)
      case 'dispatch': return this._dispatch(effect)
    }
  }

  private _end (request: number, answered: boolean): void {
    const end = this._ends.get(request)
    this._ends.delete(request)
    end?.(answered)
  }

  private _dispatch (effect: Extract<Effect, { kind: 'dispatch' }>): void {
    const { top, level, retrySpent } = this._requests.get(effect.request)!
    const isLast = level === DEPTH - 1
    const end = (answered: boolean): void => {
      const whole = answered || (!isLast && this._manners === 'answers')
      const outcome = whole ? 'answered' as const : 'lost' as const
      const status = answered ? 200 : 502
      this._give({ kind: 'attempt-ended', attempt: effect.attempt, end: { outcome, latencyMs: 1, status, fromBelow: !answered } })
    }
    if (isLast) {
      this._leafVisits.set(top, (this._leafVisits.get(top) ?? 0) + 1)
      return this._time.after(1, () => end(this._random.next() >= FAILING_SHARE))
    }
    this._time.after(0.1, () => this._call(top, level + 1, retrySpent || !effect.first, end))
  }
}
