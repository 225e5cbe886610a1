/** All decisions of one entry: events go in with the time, effects come out. No clock, socket or timer of its own. */
import { Revisions } from './configuration/revisions.js'
import { Spread } from './configuration/spread.js'
import { Outbox, type Effect } from './effects.js'
import type { Event, ReceivedEvent } from './events.js'
import { Holdings } from './holdings.js'
import { Invariants, type InvariantWatcher } from './invariants.js'
import { Membership, type Identity } from './membership/membership.js'
import type { LeaseTimes } from './membership/lease.js'
import { Ownership } from './membership/ownership.js'
import { Placement } from './membership/placement.js'
import { Transactions } from './membership/transactions.js'
import { EMPTY_VIEW, memberOf } from './membership/view.js'
import type { Random } from './random.js'
import { Claims } from './retries/claims.js'
import { Directory, type Address, type ListChange } from './routing/directory.js'
import { DrawnPeer, type PeerChoice, type PeerChoiceContext } from './routing/peerChoice.js'
import { Router } from './routing/router.js'
import { stopProgress, type StopProgress } from './stopProgress.js'

/** What an entry's core is built from. */
export interface EntryOptions {
  identity: Identity
  times: LeaseTimes
  random: Random
  watcher: InvariantWatcher
  /** How another holder is chosen when this one is full; drawn by capacity unless given. */
  peerChoice?: (context: PeerChoiceContext) => PeerChoice
}

const STEP_GAP_MS = 200
const PROBE_GAP_MS = 250

function drawnPeer (context: PeerChoiceContext): PeerChoice {
  return new DrawnPeer(context)
}

/** Wires the parts of the core together and gives each event to the part that it concerns. */
export class EntryCore {
  readonly invariants: Invariants
  readonly revisions: Revisions
  readonly membership: Membership
  readonly directory: Directory
  readonly router: Router
  readonly holdings: Holdings
  readonly ownership: Ownership
  private readonly _options: EntryOptions
  private readonly _outbox = new Outbox()
  private readonly _transactions = new Transactions(this._outbox)
  private readonly _spread: Spread
  private _nextStepAt = 0
  private _nextProbeAt = 0
  private _told = false
  private _stoppedAt: number | undefined
  private _now = 0

  constructor (options: EntryOptions) {
    this._options = options
    const { identity, random } = options
    const outbox = this._outbox
    const transactions = this._transactions
    this.invariants = new Invariants(options.watcher)
    this.revisions = new Revisions(this.invariants)
    this.membership = new Membership({ identity, times: options.times, outbox, transactions, random, listener: this._listener() })
    this.directory = new Directory(this.revisions, new Placement(EMPTY_VIEW))
    this.holdings = new Holdings({
      directory: this.directory,
      revisions: this.revisions,
      invariants: this.invariants,
      outbox,
      random,
      times: options.times,
      mayDispatch: (now) => this.membership.lease.isValid(now)
    })
    this.ownership = new Ownership({ membership: this.membership, transactions, outbox, listener: this.holdings })
    const claims = new Claims(outbox)
    this.router = new Router({
      revisions: this.revisions,
      holdings: this.holdings,
      claims,
      outbox,
      invariants: this.invariants,
      peers: (options.peerChoice ?? drawnPeer)({ directory: this.directory, random, instance: identity.instance })
    })
    this.holdings.connect(this.ownership, this.router)
    this._spread = new Spread({
      revisions: this.revisions, membership: this.membership, transactions, outbox, random, adopted: (now) => this._configured(now)
    })
  }

  /** Takes one event and returns what is to be done. Time never runs backwards. */
  handle (event: Event, now: number): Effect[] {
    this._now = Math.max(this._now, now)
    this._take(event, this._now)
    return this._outbox.take()
  }

  /** Addresses for callers of a service, or undefined while this entry cannot know. */
  addressesOf (service: string): Address[] | undefined {
    if (!this.membership.lease.isValid(this._now) || !this.revisions.document) return undefined
    return this.directory.addressesOf(service, this._options.random)
  }

  /** Whether requests of a service have to wait here. */
  isBusy (service: string): boolean {
    return (this.holdings.holderOf(service)?.queue.length ?? 0) > 0
  }

  /** How far a planned stop has come. */
  get stopProgress (): StopProgress {
    return stopProgress(this, this._stoppedAt, this._now)
  }

  private _take (event: Event, now: number): void {
    switch (event.kind) {
      case 'tick': return this._tick(now)
      case 'request-arrived': return this.router.arrive(event.request, now)
      case 'request-cancelled': return this.router.cancelled(event.request, now)
      case 'attempt-ended': return this.router.attemptEnded(event.attempt, event.end, now)
      case 'attempt-streaming': return this.router.streaming(event.attempt, now)
      case 'forward-ended': return this.router.forwardEnded(event.attempt, event.end, now)
      case 'claim-answered': return this.router.claimed(event, now)
      case 'transacted': return this._transactions.settle(event.id, event.results, now)
      case 'received': return this._received(event, now)
      case 'listed': return this._listed(event.change, now)
      case 'probed': return this.holdings.probed(event, now)
      case 'peer-gone': return this.membership.peerGone(event.instance, event.incarnation)
      case 'accepted': return this._spread.accepted(event.accepted, now)
      case 'stop': return this._stop(now)
    }
  }

  private _tick (now: number): void {
    this.membership.tick(now)
    this._spread.tick(now)
    if (this.ownership.pending && now >= this._nextStepAt) this._step(now)
    this.router.tick(now)
    this.holdings.tick(now)
    if (now >= this._nextProbeAt) {
      this._nextProbeAt = now + PROBE_GAP_MS
      this.holdings.probe(now)
    }
    this._maybeLeave(now)
    if (this.membership.phase === 'left' && this.router.open === 0 && !this._told) {
      this._told = true
      this._outbox.put({ kind: 'left' })
    }
  }

  private _received (event: ReceivedEvent, now: number): void {
    const from = memberOf(this.membership.view, event.from)
    const message = event.message
    if (message.kind === 'catch-up') return this._spread.caughtUp(message, now)
    if (!from || from.incarnation !== event.incarnation) return this.membership.hurry(now)
    switch (message.kind) {
      case 'promise-request':
        this.membership.answerPromise(from, message, now)
        return this._spread.heard(from, message, now)
      case 'promise':
        this.membership.takePromise(event.from, message)
        return this._spread.heard(from, message, now)
      case 'release-request':
        if (message.view > this.membership.view.version) return this.membership.hurry(now)
        return this.ownership.answerRelease(from, message, this.directory.placement, now)
      case 'release': return this.ownership.takeRelease(message, now)
      case 'ended': return this.holdings.formerEnded(message.server, message.left, now)
      case 'news': return this._spread.heard(from, message, now)
      case 'fetch': return this._spread.fetched(from, message)
    }
  }

  private _listener () {
    const core = this
    return {
      get revision (): number { return core.revisions.revision },
      viewChanged: (now: number) => this._viewChanged(now),
      revisionSeen: (revision: number) => this._spread.revisionSeen(revision),
      leaseLost: (now: number) => this.ownership.loseAll(now)
    }
  }

  private _viewChanged (now: number): void {
    this.directory.replace(new Placement(this.membership.view))
    this._step(now)
    this._spread.tell()
  }

  private _configured (now: number): void {
    this.directory.refresh()
    this.holdings.reconfigure(now)
    this._step(now)
  }

  private _step (now: number): void {
    this._nextStepAt = now + STEP_GAP_MS
    const self = this.membership.self
    const wanted = self?.state === 'confirmed' ? this.directory.shardsOf(self.instance) : []
    this.ownership.step(wanted, now)
  }

  private _listed (change: ListChange, now: number): void {
    this.holdings.listed(change, now)
    this._step(now)
  }

  private _stop (now: number): void {
    this._stoppedAt ??= now
    this.membership.stop(now)
  }

  private _maybeLeave (now: number): void {
    if (this._stoppedAt === undefined || this.membership.phase === 'left') return
    if (stopProgress(this, this._stoppedAt, now) !== 'done') return
    this.ownership.surrender(now)
    this.membership.allowLeave()
  }
}
