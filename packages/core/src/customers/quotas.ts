/** Keeps customers within their quotas over all entries: one entry counts the requests of a customer, and the others ask it first. */
import { isLimited, type Customer } from '../configuration/gateway.js'
import type { Member } from '../members/member.js'
import type { MemberOrder } from '../members/roles.js'
import type { PeerMessage, QuotaAnswerMessage, QuotaAskMessage, QuotaRefundMessage } from '../members/peerMessages.js'
import type { QuotaDecision } from './quotaBuckets.js'
import { newQuestion, type Question } from './question.js'
import { QuotaHolder, type QuotaHolderOptions } from './quotaHolder.js'
import { QuotaLender, type QuotaLenderOptions } from './quotaLender.js'

/** Receives the decisions. */
export interface QuotaListener {
  quotaDecided (request: number, customer: string, decision: QuotaDecision, now: number): void
}

/** A request that is counted, to be taken back if it does not run. */
export interface CountedRequest {
  customer: string
  holder: string
  at: number
}

export type QuotasOptions = Omit<QuotaHolderOptions, 'lender'> & QuotaLenderOptions

/** A question without an answer is sent again after this time. */
const RESEND_DELAY_MS = 12
/** A question without an answer is sent to the next candidate after this time, and decided here after LOCAL_DECISION_MS. */
const HOLDER_TIMEOUT_MS = 36
const LOCAL_DECISION_MS = 110
/** A holder that passes a question on decides itself after this time, so that its own answer is not too late. */
const PASSED_TIMEOUT_MS = 20
/** The entry that is asked, the first candidate, and the holder that has not handed over to it yet. */
const MAX_HOPS = 2
/** A holder that did not answer is not asked for this long. */
const HOLDER_BACKOFF_MS = 1000
/** An answer is kept this long, so that a question which is sent once more does not count twice. */
const ANSWER_RETENTION_MS = 500

/** Asks holders for the requests of this entry, and answers for the customers that this entry counts. */
export class Quotas {
  private readonly _options: QuotasOptions
  private readonly _holder: QuotaHolder
  private readonly _questions = new Map<number, Question>()
  private readonly _skippedUntil = new Map<string, number>()
  /** Decisions by the entry and the number of the question, the oldest first. */
  private readonly _answers = new Map<string, { decision: QuotaDecision, at: number }>()
  /** Questions of other entries without a decision. */
  private readonly _open = new Set<string>()
  private _listener!: QuotaListener
  private _refusals = 0
  /** Questions of other entries have negative numbers, those of requests the numbers of the requests. */
  private _lastNumber = 0

  constructor (options: QuotasOptions) {
    this._options = options
    this._holder = new QuotaHolder({ ...options, lender: new QuotaLender(options) })
  }

  /** Sets the listener after construction, since the listener and the quotas refer to each other. */
  connect (listener: QuotaListener): void {
    this._listener = listener
  }

  /** Whether a question waits for an answer. */
  get waiting (): boolean {
    return this._questions.size > 0
  }

  /** Whether this entry counts for others, or is about to. */
  isHolding (now: number): boolean {
    return this._holder.isCollectingAt(now)
  }

  /** Number of customers whose requests this entry counts for others. */
  get kept (): number {
    return this._holder.customerCount
  }

  /** Entries that may count a customer's requests, the preferred one first. */
  candidatesFor (customer: string): MemberOrder {
    return this._holder.candidatesFor(customer)
  }

  /** The fraction of a customer's quota that this entry counts now. */
  fractionOf (customer: string, now: number): number {
    return this._holder.fractionOf(customer, now)
  }

  /** Number of requests that this entry has refused because of a quota. */
  get refusals (): number {
    return this._refusals
  }

  /** Asks whether a request is within its customer's quota. The listener receives the decision. */
  ask (request: number, customer: Customer, now: number): void {
    this._ask(newQuestion(request, customer.name, now), now)
  }

  /** Takes back a request that was within the quota and has not run. */
  refund ({ customer, holder, at }: CountedRequest, now: number): void {
    const { roster, outbox } = this._options
    if (holder === roster.self.instance) return this._holder.refund(customer, now - at, now)
    const member = roster.get(holder)
    if (member) outbox.send(member, { kind: 'quota-refund', customer, ageMs: Math.ceil(now - at) })
  }

  /** Handles a message about quotas from another entry. */
  received (from: Member, message: PeerMessage, now: number): void {
    switch (message.kind) {
      case 'quota-ask': return this._asked(from, message, now)
      case 'quota-answer': return this._answered(from.instance, message, now)
      case 'quota-refund': return this._refunded(message, now)
      case 'quota-collect': return this._holder.collected(from, message, now)
      case 'quota-lend': return this._holder.lent(from, message, now)
      case 'quota-return': return this._holder.returned(from, message, now)
      case 'quota-claim': return this._holder.claimed(from, message, now)
      case 'quota-handover': return this._holder.handedOver(message, now)
    }
  }

  tick (now: number): void {
    this._holder.tick(now)
    for (const [key, { at }] of this._answers) {
      if (now - at < ANSWER_RETENTION_MS) break
      this._answers.delete(key)
    }
    for (const question of [...this._questions.values()]) this._advance(question, now)
  }

  private _advance (question: Question, now: number): void {
    const { stage, sentAt, askedAt, resentAt, asker } = question
    if (stage === 'collecting') {
      if (!this._holder.isCollecting(question.customer, now)) this._decide(question, now)
    } else if (stage === 'passed-on') {
      if (now - sentAt >= PASSED_TIMEOUT_MS) this._passingTimedOut(question, now)
    } else if (!asker && now - askedAt >= LOCAL_DECISION_MS) {
      this._decideAlone(question, now)
    } else if (now - sentAt >= HOLDER_TIMEOUT_MS) {
      this._holderTimedOut(question, now)
    } else if (now - resentAt >= RESEND_DELAY_MS) {
      this._send(question, now)
    }
  }

  private _ask (question: Question, now: number): void {
    const holder = this._candidate(question.customer, now)
    if (!holder) return this._decideAlone(question, now)
    question.stage = 'asked'
    question.sentAt = now
    question.holder = holder.instance
    if (holder.instance === this._options.roster.self.instance) return this._decide(question, now)
    this._questions.set(question.number, question)
    this._send(question, now)
  }

  private _send (question: Question, now: number): void {
    const { number, customer, holder, stage } = question
    question.resentAt = now
    const member = this._options.roster.get(holder)
    const hops = stage === 'passed-on' ? question.hops : undefined
    if (member) this._options.outbox.send(member, { kind: 'quota-ask', ask: number, customer, hops })
  }

  private _holderTimedOut (question: Question, now: number): void {
    this._skip(question, now)
    this._ask(question, now)
  }

  private _passingTimedOut (question: Question, now: number): void {
    this._skip(question, now)
    this._holder.collectReserves(question.customer, now)
    this._decide(question, now)
  }

  private _skip ({ holder, customer }: Question, now: number): void {
    this._skippedUntil.set(holder, now + HOLDER_BACKOFF_MS)
    this._options.outbox.log({ decision: 'quota-holder-silent', instance: holder, customer })
  }

  private _isSkipped (instance: string, now: number): boolean {
    return (this._skippedUntil.get(instance) ?? -Infinity) > now
  }

  /** Decides with the parts that are lent to this entry; before it refuses, it asks a holder that has larger parts. */
  private _decide (question: Question, now: number): void {
    const customer = this._options.declarations.customer(question.customer)
    // An entry that does not know the customer yet leaves the question to others.
    if (!customer && question.asker) return this._forget(question)
    if (!isLimited(customer)) return this._settle(question, { kind: 'within' }, now)
    if (this._holder.tryTake(customer, now)) return this._settle(question, this._counted, now)
    if (this._passOn(question, now)) return
    if (this._holder.isNew(question.customer, now)) this._holder.collectReserves(question.customer, now)
    if (!this._holder.isCollecting(question.customer, now)) return this._refuse(question, customer, now)
    question.stage = 'collecting'
    this._questions.set(question.number, question)
  }

  /** Refuses, unless this entry has no part at all: then the one that has passed the question on decides, which may have parts by now. */
  private _refuse (question: Question, customer: Customer, now: number): void {
    if (question.asker?.isPassedOn && this._holder.fractionOf(question.customer, now) === 0) return this._forget(question)
    this._settle(question, this._holder.refuse(customer, now), now)
  }

  private _passOn (question: Question, now: number): boolean {
    if (question.hops >= MAX_HOPS) return false
    const holder = this._holder.largerHolder(question.customer, now)
    if (holder === undefined || holder === question.asker?.member.instance) return false
    question.hops += 1
    if (this._isSkipped(holder, now)) {
      this._holder.collectReserves(question.customer, now)
      return false
    }
    Object.assign(question, { stage: 'passed-on', holder, sentAt: now })
    this._questions.set(question.number, question)
    this._send(question, now)
    return true
  }

  /** Decides without a holder, with this entry's own part. */
  private _decideAlone (question: Question, now: number): void {
    const customer = this._options.declarations.customer(question.customer)
    if (!isLimited(customer)) return this._settle(question, { kind: 'within' }, now)
    this._settle(question, this._holder.tryTakeAlone(customer, now) ? this._counted : this._holder.refuse(customer, now), now)
  }

  private get _counted (): QuotaDecision {
    return { kind: 'within', holder: this._options.roster.self.instance }
  }

  private _settle (question: Question, decision: QuotaDecision, now: number): void {
    this._forget(question)
    const { asker } = question
    if (asker) {
      this._answers.set(asker.key, { decision, at: now })
      return this._answer(asker.member, asker.ask, decision)
    }
    if (decision.kind === 'exceeded') this._refusals += 1
    this._listener.quotaDecided(question.number, question.customer, decision, now)
  }

  private _forget ({ number, asker }: Question): void {
    this._questions.delete(number)
    if (asker) this._open.delete(asker.key)
  }

  private _asked (from: Member, { ask, customer, hops = 0 }: QuotaAskMessage, now: number): void {
    const key = `${from.instance}|${from.incarnation}|${ask}`
    const answer = this._answers.get(key)
    if (answer) return this._answer(from, ask, answer.decision)
    if (this._open.has(key)) return
    this._open.add(key)
    this._lastNumber -= 1
    this._decide({ ...newQuestion(this._lastNumber, customer, now), asker: { member: from, ask, key, isPassedOn: hops > 0 }, hops }, now)
  }

  private _answer (to: Member, ask: number, decision: QuotaDecision): void {
    const isWithin = decision.kind === 'within'
    const { self } = this._options.roster
    this._options.outbox.send(to, {
      kind: 'quota-answer',
      ask,
      retryAfterMs: isWithin ? undefined : Math.round(decision.retryAfterMs),
      holder: isWithin && decision.holder !== self.instance ? decision.holder : undefined
    })
  }

  private _answered (from: string, { ask, retryAfterMs, holder = from }: QuotaAnswerMessage, now: number): void {
    this._skippedUntil.delete(from)
    const question = this._questions.get(ask)
    if (!question) return
    this._settle(question, retryAfterMs === undefined ? { kind: 'within', holder } : { kind: 'exceeded', retryAfterMs }, now)
  }

  private _refunded ({ customer, ageMs = Infinity }: QuotaRefundMessage, now: number): void {
    this._holder.refund(customer, ageMs, now)
  }

  /** The entry that counts a customer's requests, if one is known that answers. */
  private _candidate (customer: string, now: number): Member | undefined {
    for (const member of this._holder.candidatesFor(customer)) if (!this._isSkipped(member.instance, now)) return member
    return undefined
  }
}
