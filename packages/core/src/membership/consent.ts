/** Dispatching on without the table service: watchers' consent, asked for, given and taken. */
import type { Outbox } from '../effects.js'
import type { Lease, LeaseTimes } from './lease.js'
import type { PromiseAnswer, PromiseRequest } from './messages.js'
import { PromiseRound } from './promiseRound.js'
import type { Member } from './tables.js'
import { memberOf, promisorsOf, type View } from './view.js'
import type { Watch } from './watch.js'

/** Where the entry stands at this moment. */
export interface Standing {
  view: View
  /** The own row in the view, if it is there. */
  self: Member | undefined
  incarnation: string
  revision: number
}

/** What the consent is built from. */
export interface ConsentOptions {
  lease: Lease
  watch: Watch
  times: LeaseTimes
  outbox: Outbox
}

/** One entry's side of all promises not to evict. */
export class Consent {
  private readonly _gone = new Set<string>()
  private readonly _round: PromiseRound
  private readonly _options: ConsentOptions

  constructor (options: ConsentOptions) {
    this._options = options
    this._round = new PromiseRound(options.lease)
  }

  /** Asks every watcher that may still be there. */
  ask ({ view, self, incarnation, revision }: Standing, now: number): void {
    const { times, outbox } = this._options
    if (!self || now < this._round.nextAt) return
    const asked = promisorsOf(view, self).filter((member) => !this.isGone(member))
    const round = this._round.start(asked.map((member) => member.instance), now, times.renewMs / 2)
    for (const to of asked) {
      outbox.put({ kind: 'send', to, message: { kind: 'promise-request', incarnation, view: view.version, revision, round } })
    }
    if (asked.length === 0) this._round.settleAlone(now, times.termMs)
  }

  /** Promises a watched entry not to evict it for a term, if this entry's word can be true. */
  answer (from: Member, request: PromiseRequest, standing: Standing, now: number): void {
    const { watch, times, outbox } = this._options
    const granted = this._mayPromise(from, request, standing, now)
    if (granted) watch.promise(from.instance, now + times.termMs)
    const { incarnation, round } = request
    const { view, revision } = standing
    outbox.put({
      kind: 'send',
      to: from,
      message: { kind: 'promise', incarnation, round, granted, forMs: granted ? times.termMs : 0, view: view.version, revision }
    })
  }

  /** Takes a watcher's answer. */
  take (from: string, answer: PromiseAnswer, { view, incarnation }: Standing): void {
    if (answer.incarnation !== incarnation || !answer.granted || answer.view !== view.version) return
    this._round.granted(from, answer.round, answer.forMs)
  }

  /** Notes that an incarnation's process has ended. */
  gone (instance: string, incarnation: string): void {
    this._gone.add(`${instance}#${incarnation}`)
  }

  isGone (member: Member): boolean {
    return this._gone.has(`${member.instance}#${member.incarnation}`)
  }

  private _mayPromise (from: Member, request: PromiseRequest, { view, self }: Standing, now: number): boolean {
    if (request.view !== view.version || !self || !this._options.lease.isValid(now)) return false
    if (memberOf(view, from.instance)?.incarnation !== request.incarnation) return false
    return this._options.watch.mayPromise(from.instance)
  }
}
