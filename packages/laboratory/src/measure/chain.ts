/** Measures how many extra requests retries add to a deep chain of calls whose last service fails half of its requests. */
import {
  EntryCore, SeededRandom, ThrowingReporter, validateDocument, type AttemptReport, type Effect, type Event, type Random
} from '@gooseberryspan/core'
import { DefaultRowReader } from '@gooseberryspan/store'
import { VirtualTime } from '../model/virtualTime.js'

const CHAIN_DEPTH = 29
const CALL_COUNT = 400
const CALL_INTERVAL_MS = 5
const FAILURE_RATIO = 0.5
const SERVERS_PER_SERVICE = 3
const SLOTS_PER_SERVER = 1000
const TICK_INTERVAL_MS = 20
const WARM_UP_MS = 1000
const DRAIN_MS = 5000
const CALL_DEADLINE_MS = 5000

/** Mean number of requests to the last service for each root call that reached it. */
export function chainAmplification (): number {
  return new ChainSimulation().run()
}

interface Call {
  rootCall: number
  level: number
  retrySpent: boolean
  answered: (succeeded: boolean) => void
}

/** One core that places requests for a chain of 29 services; each server calls the next service. */
class ChainSimulation {
  private readonly _time = new VirtualTime()
  private readonly _random: Random = new SeededRandom(5)
  private readonly _core: EntryCore
  private readonly _calls = new Map<number, Call>()
  private readonly _leafVisits = new Map<number, number>()
  private _lastCallId = 0

  constructor () {
    this._core = new EntryCore({
      identity: { instance: 'one', incarnation: 1, zone: 'a', host: 'h', port: 1, peerPort: 2, cores: 1 },
      seeds: [{ host: 'h', port: 2 }],
      tolerances: { retry: { ratio: 0.1, slack: 10, windowMs: 10_000 }, cold: { overage: 1, slack: 1 } },
      reader: new DefaultRowReader(),
      random: this._random,
      watcher: new ThrowingReporter(),
      lapseMs: 0,
      lingerMs: 0
    })
  }

  run (): number {
    this._loadTables()
    this._tick()
    this._time.runUntil(WARM_UP_MS)
    for (let rootCall = 0; rootCall < CALL_COUNT; rootCall++) {
      this._time.after(
        rootCall * CALL_INTERVAL_MS, () => this._startCall({ rootCall, level: 0, retrySpent: false, answered: () => {} })
      )
    }
    this._time.runUntil(WARM_UP_MS + CALL_COUNT * CALL_INTERVAL_MS + DRAIN_MS)
    let visits = 0
    for (const count of this._leafVisits.values()) visits += count
    return visits / this._leafVisits.size
  }

  private _loadTables (): void {
    const services = Array.from({ length: CHAIN_DEPTH }, (_, level) => ({
      name: `s${level}`, path: `/s${level}`, kinds: [{ name: 'k', methods: ['GET'], idempotent: true, deadlineMs: CALL_DEADLINE_MS }]
    }))
    const document = validateDocument({ zones: [{ name: 'a', region: 'r' }], services })
    const gateway = { key: 'gateway', version: 1, value: JSON.stringify({ revision: 1, document, changes: [] }) }
    const serverRows = Array.from({ length: CHAIN_DEPTH * SERVERS_PER_SERVICE }, (_, index) => ({
      key: `server-${index}`,
      version: 1,
      value: JSON.stringify({
        incarnation: '1',
        service: `s${index % CHAIN_DEPTH}`,
        host: 'h',
        port: index + 1,
        zone: 'a',
        slots: SLOTS_PER_SERVER,
        state: 'ready',
        coldMs: 0
      })
    }))
    this._handle({ kind: 'table-read', table: 'declarations', reading: { kind: 'whole', rows: [gateway], version: 1 } })
    this._handle({ kind: 'table-read', table: 'servers', reading: { kind: 'whole', rows: serverRows, version: 1 } })
  }

  private _tick (): void {
    this._handle({ kind: 'tick' })
    this._time.after(TICK_INTERVAL_MS, () => this._tick())
  }

  private _startCall (call: Call): void {
    this._lastCallId += 1
    this._calls.set(this._lastCallId, call)
    const route = this._core.declarations.findRoute({ host: '', path: `/s${call.level}`, method: 'GET' })!
    const request = {
      id: this._lastCallId,
      label: `c${this._lastCallId}`,
      route,
      service: `s${call.level}`,
      deadlineMs: CALL_DEADLINE_MS,
      replayable: true,
      retrySpent: call.retrySpent,
      depth: call.level
    }
    this._handle({ kind: 'request-arrived', request })
  }

  private _handle (event: Event): void {
    for (const effect of this._core.handle(event, this._time.now)) this._perform(effect)
  }

  private _perform (effect: Effect): void {
    switch (effect.kind) {
      case 'dispatch': return this._dispatch(effect)
      case 'answer': return this._endCall(effect.request, true)
      case 'refuse': return this._endCall(effect.request, false)
      case 'probe': {
        const { id: server, service } = effect.server
        const answer = { healthy: true, load: { running: 0, waiting: 0, slots: SLOTS_PER_SERVER, pace: 1 } }
        return this._time.after(1, () => this._handle({ kind: 'probed', server, service, answer }))
      }
    }
  }

  /** A server calls the next service and reports the outcome of that call as its own; the last service fails at random. */
  private _dispatch ({ request, attempt, isRetryOrHedge }: Extract<Effect, { kind: 'dispatch' }>): void {
    const call = this._calls.get(request)!
    const { rootCall, level } = call
    const reportAttempt = (outcome: AttemptReport['outcome']): void => {
      this._time.after(1, () => this._handle({ kind: 'attempt-ended', attempt, report: { outcome, tookMs: 1 } }))
    }
    if (level + 1 < CHAIN_DEPTH) {
      const retrySpent = call.retrySpent || isRetryOrHedge
      return this._startCall({
        rootCall, level: level + 1, retrySpent, answered: (succeeded) => reportAttempt(succeeded ? 'answered' : 'failed-below')
      })
    }
    this._leafVisits.set(rootCall, (this._leafVisits.get(rootCall) ?? 0) + 1)
    reportAttempt(this._random.next() < FAILURE_RATIO ? 'failed' : 'answered')
  }

  private _endCall (request: number, succeeded: boolean): void {
    const call = this._calls.get(request)!
    this._calls.delete(request)
    call.answered(succeeded)
  }
}
