/** Keeps customers within their quotas over all entries: one entry counts the requests of a customer, and the others ask it first. */
import type { Customer } from '../configuration/gateway.js'
import type { Declarations } from '../configuration/declarations.js'
import type { Outbox } from '../effects.js'
import { hash } from '../hash.js'
import type { Member } from '../members/member.js'
import type { QuotaAnswerMessage, QuotaAskMessage, QuotaRefundMessage } from '../members/peerMessages.js'
import type { Roles } from '../members/roles.js'
import type { Roster } from '../members/roster.js'
import type { Random } from '../random.js'
import { QuotaBuckets, type QuotaDecision } from './quotaBuckets.js'

/** Receives the decisions. */
export interface QuotaListener {
  quotaDecided (request: number, customer: string, decision: QuotaDecision, now: number): void
}

export interface QuotasOptions {
  declarations: Declarations
  roster: Roster
  roles: Roles
  outbox: Outbox
  random: Random
}

/** Customers are divided among this many keepers, so that none has to count for all of a large fleet. */
const GROUPS = 16
/** A question without an answer is sent once more after this time, to the second candidate after the next, and then decided here. */
const RESEND_DELAY_MS = 12
const KEEPER_TIMEOUT_MS = 36
const LOCAL_DECISION_MS = 72
/** A keeper that did not answer is not asked for this long. */
const KEEPER_BACKOFF_MS = 1000
/**
 * A keeper that takes over does not know how much of a burst has been used. It begins with this many requests, a few times less than what
 * deployments tolerate beyond a quota.
 */
const TAKEOVER_TOKENS = 5
/** An entry that reaches no keeper lets so many requests of a customer pass before it counts its part of the rate. */
const UNREACHED_TOKENS = 1

/** An answer is kept this long, so that a question which is sent once more does not count twice. */
const ANSWER_RETENTION_MS = 500

interface Question {
  request: number
  customer: string
  askedAt: number
  sentAt: number
  keeper: string
  resent: boolean
}

/** Asks keepers for the requests of this entry, and answers for the customers that this entry keeps. */
export class Quotas {
  private readonly _options: QuotasOptions
  private readonly _kept = new QuotaBuckets(({ burst = 0 }) => Math.min(burst, TAKEOVER_TOKENS))
  private readonly _unreached = new QuotaBuckets(() => UNREACHED_TOKENS)
  private readonly _questions = new Map<number, Question>()
  private readonly _skippedUntil = new Map<string, number>()
  /** Decisions by the entry and the number of the question, the oldest first. */
  private readonly _answers = new Map<string, { decision: QuotaDecision, at: number }>()
  private _listener!: QuotaListener
  private _refusals = 0

  constructor (options: QuotasOptions) {
    this._options = options
  }

  /** Sets the listener after construction, since the listener and the quotas refer to each other. */
  connect (listener: QuotaListener): void {
    this._listener = listener
  }

  /** Whether a question waits for an answer. */
  get waiting (): boolean {
    return this._questions.size > 0
  }

  /** Number of customers whose requests this entry counts for all entries. */
  get kept (): number {
    return this._kept.size
  }

  /** Number of requests that this entry has refused because of a quota. */
  get refusals (): number {
    return this._refusals
  }

  /** Whether a customer's requests are counted. */
  static isLimited (customer: Customer | undefined): customer is Customer {
    return customer?.ratePerSecond !== undefined && customer.ratePerSecond > 0
  }

  /** Asks whether a request is within its customer's quota. The listener receives the decision. */
  ask (request: number, customer: Customer, now: number): void {
    const question: Question = { request, customer: customer.name, askedAt: now, sentAt: now, keeper: '', resent: false }
    this._questions.set(request, question)
    this._send(question, now)
  }

  /** Takes back a request that was within the quota and has not run. */
  refund (customer: string, now: number): void {
    const { roster, outbox } = this._options
    const keeper = this._keeper(customer, now)
    if (!keeper || keeper.instance === roster.self.instance) return this._kept.refund(customer)
    outbox.send(keeper, { kind: 'quota-refund', customer })
  }

  /** Answers another entry. */
  asked (from: Member, { ask, customer: name }: QuotaAskMessage, now: number): void {
    const key = `${from.instance}|${from.incarnation}|${ask}`
    const decision = this._answers.get(key)?.decision ?? this._decide(this._kept, name, this._keptShare, now)
    if (!this._answers.has(key)) this._answers.set(key, { decision, at: now })
    const retryAfterMs = decision.kind === 'exceeded' ? Math.round(decision.retryAfterMs) : undefined
    this._options.outbox.send(from, { kind: 'quota-answer', ask, retryAfterMs })
  }

  answered (from: string, { ask, retryAfterMs }: QuotaAnswerMessage, now: number): void {
    this._skippedUntil.delete(from)
    const question = this._questions.get(ask)
    if (!question) return
    this._settle(question, retryAfterMs === undefined ? { kind: 'within' } : { kind: 'exceeded', retryAfterMs }, now)
  }

  refunded ({ customer }: QuotaRefundMessage): void {
    this._kept.refund(customer)
  }

  /** Handles the end of a pause of this process, during which another entry has counted. */
  processResumed (): void {
    this._kept.clear()
  }

  tick (now: number): void {
    for (const [key, { at }] of this._answers) {
      if (now - at < ANSWER_RETENTION_MS) break
      this._answers.delete(key)
    }
    for (const question of [...this._questions.values()]) {
      if (now - question.askedAt >= LOCAL_DECISION_MS) this._decideHere(question, now)
      else if (now - question.sentAt >= KEEPER_TIMEOUT_MS) this._askNext(question, now)
      else if (!question.resent && now - question.sentAt >= RESEND_DELAY_MS) this._resend(question)
    }
  }

  private _send (question: Question, now: number): void {
    const { roster, outbox } = this._options
    const keeper = this._keeper(question.customer, now)
    if (!keeper) return this._decideHere(question, now)
    if (keeper.instance === roster.self.instance) {
      return this._settle(question, this._decide(this._kept, question.customer, this._keptShare, now), now)
    }
    question.keeper = keeper.instance
    question.sentAt = now
    outbox.send(keeper, { kind: 'quota-ask', ask: question.request, customer: question.customer })
  }

  private _resend (question: Question): void {
    question.resent = true
    const keeper = this._options.roster.get(question.keeper)
    if (keeper) this._options.outbox.send(keeper, { kind: 'quota-ask', ask: question.request, customer: question.customer })
  }

  private _askNext (question: Question, now: number): void {
    this._skippedUntil.set(question.keeper, now + KEEPER_BACKOFF_MS)
    this._options.outbox.log({ decision: 'quota-keeper-silent', instance: question.keeper, customer: question.customer })
    this._send(question, now)
  }

  /** Decides without a keeper: each entry counts its part of the rate. */
  private _decideHere (question: Question, now: number): void {
    const { most } = this._options.roster
    this._settle(question, this._decide(this._unreached, question.customer, 1 / Math.max(1, most), now), now)
  }

  private _decide (buckets: QuotaBuckets, name: string, share: number, now: number): QuotaDecision {
    const customer = this._options.declarations.customer(name)
    return Quotas.isLimited(customer) ? buckets.take(customer, share, now) : { kind: 'within' }
  }

  private _settle (question: Question, decision: QuotaDecision, now: number): void {
    this._questions.delete(question.request)
    if (decision.kind === 'exceeded') this._refusals += 1
    this._listener.quotaDecided(question.request, question.customer, decision, now)
  }

  /** A keeper that does not see a majority of the entries counts the part of the rate that belongs to those it sees. */
  private get _keptShare (): number {
    const { alive, most } = this._options.roster
    return alive.length * 2 > most ? 1 : alive.length / most
  }

  /** The entry that counts a customer's requests, if one is known that answers. */
  private _keeper (customer: string, now: number): Member | undefined {
    for (const member of this._options.roles.keepersOf(`quota ${hash(customer) % GROUPS}`)) {
      if ((this._skippedUntil.get(member.instance) ?? -Infinity) <= now) return member
    }
    return undefined
  }
}
