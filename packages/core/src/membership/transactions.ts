/** Keeps what should happen when a transaction is answered, or is given up on. */
import type { Outbox } from '../effects.js'
import type { Transaction, TransactionResult } from './tables.js'

/** Told the results in order, or undefined when no answer came: each may or may not have taken effect. */
export type Settlement = (results: TransactionResult[] | undefined, now: number) => void

/** Submits transactions as effects and settles them by their number. */
export class Transactions {
  private readonly _pending = new Map<number, Settlement>()
  private readonly _outbox: Outbox
  private _last = 0

  constructor (outbox: Outbox) {
    this._outbox = outbox
  }

  submit (transactions: Transaction[], settle: Settlement): void {
    this._last += 1
    this._pending.set(this._last, settle)
    this._outbox.put({ kind: 'transact', id: this._last, transactions })
  }

  settle (id: number, results: TransactionResult[] | undefined, now: number): void {
    const settlement = this._pending.get(id)
    this._pending.delete(id)
    settlement?.(results, now)
  }
}
