/** Removes instances that an operator knows to be lost. */
import { evictionTransaction, readMember } from '@gooseberryspan/core'
import type { TableService } from './services.js'

/** What became of an eviction. */
export type EvictionOutcome = 'evicted' | 'unknown-instance' | 'raced'

const TRIES = 5

/** The members' rows in the table service. */
export class MemberStore {
  private readonly _tables: TableService

  constructor (tables: TableService) {
    this._tables = tables
  }

  /** Evicts an instance. Its process must have ended: it is not asked, and its lease is not waited for. */
  async evict (instance: string): Promise<EvictionOutcome> {
    for (let tries = 0; tries < TRIES; tries++) {
      const read = (await this._tables.transact([readMember(instance)]))[0]!
      const transaction = evictionTransaction(read, instance)
      if (!transaction) return tries === 0 ? 'unknown-instance' : 'evicted'
      if ((await this._tables.transact([transaction]))[0]!.committed) return 'evicted'
    }
    return 'raced'
  }
}
