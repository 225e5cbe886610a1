/** Claims for idempotency keys: many in one exchange with the table service, each settled by its own id. */
import { Channel, settle, takeUnless, sleepUnless, type Child, type Scope, type Steps } from '@gooseberryspan/csp'
import type { ClaimResult, ClaimRow, Row, Transaction, TransactionResult } from '@gooseberryspan/core'
import type { TableService } from '@gooseberryspan/platform'

/** What the ledger is built from. */
export interface LedgerOptions {
  tables: TableService
  instance: string
  /** A new unique id. */
  newId: () => string
  /** Wall clock in milliseconds since 1970. */
  wallClock: () => number
  answered: (request: number, result: ClaimResult, earlier?: ClaimRow['outcome']) => void
}

/** A claim asked for, or one to be settled. */
interface Order {
  request: number
  key: string
  claimId: string
  /** Version of the row it rests on, once that is known; 0 for a row that is not there. */
  version?: number
  outcome: ClaimRow['outcome']
}

/** A claim that was granted. */
interface Held {
  claimId: string
  version: number
}

const MOST_WAITING = 1024
const MOST_AT_ONCE = 64
/** Gaps between exchanges, so that the table service's budget is kept however many keys there are. */
const CLAIM_GAP_MS = 40
const OUTCOME_GAP_MS = 100
const SETTLE_TRIES = 5
const TRY_GAP_MS = 200

/** Writes claims before their requests run and their outcomes afterwards. */
export class ClaimLedger {
  private readonly _claims = new Channel<Order>(MOST_WAITING)
  private readonly _outcomes = new Channel<Order>(MOST_WAITING)
  private readonly _held = new Map<number, Held>()
  private readonly _options: LedgerOptions

  constructor (options: LedgerOptions) {
    this._options = options
  }

  /** Asks for a key. */
  claim (request: number, service: string, key: string): void {
    const order: Order = { request, key: `${service}/${key}`, claimId: this._options.newId(), outcome: 'claimed' }
    if (!this._claims.offer(order)) setImmediate(() => this._options.answered(request, 'unavailable'))
  }

  /** Writes how a claimed request ended. */
  settle (request: number, service: string, key: string, outcome: ClaimRow['outcome']): void {
    const held = this._held.get(request)
    this._held.delete(request)
    if (held) this._outcomes.offer({ request, key: `${service}/${key}`, claimId: held.claimId, version: held.version, outcome })
  }

  /** Asks for the claims that wait. */
  claimWorker (name: string): Child {
    const ledger = this
    return { name, run: (scope) => ledger._work(scope, ledger._claims, CLAIM_GAP_MS, (orders) => ledger._ask(orders)) }
  }

  /** Writes the outcomes that wait. */
  outcomeWorker (name: string): Child {
    const ledger = this
    return { name, run: (scope) => ledger._work(scope, ledger._outcomes, OUTCOME_GAP_MS, (orders) => ledger._write(orders, scope)) }
  }

  private * _work (scope: Scope, queue: Channel<Order>, gapMs: number, act: (orders: Order[]) => Steps<void>): Steps<void> {
    while (!scope.stopping.closed) {
      const first = yield * takeUnless(queue, scope.stopping)
      if (!first) return
      const orders = [first]
      for (let next = queue.poll(); next && orders.length < MOST_AT_ONCE; next = queue.poll()) orders.push(next)
      yield * act(orders)
      yield * sleepUnless(gapMs, scope.stopping)
    }
  }

  private * _ask (orders: Order[]): Steps<void> {
    const first = yield * settle(this._options.tables.transact(orders.map((order) => this._claimTransaction(order, 0))))
    if (!first.ok) return yield * this._readBack(orders)
    const retries: Array<{ order: Order, version: number }> = []
    for (const [index, order] of orders.entries()) {
      const row = rowIn(first.value[index])
      if (isFree(row)) retries.push({ order, version: row!.version })
      else this._answer(order, row)
    }
    if (retries.length > 0) yield * this._takeFreed(retries)
  }

  /** A key whose earlier request did not run may be claimed over its row. */
  private * _takeFreed (retries: Array<{ order: Order, version: number }>): Steps<void> {
    const transactions = retries.map(({ order, version }) => this._claimTransaction(order, version))
    const second = yield * settle(this._options.tables.transact(transactions))
    if (!second.ok) return yield * this._readBack(retries.map(({ order }) => order))
    for (const [index, { order }] of retries.entries()) this._answer(order, rowIn(second.value[index]))
  }

  /** The write was not answered: the row tells whose claim it is. */
  private * _readBack (orders: Order[]): Steps<void> {
    const reads = orders.map((order) => ({ conditions: [], writes: [], reads: [readOf(order.key)] }))
    const result = yield * settle(this._options.tables.transact(reads))
    for (const [index, order] of orders.entries()) {
      const row = result.ok ? rowIn(result.value[index]) : undefined
      if ((row?.value as ClaimRow | undefined)?.claimId === order.claimId) {
        this._answer(order, row)
        continue
      }
      this._options.answered(order.request, row?.value ? 'duplicate' : 'unavailable')
      this._outcomes.offer({ ...order, version: undefined, outcome: 'not-run' })
    }
  }

  /** Writes outcomes over the claims' rows; where a row's version is not known, it is read first. */
  private * _write (orders: Order[], scope: Scope): Steps<void> {
    let left = orders
    for (let tries = 0; tries < SETTLE_TRIES && left.length > 0; tries++) {
      if (tries > 0 && !(yield * sleepUnless(TRY_GAP_MS * 2 ** tries, scope.stopping))) return
      const known = left.some((order) => order.version === undefined) ? yield * this._withVersions(left) : left
      if (!known) continue
      const written = yield * settle(this._options.tables.transact(known.map((order) => this._claimTransaction(order, order.version ?? 0))))
      left = written.ok ? [] : known.map((order) => ({ ...order, version: undefined }))
    }
  }

  /** The orders whose rows are still their own, with the rows' versions. */
  private * _withVersions (orders: Order[]): Steps<Order[] | undefined> {
    const reads = orders.map((order) => ({ conditions: [], writes: [], reads: [readOf(order.key)] }))
    const result = yield * settle(this._options.tables.transact(reads))
    if (!result.ok) return undefined
    const known: Order[] = []
    for (const [index, order] of orders.entries()) {
      const row = rowIn(result.value[index])
      if ((row?.value as ClaimRow | undefined)?.claimId === order.claimId) known.push({ ...order, version: row!.version })
    }
    return known
  }

  private _claimTransaction (order: Order, version: number): Transaction {
    const value: ClaimRow = {
      claimId: order.claimId, instance: this._options.instance, outcome: order.outcome, at: this._options.wallClock()
    }
    return {
      conditions: [{ table: 'claims', key: order.key, version }],
      writes: [{ table: 'claims', key: order.key, value }],
      reads: [readOf(order.key)]
    }
  }

  private _answer (order: Order, row: Row | undefined): void {
    const own = (row?.value as ClaimRow | undefined)?.claimId === order.claimId
    if (own) this._held.set(order.request, { claimId: order.claimId, version: row!.version })
    if (own) return this._options.answered(order.request, 'claimed')
    this._options.answered(order.request, 'duplicate', (row?.value as ClaimRow | undefined)?.outcome)
  }
}

function readOf (key: string) {
  return { kind: 'row' as const, table: 'claims' as const, key }
}

function rowIn (result: TransactionResult | undefined): Row | undefined {
  return result?.rows.find((row) => row.table === 'claims')
}

function isFree (row: Row | undefined): boolean {
  return (row?.value as ClaimRow | undefined)?.outcome === 'not-run'
}
