/** Feeds a recorded trace to a new core and compares what comes out with what was stated. */
import { EntryCore, SeededRandom, type Effect, type Event, type Reason } from '@gooseberryspan/core'
import type { TraceHead } from '@gooseberryspan/entry'
import { OwnRowReader } from '@gooseberryspan/store'

/** How one request ended. */
export interface RequestOutcome {
  request: number
  outcome: 'answered' | 'not-run' | 'unknown' | 'open'
  reason?: Reason
}

/** How often something was decided. */
export interface DecisionBound {
  decision: string
  least: number
  most?: number
}

/** What a trace should come to; stands beside it as `<name>.expected.json`. */
export interface Statement {
  /** The fault of the brief that the trace shows. */
  fault: string
  /** Counts of outcomes; an outcome that is not named must not occur. */
  outcomes: Array<{ outcome: RequestOutcome['outcome'], reason?: Reason, count: number }>
  decisions: DecisionBound[]
  /** Most dispatches of one request that must not run twice. */
  mostDispatches?: number
}

/** What a replay came to. */
export interface Replay {
  events: number
  requests: RequestOutcome[]
  decisions: Map<string, number>
  dispatches: Map<number, number>
  broken: string[]
}

/** Runs a trace's lines through a new core. */
export function replayTrace (text: string): Replay {
  const [first, ...lines] = text.split('\n').filter((line) => line !== '')
  const { seed, ...head } = JSON.parse(first!) as TraceHead
  const replay: Replay = { events: lines.length, requests: [], decisions: new Map(), dispatches: new Map(), broken: [] }
  const watcher = { broken: (invariant: string, detail: string) => void replay.broken.push(`${invariant}: ${detail}`) }
  const core = new EntryCore({ ...head, reader: new OwnRowReader(), random: new SeededRandom(seed), watcher })
  const open = new Set<number>()
  for (const line of lines) {
    const { at, event } = JSON.parse(line) as { at: number, event: Event }
    if (event.kind === 'request-arrived') open.add(event.request.id)
    for (const effect of core.handle(event, at)) note(effect, replay, open)
  }
  for (const request of open) replay.requests.push({ request, outcome: 'open' })
  return replay
}

/** Where a replay differs from the statement. */
export function differences (replay: Replay, statement: Statement): string[] {
  const found = [...replay.broken]
  const counts = new Map<string, number>()
  for (const { outcome, reason } of replay.requests) {
    const key = keyOf(outcome, reason)
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  for (const { outcome, reason, count } of statement.outcomes) {
    const key = keyOf(outcome, reason)
    if (counts.get(key) !== count) found.push(`${key}: stated ${count}, came ${counts.get(key) ?? 0}`)
    counts.delete(key)
  }
  for (const [key, count] of counts) found.push(`${key}: not stated, came ${count}`)
  for (const { decision, least, most } of statement.decisions) {
    const count = replay.decisions.get(decision) ?? 0
    if (count < least || count > (most ?? Infinity)) found.push(`${decision}: stated ${least} to ${most ?? 'any'}, came ${count}`)
  }
  const most = Math.max(0, ...replay.dispatches.values())
  if (statement.mostDispatches !== undefined && most > statement.mostDispatches) found.push(`one request was dispatched ${most} times`)
  return found
}

function note (effect: Effect, replay: Replay, open: Set<number>): void {
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

function keyOf (outcome: string, reason: string | undefined): string {
  return reason === undefined ? outcome : `${outcome} (${reason})`
}
