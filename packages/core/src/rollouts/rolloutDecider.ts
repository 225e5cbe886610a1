/** Decides, at the change-feed leader, how each roll-out goes on, and writes that to the store. */
import type { Declarations } from '../configuration/declarations.js'
import type { Outbox } from '../effects.js'
import type { Member } from '../members/member.js'
import type { RolloutReportMessage } from '../members/peerMessages.js'
import type { Roster } from '../members/roster.js'
import { sumOfCounts, type RouteCounts } from './answerCounts.js'
import { encodeRecord, isFinal, type PlacedOrder, type RolloutPhase, type RolloutRecord, type StoredRecord } from './rolloutOrder.js'
import { FORMER_LEASE_MS, type ServiceVersions } from './serviceVersions.js'
import { judgeVersion, type Verdict } from './versionJudgement.js'

export interface RolloutDeciderOptions {
  versions: ServiceVersions
  declarations: Declarations
  roster: Roster
  outbox: Outbox
  /** The time of day, in milliseconds since 1970. */
  timeOfDay: () => number
}

/** What an entry reported last about a roll-out. */
interface EntryReport {
  incarnation: number
  routes: RouteCounts[]
  /** Whether it sends no request to former servers any more and none of its requests is running there. */
  settled: boolean
}

/** What the decider knows about one roll-out. */
interface RolloutState {
  order: number
  knownSince: number
  /** Whether this entry knew the order before the trial began, and so every entry that has sent requests since. */
  isWitness: boolean
  reports: Map<string, EntryReport>
  /** Entries that may have sent requests to former servers, and until when one that is not heard may still do so. */
  members: Map<string, { lastAliveAt: number }>
  writeDueAt: number
  verdict: Verdict
}

/** Pause after a write before the next one, if the store has not confirmed it. */
const WRITE_RETRY_MS = 500
/** Time to end the requests on the former servers and to write the result, beside the longest request. */
const SWITCH_RESERVE_MS = 2000
/** A trial lasts at least this fraction of the roll-out's time: a version may turn bad only after a while. */
const MIN_TRIAL_FRACTION = 0.5
/** A trial that has shown nothing by then is rolled back: a version that nobody could judge must not take over. */
const LAST_DECISION_FRACTION = 0.85

/** Runs the roll-outs. Every entry has a decider, but only that of the change-feed leader writes, under a condition. */
export class RolloutDecider {
  private readonly _options: RolloutDeciderOptions
  private readonly _states = new Map<string, RolloutState>()

  constructor (options: RolloutDeciderOptions) {
    this._options = options
  }

  /** Processes the report of an entry. Returns whether the trial of the version may go on. */
  reported (from: Pick<Member, 'instance' | 'incarnation'>, message: RolloutReportMessage, now: number): boolean {
    const state = this._stateOf(message.service, message.order, now)
    if (!state) return false
    state.reports.set(from.instance, { incarnation: from.incarnation, routes: message.routes, settled: message.settled })
    return this._verdictOf(state) !== 'bad'
  }

  /** The current verdict on a service's target, for status reports. */
  verdict (service: string): Verdict | undefined {
    return this._states.get(service)?.verdict
  }

  /** Handles the end of a write. Its outcome arrives as a changed row; a write that failed is repeated after a pause. */
  written (service: string, isDone: boolean, now: number): void {
    const state = this._states.get(service)
    if (state && !isDone) state.writeDueAt = now + WRITE_RETRY_MS
  }

  /** Runs periodic work; `decides` tells whether this entry is the change-feed leader with current copies of all tables. */
  tick (decides: boolean, now: number): void {
    const { versions } = this._options
    for (const service of versions.services) {
      const order = versions.order(service)
      const record = versions.record(service)
      this._trackMembers(service, order, record, now)
      if (!decides) continue
      const next = this._next(service, order, record, now)
      if (next) this._write(next.record, next.reason, record?.version ?? 0, now)
    }
  }

  /** The record to write next, if any. */
  private _next (
    service: string, order: PlacedOrder | undefined, record: StoredRecord | undefined, now: number
  ): { record: RolloutRecord, reason: string } | undefined {
    if (!order) return record && !isFinal(record) ? { record: { ...record, phase: 'rolled-back' }, reason: 'withdrawn' } : undefined
    if (!record || record.order < order.version) return this._begin(order)
    if (isFinal(record) || record.order > order.version) return undefined
    const state = this._stateOf(service, record.order, now)!
    const step = record.phase === 'trial' ? this._trialStep(record, state) : this._switchingStep(record, state, now)
    return step && { record: { ...record, phase: step.phase }, reason: step.reason }
  }

  private _begin ({ service, version: order, target, durationMs }: PlacedOrder): { record: RolloutRecord, reason: string } {
    const former = this._options.versions.formerVersions(service, target)
    const phase: RolloutPhase = former.length === 0 ? 'completed' : durationMs === 0 ? 'rolled-back' : 'trial'
    const reason = phase === 'trial' ? 'ordered' : phase === 'completed' ? 'already in service' : 'no time to judge it'
    return { record: { service, order, target, former, phase, startedAt: this._options.timeOfDay(), durationMs }, reason }
  }

  private _trialStep (record: StoredRecord, state: RolloutState): { phase: RolloutPhase, reason: string } | undefined {
    const verdict = this._verdictOf(state)
    if (verdict === 'bad') return { phase: 'rolled-back', reason: 'bad answers' }
    const elapsedMs = this._options.timeOfDay() - record.startedAt
    if (verdict === 'good' && elapsedMs >= this._trialMs(record)) return { phase: 'switching', reason: 'as good as the version in service' }
    if (elapsedMs >= record.durationMs * LAST_DECISION_FRACTION) return { phase: 'rolled-back', reason: 'not enough answers to judge it' }
    return undefined
  }

  private _switchingStep (
    record: StoredRecord, state: RolloutState, now: number
  ): { phase: RolloutPhase, reason: string } | undefined {
    if (this._verdictOf(state) === 'bad') return { phase: 'rolled-back', reason: 'bad answers' }
    return this._isSettled(record.service, state, now) ? { phase: 'completed', reason: 'nothing runs on former servers' } : undefined
  }

  /** A trial lasts as long as the time allows, less what the switch takes. */
  private _trialMs ({ service, durationMs }: RolloutRecord): number {
    return Math.max(durationMs * MIN_TRIAL_FRACTION, durationMs - this._longestRequestMs(service) - SWITCH_RESERVE_MS)
  }

  private _longestRequestMs (service: string): number {
    let longestMs = 0
    for (const { shares, timeoutMs } of this._options.declarations.gateway?.routes ?? []) {
      if (shares.some((share) => share.service === service)) longestMs = Math.max(longestMs, timeoutMs)
    }
    return longestMs
  }

  /**
   * Whether no entry can use former servers any more. An entry that is heard has to say so. One that is not heard stops by itself when its
   * copy of the record is too old, and its last request ends with the longest time limit.
   */
  private _isSettled (service: string, state: RolloutState, now: number): boolean {
    const silentMs = FORMER_LEASE_MS + this._longestRequestMs(service)
    for (const [instance, { lastAliveAt }] of state.members) {
      const report = state.reports.get(instance)
      if (report?.settled) continue
      if (now - lastAliveAt < silentMs) return false
    }
    return state.isWitness || now - state.knownSince >= silentMs
  }

  /** Notes which entries are alive, and until when those that are not heard any more were. */
  private _trackMembers (service: string, order: PlacedOrder | undefined, record: StoredRecord | undefined, now: number): void {
    const version = record && !isFinal(record) ? record.order : order?.version
    const state = version === undefined ? undefined : this._stateOf(service, version, now)
    if (!state) return
    for (const { instance } of this._options.roster.alive) {
      const member = state.members.get(instance)
      if (member) member.lastAliveAt = now
      else state.members.set(instance, { lastAliveAt: now })
    }
  }

  private _stateOf (service: string, order: number, now: number): RolloutState | undefined {
    let state = this._states.get(service)
    if (state && state.order > order) return undefined
    if (!state || state.order < order) {
      const isWitness = this._options.versions.record(service)?.order !== order
      state = { order, knownSince: now, isWitness, reports: new Map(), members: new Map(), writeDueAt: now, verdict: 'undecided' }
      this._states.set(service, state)
    }
    return state
  }

  /** A version that was found bad stays so: what it answers afterwards is from fewer requests. */
  private _verdictOf (state: RolloutState): Verdict {
    if (state.verdict === 'bad') return 'bad'
    state.verdict = judgeVersion(sumOfCounts([...state.reports.values()].map(({ routes }) => routes)))
    return state.verdict
  }

  private _write (record: RolloutRecord, reason: string, expectedVersion: number, now: number): void {
    const state = this._stateOf(record.service, record.order, now)
    if (!state || now < state.writeDueAt) return
    state.writeDueAt = now + WRITE_RETRY_MS
    const { service, target, phase } = record
    const status = phase === 'completed' || phase === 'rolled-back' ? phase : 'running'
    this._options.outbox.log({
      decision: 'rollout-decided', service, reason: `${phase}: ${reason}`, softwareVersion: target, version: record.order
    })
    this._options.outbox.put({ kind: 'write-rollout', service, expectedVersion, value: encodeRecord(record), status: { status, target } })
  }
}
