/** Replays a recorded trace in a new core and compares the outcomes with the expected ones. */
import { EntryCore, SeededRandom, type Effect, type Event, type FailureReason } from '@gooseberryspan/core'
import type { TraceHeader } from '@gooseberryspan/entry'
import { DefaultRowReader } from '@gooseberryspan/store'

/** How one request ended. */
export interface RequestOutcome {
  request: number
  outcome: 'answered' | 'not-run' | 'unknown' | 'open'
  reason?: FailureReason
}

/** Bounds for how often the core makes a decision. */
export interface DecisionBounds {
  decision: string
  least: number
  most?: number
}

/** The expected result of a trace, stored next to it as `<name>.expected.json`. */
export interface TraceExpectation {
  /** The fault that the trace contains. */
  fault: string
  /** Number of requests for each outcome; an outcome that is not listed must not occur. */
  outcomes: Array<{ outcome: RequestOutcome['outcome'], reason?: FailureReason, count: number }>
  decisions: DecisionBounds[]
  /** Most dispatches of any one request. */
  mostDispatches?: number
}

/** The result of a replay. */
export interface Replay {
  events: number
  requests: RequestOutcome[]
  decisions: Map<string, number>
  dispatches: Map<number, number>
  broken: string[]
}

/** Replays all lines of a trace in a new core. */
export function replayTrace (text: string): Replay {
  const [first, ...lines] = text.split('\n').filter((line) => line !== '')
  const { seed, ...head } = JSON.parse(first!) as TraceHeader
  const replay: Replay = { events: lines.length, requests: [], decisions: new Map(), dispatches: new Map(), broken: [] }
  const watcher = { broken: (invariant: string, detail: string) => void replay.broken.push(`${invariant}: ${detail}`) }
  const core = new EntryCore({ ...head, reader: new DefaultRowReader(), random: new SeededRandom(seed), watcher })
  const open = new Set<number>()
  for (const line of lines) {
    const { at, event } = JSON.parse(line) as { at: number, event: Event }
    if (event.kind === 'request-arrived') open.add(event.request.id)
    for (const effect of core.handle(event, at)) recordEffect(effect, replay, open)
  }
  for (const request of open) replay.requests.push({ request, outcome: 'open' })
  return replay
}

/** Describes each difference between a replay and its expected result. */
export function findDifferences (replay: Replay, statement: TraceExpectation): string[] {
  const messages = [...replay.broken]
  const counts = new Map<string, number>()
  for (const { outcome, reason } of replay.requests) {
    const key = outcomeKey(outcome, reason)
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  for (const { outcome, reason, count } of statement.outcomes) {
    const key = outcomeKey(outcome, reason)
    if (counts.get(key) !== count) messages.push(`${key}: expected ${count}, got ${counts.get(key) ?? 0}`)
    counts.delete(key)
  }
  for (const [key, count] of counts) messages.push(`${key}: not expected, got ${count}`)
  for (const { decision, least, most } of statement.decisions) {
    const count = replay.decisions.get(decision) ?? 0
    if (count < least || count > (most ?? Infinity)) messages.push(`${decision}: expected ${least} to ${most ?? 'any'}, got ${count}`)
  }
  const most = Math.max(0, ...replay.dispatches.values())
  if (statement.mostDispatches !== undefined && most > statement.mostDispatches) messages.push(`one request was dispatched ${most} times`)
  return messages
}

function recordEffect (effect: Effect, replay: Replay, open: Set<number>): void {
  switch (effect.kind) {
    case 'answer':
      open.delete(effect.request)
      replay.requests.push({ request: effect.request, outcome: 'answered' })
      return
    case 'refuse':
      open.delete(effect.request)
      replay.requests.push({ request: effect.request, outcome: effect.outcome, reason: effect.reason })
      return
    case 'dispatch':
      replay.dispatches.set(effect.request, (replay.dispatches.get(effect.request) ?? 0) + 1)
      return
    case 'log':
      replay.decisions.set(effect.line.decision, (replay.decisions.get(effect.line.decision) ?? 0) + 1)
  }
}

function outcomeKey (outcome: string, reason: string | undefined): string {
  return reason === undefined ? outcome : `${outcome} (${reason})`
}
