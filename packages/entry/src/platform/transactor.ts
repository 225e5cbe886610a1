/** Carries out the core's transactions, several at a time, each answered or given up on. */
import { Channel, settle, takeUnless, type Child, type Scope, type Steps } from '@gooseberryspan/csp'
import type { Transaction, TransactionResult } from '@gooseberryspan/core'
import type { TableService } from '@gooseberryspan/platform'

/** Transactions with the core's number for them. */
interface Order {
  id: number
  transactions: Transaction[]
}

const MOST_WAITING = 256

/** A queue of transactions and the processes that work on it. */
export class Transactor {
  private readonly _orders = new Channel<Order>(MOST_WAITING)
  private readonly _tables: TableService
  private readonly _done: (id: number, results: TransactionResult[] | undefined) => void

  constructor (tables: TableService, done: (id: number, results: TransactionResult[] | undefined) => void) {
    this._tables = tables
    this._done = done
  }

  /** Takes an order; one for which there is no room counts as unanswered. */
  submit (id: number, transactions: Transaction[]): void {
    if (!this._orders.offer({ id, transactions })) setImmediate(() => this._done(id, undefined))
  }

  /** One worker; several may run. */
  worker (name: string): Child {
    const transactor = this
    return { name, run: (scope) => transactor._work(scope) }
  }

  private * _work (scope: Scope): Steps<void> {
    while (!scope.stopping.closed) {
      const order = yield * takeUnless(this._orders, scope.stopping)
      if (!order) return
      const result = yield * settle(this._tables.transact(order.transactions))
      this._done(order.id, result.ok ? result.value : undefined)
    }
  }
}
