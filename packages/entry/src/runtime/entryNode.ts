/** Passes events with their time to the core and executes the effects that the core returns. */
import type { Logger } from 'pino'
import type { DecisionLine, Effect, EntryCore, Event, PeerStateQuery, PeerState, RegisteredServer } from '@gooseberryspan/core'
import type { Answer } from '../backend/answer.js'
import type { BackendClient } from '../backend/backendClient.js'
import type { ProbeClient, ProbeResult } from '../backend/probeClient.js'
import type { Exchange } from '../caller/exchange.js'
import type { KeyCurrency, ResolveContext } from '../caller/resolve.js'
import type { Dialect } from '../dialect.js'
import type { Envelope } from '../peers/datagramCodec.js'
import type { DatagramPort } from '../peers/datagramPort.js'
import type { PeerClient } from '../peers/peerClient.js'
import type { ServerStatement } from '../serverStatement.js'
import type { StoreExecutor } from '../store/storeExecutor.js'
import { statusOf, type ControlTraffic, type Status } from './status.js'

/** Records each event with the time at which the core received it. */
export interface Recorder {
  record (event: Event, now: number): void
}

/** Receives every decision, with the duration of the request where it applies. */
export interface DecisionObserver {
  onDecision (line: DecisionLine): void
}

/** Options of an `EntryNode`. */
export interface NodeOptions {
  core: EntryCore
  dialect: Dialect
  log: Logger
  /** Whether each decision is logged. */
  logDecisions: boolean
  now: () => number
  decisionObserver: DecisionObserver
  /** Time after which keys that this entry could not confirm are not served any more, in milliseconds; Infinity if they are. */
  revokeMs: number
  recorder?: Recorder
}

/** The components that execute the core's effects. */
export interface EffectHandlers {
  backends: BackendClient
  probes: ProbeClient
  datagrams: DatagramPort
  peers: PeerClient
  store: StoreExecutor
  control: () => ControlTraffic
  /** Called when a configuration takes effect. */
  configured: () => void
  /** Called when this entry has left the other entries and may exit. */
  left: () => void
  /** Called with an unexpected error in the core, and the kind of the event that was lost to it. */
  failed: (kind: Event['kind'], error: unknown) => void
  /** Called after each event, since the core may need its next tick sooner than planned. */
  rescheduleTick: () => void
}

/** Longer than a change takes to reach an entry that is connected. */
const STALE_KEYS_MS = 2500

/** Connects the core of one entry to the components that receive requests, send messages and read the store. */
export class EntryNode {
  readonly core: EntryCore
  readonly dialect: Dialect
  readonly log: Logger
  private readonly _options: NodeOptions
  private readonly _exchanges = new Map<number, Exchange>()
  private readonly _answers = new Map<number, Answer>()
  private readonly _answeredAttempts = new Map<number, number[]>()
  private readonly _pendingEvents: Event[] = []
  private _handlers!: EffectHandlers
  private _handling = false
  private _lastRequestId = 0
  private _lastEvent: Event['kind'] | undefined

  constructor (options: NodeOptions) {
    this._options = options
    this.core = options.core
    this.dialect = options.dialect
    this.log = options.log
  }

  /** Sets the effect handlers. They are set after construction because they need a reference to this node. */
  connect (handlers: EffectHandlers): void {
    this._handlers = handlers
  }

  get now (): number {
    return this._options.now()
  }

  /** Whether callers may be directed to this entry. */
  get ready (): boolean {
    return this.core.phase === 'ready'
  }

  /** Whether callers' connections should be closed after the current answer. */
  get closing (): boolean {
    return this.core.phase === 'leaving'
  }

  /** Whether this entry still accepts requests. */
  get acceptsRequests (): boolean {
    return this.core.acceptsRequests(this.now)
  }

  /** Number of requests that have no outcome yet. */
  get open (): number {
    return this._exchanges.size
  }

  /** Kind of the event that the core received last. */
  get lastEvent (): Event['kind'] | undefined {
    return this._lastEvent
  }

  status (): Status {
    return statusOf(this.core, this.now, this._handlers.control(), this.open)
  }

  resolveContext (): ResolveContext {
    const { declarations, weightedPicker, roster } = this.core
    return {
      declarations,
      weightedPicker,
      dialect: this.dialect,
      nextId: () => {
        this._lastRequestId += 1
        return this._lastRequestId
      },
      keysAreCurrent: () => this._keyCurrency(),
      generateLabel: (id) => `${roster.self.instance}-${id}`
    }
  }

  private _keyCurrency (): KeyCurrency {
    const now = this.now
    const ageMs = now - this.core.replication.replicaOf('declarations').confirmedAt
    if (ageMs > this._options.revokeMs) return 'expired'
    return ageMs > STALE_KEYS_MS ? 'stale' : 'current'
  }

  /** Starts a caller's request. */
  acceptRequest (exchange: Exchange): void {
    this._exchanges.set(exchange.spec.id, exchange)
    this.handle({ kind: 'request-arrived', request: exchange.spec })
  }

  /** Counts and logs a decision that was made outside the core. */
  report (line: DecisionLine): void {
    this._reportDecision(line)
  }

  callerDisconnected (request: number): void {
    if (this._exchanges.has(request)) this.handle({ kind: 'caller-left', request })
  }

  received ({ from, incarnation, messages }: Envelope): void {
    for (const message of messages) this.handle({ kind: 'received', from, incarnation, message })
  }

  /** Returns the state that another entry queries. */
  stateFor (query: PeerStateQuery): PeerState {
    return this.core.stateFor(query, this.now)
  }

  /** Processes an event. An event that arises while effects are being executed is queued until they are done. */
  handle (event: Event): void {
    this._pendingEvents.push(event)
    if (this._handling) return
    this._handling = true
    try {
      for (let next = this._pendingEvents.shift(); next; next = this._pendingEvents.shift()) this._handleOne(next)
    } finally {
      this._handling = false
      this._handlers.datagrams.flush()
      this._handlers.rescheduleTick()
    }
  }

  private _handleOne (event: Event): void {
    const now = this.now
    this._lastEvent = event.kind
    this._options.recorder?.record(event, now)
    for (const effect of this._decide(event, now)) this._perform(effect)
  }

  /** An unexpected error in the core costs the event. What the core had decided before still takes effect. */
  private _decide (event: Event, now: number): Effect[] {
    try {
      return this.core.handle(event, now)
    } catch (error) {
      this._handlers.failed(event.kind, error)
      if (event.kind === 'request-arrived') {
        this._exchanges.get(event.request.id)?.abort()
        this._discardRequest(event.request.id)
      }
      return this.core.takeEffects()
    }
  }

  /** Executes an effect. If that fails, only the request or probe that the effect belongs to ends. */
  private _perform (effect: Effect): void {
    try {
      this._execute(effect)
    } catch (error) {
      this._reportFailure(effect, error as NodeJS.ErrnoException)
      this._endFailed(effect)
    }
  }

  private _reportFailure (effect: Effect, error: NodeJS.ErrnoException): void {
    const exchange = 'request' in effect ? this._exchanges.get(effect.request) : undefined
    const reason = `${effect.kind}: ${error.code ?? error.name}`
    const line: DecisionLine = { decision: 'effect-failed', request: exchange?.spec.label, reason }
    this._options.decisionObserver.onDecision(line)
    this.log.error({ ...line, err: error })
  }

  private _endFailed (effect: Effect): void {
    switch (effect.kind) {
      // The server may have received the request before the error occurred.
      case 'dispatch':
        this._handlers.backends.cancel(effect.attempt)
        return this.handle({ kind: 'attempt-ended', attempt: effect.attempt, report: { outcome: 'lost', tookMs: 0 } })
      case 'answer':
      case 'refuse':
        this._exchanges.get(effect.request)?.abort()
        return this._discardRequest(effect.request)
      case 'probe': return this._probed(effect.server, {})
    }
  }

  private _probed (server: RegisteredServer, { statement, ...result }: ProbeResult): void {
    if (statement) this._stated(server, statement)
    this.handle({ kind: 'probed', server: server.id, service: server.service, ...result })
  }

  private _stated ({ id: server, incarnation, service }: RegisteredServer, { unreadable, ...statement }: ServerStatement): void {
    if (unreadable !== undefined) this.log.info({ decision: 'statement-unreadable', server, reason: unreadable })
    const { leaving, holdMs, limitPerSecond } = statement
    if (!leaving && holdMs === undefined && limitPerSecond === undefined) return
    this.handle({ kind: 'server-stated', server, incarnation, service, ...statement })
  }

  private _execute (effect: Effect): void {
    switch (effect.kind) {
      case 'log': return this._reportDecision(effect.line)
      case 'dispatch': return this._dispatch(effect)
      case 'answer': return this._answer(effect.request, effect.attempt)
      case 'refuse': return this._refuse(effect)
      case 'discard': return this._discardRequest(effect.request)
      case 'cancel':
        this._answers.delete(effect.attempt)
        return this._handlers.backends.cancel(effect.attempt)
      case 'send': return this._handlers.datagrams.send(effect.to, effect.message)
      case 'greet': return this._handlers.datagrams.sendTo(effect, effect.message)
      case 'probe': return this._handlers.probes.probe(effect.server, (result) => this._probed(effect.server, result))
      case 'disconnect': return this._handlers.backends.disconnect(effect.server)
      case 'read-table': return this._handlers.store.read(effect)
      case 'find-entries': return this._handlers.store.findEntries()
      case 'register-entries': return this._handlers.store.registerEntries(effect.book)
      case 'write-rollout': return this._handlers.store.writeRollout(effect)
      case 'pull': return this._pull(effect.host, effect.port)
      case 'configured': return this._handlers.configured()
      case 'left': return this._handlers.left()
    }
  }

  private _dispatch (effect: Extract<Effect, { kind: 'dispatch' }>): void {
    const { attempt, request } = effect
    const exchange = this._exchanges.get(request)
    if (!exchange) return this.handle({ kind: 'attempt-ended', attempt, report: { outcome: 'unused', tookMs: 0 } })
    this._handlers.backends.dispatch(effect, exchange, {
      whole: (answer) => this._keepAnswer(request, attempt, answer),
      large: (answer, done) => this._stream(attempt, exchange, answer, done),
      stated: (statement) => this._stated(effect.server, statement),
      ended: (report, status) => this.handle({ kind: 'attempt-ended', attempt, report, status })
    })
  }

  /** Keeps each answer until its request ends: an error answer may turn out to be the best one available. */
  private _keepAnswer (request: number, attempt: number, answer: Answer): void {
    if (!this._exchanges.has(request)) return
    this._answers.set(attempt, answer)
    const attempts = this._answeredAttempts.get(request)
    if (attempts) attempts.push(attempt)
    else this._answeredAttempts.set(request, [attempt])
  }

  /** Streams an answer to the caller. The core then cancels the other attempts of the request. */
  private _stream (attempt: number, exchange: Exchange, answer: Answer, done: (whole: boolean) => void): void {
    this.handle({ kind: 'attempt-streaming', attempt })
    exchange.stream(answer, done)
  }

  private _answer (request: number, attempt: number): void {
    const answer = this._answers.get(attempt)
    if (answer) this._exchanges.get(request)?.answer(answer)
    this._discardRequest(request)
  }

  private _refuse (effect: Extract<Effect, { kind: 'refuse' }>): void {
    this._exchanges.get(effect.request)?.refuse(effect)
    this._discardRequest(effect.request)
  }

  private _discardRequest (request: number): void {
    this._exchanges.get(request)?.hold.release()
    this._exchanges.delete(request)
    for (const attempt of this._answeredAttempts.get(request) ?? []) this._answers.delete(attempt)
    this._answeredAttempts.delete(request)
  }

  private _pull (host: string, port: number): void {
    void this._handlers.peers.pull(host, port, this.core.stateQuery).then((state) => this.handle({ kind: 'pulled', state }))
  }

  private _reportDecision (line: DecisionLine): void {
    this._options.decisionObserver.onDecision(line)
    if (this._options.logDecisions) this.log.info(line)
  }
}
