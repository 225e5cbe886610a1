/** How a new revision or view reaches this entry and goes on from it: from the table, and from peer to peer. */
import type { Outbox } from '../effects.js'
import type { Membership } from '../membership/membership.js'
import type { CatchUp, Fetch, News } from '../membership/messages.js'
import { rowOf, type Member, type Read } from '../membership/tables.js'
import type { Transactions } from '../membership/transactions.js'
import { draw, type Random } from '../random.js'
import type { AcceptedChange, AcceptedDocument, Revisions } from './revisions.js'

/** What the spread is built from. */
export interface SpreadOptions {
  revisions: Revisions
  membership: Membership
  transactions: Transactions
  outbox: Outbox
  random: Random
  /** A revision came into force. */
  adopted: (now: number) => void
}

const PEERS_TOLD = 3
const MOST_CHANGES_READ = 16
const FETCH_GAP_MS = 200
const PULL_GAP_MS = 1000

/** Fetches what is newer and tells a few peers of what is new. */
export class Spread {
  private _reading = false
  private _nextFetchAt = -Infinity
  private _nextPullAt = -Infinity
  private readonly _options: SpreadOptions

  constructor (options: SpreadOptions) {
    this._options = options
  }

  /** Asks some peer now and then while the table service is silent. */
  tick (now: number): void {
    const { membership } = this._options
    if (membership.tableReached(now) || now < this._nextPullAt) return
    this._nextPullAt = now + PULL_GAP_MS
    const peer = draw(this._peers(), this._options.random)
    if (peer) this._send(peer, this._news())
  }

  /** The table's revision, as the last exchange showed it. */
  revisionSeen (revision: number): void {
    if (revision > this._options.revisions.revision && !this._reading) this._read(revision)
  }

  /** Tells a few peers what is in force here. */
  tell (): void {
    const peers = [...this._peers()]
    for (let told = 0; told < PEERS_TOLD && peers.length > 0; told++) {
      const index = Math.floor(this._options.random.next() * peers.length)
      this._send(peers.splice(index, 1)[0]!, this._news())
    }
  }

  /** A peer's revision and view: one of the two may be behind. */
  heard (from: Member, has: { view: number, revision: number }, now: number): void {
    const { revisions, membership } = this._options
    const behind = has.revision > revisions.revision || has.view > membership.view.version
    if (behind && now >= this._nextFetchAt) {
      this._nextFetchAt = now + FETCH_GAP_MS
      if (has.view > membership.view.version && membership.tableReached(now)) membership.hurry(now)
      this._send(from, { kind: 'fetch', view: membership.view.version, revision: revisions.revision })
    }
    if (has.revision < revisions.revision || has.view < membership.view.version) this._answer(from, has)
  }

  /** A change accepted through this entry goes on at once, whether or not the table can still be read. */
  accepted (document: AcceptedDocument, now: number): void {
    this._take([], document, now)
  }

  /** A peer asks for what it lacks. */
  fetched (from: Member, fetch: Fetch): void {
    this._answer(from, fetch)
  }

  /** What a peer had that this entry lacked. */
  caughtUp (message: CatchUp, now: number): void {
    if (message.view) this._options.membership.adopt(message.view, now)
    if (message.changes) this._take(message.changes, undefined, now)
    if (message.document) this._take([], message.document, now)
  }

  private _answer (to: Member, has: { view: number, revision: number }): void {
    const { revisions, membership } = this._options
    const message: CatchUp = { kind: 'catch-up' }
    if (has.view < membership.view.version) message.view = membership.view
    if (has.revision < revisions.revision) {
      message.changes = has.revision > 0 ? revisions.changesAfter(has.revision) : undefined
      if (!message.changes) message.document = revisions.accepted
    }
    if (message.view || message.changes || message.document) this._send(to, message)
  }

  private _read (target: number): void {
    const { revisions, transactions } = this._options
    this._reading = true
    const from = revisions.revision
    const whole = from === 0 || target - from > MOST_CHANGES_READ
    const reads: Read[] = whole ? [{ kind: 'row', table: 'configuration', key: 'document' }] : []
    const last = whole ? from : target
    for (let revision = from + 1; revision <= last; revision++) {
      reads.push({ kind: 'row', table: 'configuration', key: changeKey(revision) })
    }
    transactions.submit([{ conditions: [], writes: [], reads }], (results, now) => {
      this._reading = false
      const result = results?.[0]
      if (!result) return
      const document = rowOf(result, 'configuration', 'document').value as AcceptedDocument | undefined
      const changes = result.rows.filter((row) => row.key !== 'document' && row.value !== undefined)
      this._take(changes.map((row) => row.value as AcceptedChange), document, now)
    })
  }

  private _take (changes: AcceptedChange[], document: AcceptedDocument | undefined, now: number): void {
    const { revisions, outbox } = this._options
    const ordered = [...changes].sort((a, b) => a.revision - b.revision)
    const moved = document ? revisions.adopt(document) : revisions.follow(ordered)
    if (!moved) return
    outbox.log({ decision: 'configuration-adopted', revision: revisions.revision })
    outbox.put({ kind: 'configured', accepted: revisions.accepted! })
    this._options.adopted(now)
    this.tell()
  }

  private _peers (): Member[] {
    const { membership } = this._options
    return membership.view.members.filter((member) => member !== membership.self)
  }

  private _news (): News {
    return { kind: 'news', view: this._options.membership.view.version, revision: this._options.revisions.revision }
  }

  private _send (to: Member, message: News | Fetch | CatchUp): void {
    this._options.outbox.put({ kind: 'send', to, message })
  }
}

/** Key of the row that keeps one accepted change. */
export function changeKey (revision: number): string {
  return `change-${revision}`
}
