/** Runs the core: gives it events with the time, and carries out its effects. */
import type { Logger } from 'pino'
import type { Effect, EntryCore, Event, LogEffect } from '@gooseberryspan/core'
import type { BackendClient } from '../backend/backendClient.js'
import type { ResolveContext } from '../caller/resolve.js'
import type { HeaderNames } from '../headers.js'
import type { ForwardClient } from '../peers/forwardClient.js'
import type { Delivery } from '../peers/messageSchema.js'
import type { PeerClient } from '../peers/peerClient.js'
import type { Answer } from './answer.js'
import type { Exchange } from './exchange.js'
import type { Counters } from './counters.js'
import { statusOf, type ControlUse, type Status } from './status.js'

/** Work for the platform, done by a process of its own. */
export interface PlatformWork {
  transact (id: number, transactions: Extract<Effect, { kind: 'transact' }>['transactions']): void
  claim (request: number, service: string, key: string): void
  settleClaim (request: number, service: string, key: string, outcome: 'claimed' | 'answered' | 'not-run' | 'unknown'): void
}

/** Keeps each event with its time. */
export interface Recorder {
  record (event: Event, now: number): void
}

/** What a node is built from. */
export interface NodeOptions {
  core: EntryCore
  names: HeaderNames
  log: Logger
  logDecisions: boolean
  now: () => number
  counters: Counters
  recorder?: Recorder
}

/** The sides that effects go to. */
export interface Sides {
  backends: BackendClient
  forwards: ForwardClient
  peers: PeerClient
  platform: PlatformWork
  control: () => ControlUse
  left: () => void
}

/** One entry's core in its surroundings. */
export class EntryNode {
  readonly core: EntryCore
  readonly names: HeaderNames
  readonly log: Logger
  stopping = false
  private readonly _options: NodeOptions
  private readonly _exchanges = new Map<number, Exchange>()
  private readonly _answers = new Map<number, Answer>()
  private readonly _waiting: Event[] = []
  private _sides!: Sides
  private _busy = false
  private _lastRequest = 0

  constructor (options: NodeOptions) {
    this._options = options
    this.core = options.core
    this.names = options.names
    this.log = options.log
  }

  /** Joined after construction, since each side reports back here. */
  connect (sides: Sides): void {
    this._sides = sides
  }

  /** Whether callers may be sent here. */
  get ready (): boolean {
    const now = this._options.now()
    return !this.stopping && this.core.revisions.revision > 0 && this.core.membership.lease.isValid(now)
  }

  /** Requests without an outcome. */
  get open (): number {
    return this._exchanges.size
  }

  status (): Status {
    return statusOf(this.core, this._options.now(), this._options.counters, this._sides.control())
  }

  resolveContext (): ResolveContext {
    return {
      revisions: this.core.revisions,
      names: this.names,
      now: this._options.now(),
      nextId: () => {
        this._lastRequest += 1
        return this._lastRequest
      }
    }
  }

  /** A request with its way back. */
  arrive (exchange: Exchange): void {
    this._exchanges.set(exchange.spec.id, exchange)
    this.handle({ kind: 'request-arrived', request: exchange.spec })
  }

  callerLeft (request: number): void {
    if (this._exchanges.has(request)) this.handle({ kind: 'request-cancelled', request })
  }

  received (delivery: Delivery): void {
    this.handle({ kind: 'received', ...delivery })
  }

  /** Takes an event. One that comes up while effects are carried out waits its turn. */
  handle (event: Event): void {
    this._waiting.push(event)
    if (this._busy) return
    this._busy = true
    try {
      for (let next = this._waiting.shift(); next; next = this._waiting.shift()) this._handleOne(next)
    } finally {
      this._busy = false
    }
  }

  private _handleOne (event: Event): void {
    const now = this._options.now()
    this._options.recorder?.record(event, now)
    for (const effect of this.core.handle(event, now)) this._perform(effect)
  }

  private _perform (effect: Effect): void {
    switch (effect.kind) {
      case 'log': return this._writeLine(effect)
      case 'dispatch': return this._dispatch(effect)
      case 'forward': return this._forward(effect)
      case 'answer': return this._answer(effect.request, effect.attempt)
      case 'refuse': return this._refuse(effect)
      case 'cancel':
        this._answers.delete(effect.attempt)
        this._sides.backends.cancel(effect.attempt)
        return this._sides.forwards.cancel(effect.attempt)
      case 'transact': return this._sides.platform.transact(effect.id, effect.transactions)
      case 'claim': return this._sides.platform.claim(effect.request, effect.service, effect.key)
      case 'settle-claim': return this._sides.platform.settleClaim(effect.request, effect.service, effect.key, effect.outcome)
      case 'send': return this._sides.peers.send(effect.to, effect.message)
      case 'probe':
        this._options.counters.add('probes')
        return this._sides.backends.probe(effect.server, (healthy, report) => {
          this.handle({ kind: 'probed', server: effect.server.id, healthy, report })
        })
      case 'disconnect': return this._sides.backends.disconnect(effect.server)
      case 'configured': return
      case 'left': return this._sides.left()
    }
  }

  private _dispatch (effect: Extract<Effect, { kind: 'dispatch' }>): void {
    const exchange = this._exchanges.get(effect.request)
    const { attempt } = effect
    if (!exchange) return this.handle({ kind: 'attempt-ended', attempt, end: { outcome: 'refused', latencyMs: 0 } })
    const retrySpent = exchange.spec.retrySpent || !effect.first
    this._sides.backends.dispatch(effect, exchange, retrySpent, {
      whole: (answer) => this._answers.set(attempt, answer),
      large: (answer, done) => this._stream(attempt, exchange, answer, done),
      ended: (end) => this.handle({ kind: 'attempt-ended', attempt, end })
    })
  }

  private _forward (effect: Extract<Effect, { kind: 'forward' }>): void {
    const exchange = this._exchanges.get(effect.request)
    const { attempt } = effect
    if (!exchange) return this.handle({ kind: 'forward-ended', attempt, end: { outcome: 'refused', busy: false } })
    this._sides.forwards.forward(effect, exchange, {
      whole: (answer) => this._answers.set(attempt, answer),
      large: (answer, done) => this._stream(attempt, exchange, answer, done),
      ended: (end) => this.handle({ kind: 'forward-ended', attempt, end })
    })
  }

  /** Once an answer streams, the request's other attempts are cancelled. */
  private _stream (attempt: number, exchange: Exchange, answer: Answer, done: (whole: boolean) => void): void {
    this.handle({ kind: 'attempt-streaming', attempt })
    exchange.stream(answer, done)
  }

  private _answer (request: number, attempt: number): void {
    const exchange = this._exchanges.get(request)
    const answer = this._answers.get(attempt)
    this._exchanges.delete(request)
    this._answers.delete(attempt)
    if (!exchange || !answer) return
    exchange.answer(answer, exchange.spec.hops > 0 && this.core.isBusy(exchange.spec.service) ? [this.names.busy, '1'] : [])
  }

  private _refuse (effect: Extract<Effect, { kind: 'refuse' }>): void {
    const exchange = this._exchanges.get(effect.request)
    this._exchanges.delete(effect.request)
    exchange?.refuse(effect)
  }

  private _writeLine (effect: LogEffect): void {
    this._options.counters.add(effect.line.decision)
    if (this._options.logDecisions) this.log.info(effect.line)
  }
}
