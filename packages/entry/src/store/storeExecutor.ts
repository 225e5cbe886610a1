/** Executes the core's store operations. Each table read reports exactly one result: the rows, the changes or the reason of a failure. */
import { Channel, awaitPromise, takeUnlessClosed, type Child, type Scope, type ProcessBody } from '@gooseberryspan/csp'
import {
  EMPTY_ADDRESS_BOOK, TABLES, type AddressBook, type ReadTableEffect, type RolloutStatus, type TableName, type TableReadResult,
  type WriteRolloutEffect
} from '@gooseberryspan/core'
import { StoreUnavailable, type RowName, type Store } from '@gooseberryspan/store'
import { ADDRESS_BOOK_ROW, decodeAddressBook, encodeAddressBook } from './addressBookRow.js'

/** Options of a `StoreExecutor`. */
export interface StoreExecutorOptions {
  store: Store
  /** Receives the result of each table read. */
  read: (table: TableName, reading: TableReadResult) => void
  /** Receives the registered entries. */
  found: (book: AddressBook) => void
  /** Name and text of the row in which operators read the status of a service's roll-out. */
  rolloutStatusRow: (service: string, status: RolloutStatus) => RowName & { value: string }
  /** Receives the end of each write of a roll-out's record. */
  rolloutWritten: (service: string, isDone: boolean) => void
  /** Receives the error of each operation that failed. */
  failed: (call: string, error: Error) => void
}

const MAX_QUEUED_TASKS = 8

/** Runs the processes that execute the core's store operations. */
export class StoreExecutor {
  private readonly _options: StoreExecutorOptions
  private readonly _readRequests = new Map<TableName, Channel<ReadTableEffect>>()
  private readonly _tasks = new Channel<() => Promise<void>>(MAX_QUEUED_TASKS)

  constructor (options: StoreExecutorOptions) {
    this._options = options
    for (const table of TABLES) this._readRequests.set(table, new Channel(1))
  }

  /** Schedules a read of a table. Reports the table as unavailable if a read of it is still queued. */
  read (effect: ReadTableEffect): void {
    if (this._readRequests.get(effect.table)!.offer(effect)) return
    setImmediate(() => this._options.read(effect.table, { kind: 'unavailable', reason: 'the last reading has not ended' }))
  }

  /** Reads the registered entries. */
  findEntries (): void {
    this._tasks.offer(async () => {
      const row = await this._options.store.readRow(ADDRESS_BOOK_ROW)
      const book = row?.value === undefined ? undefined : decodeAddressBook(row.value)
      this._options.found(book ?? EMPTY_ADDRESS_BOOK)
    })
  }

  /** Registers the entries. */
  registerEntries (book: AddressBook): void {
    this._tasks.offer(async () => {
      const put = { ...ADDRESS_BOOK_ROW, value: encodeAddressBook(book) }
      await this._options.store.transact({ conditions: [], puts: [put], removes: [] })
    })
  }

  /** Writes the record of a roll-out and its status, if nobody has changed the record meanwhile. */
  writeRollout ({ service, expectedVersion, value, status }: WriteRolloutEffect): void {
    const { store, rolloutStatusRow, rolloutWritten } = this._options
    const record = { table: 'rollouts', key: service }
    const isQueued = this._tasks.offer(async () => {
      try {
        await store.transact({
          conditions: [{ ...record, version: expectedVersion }],
          puts: [{ ...record, value }, rolloutStatusRow(service, status)],
          removes: []
        })
        rolloutWritten(service, true)
      } catch (error) {
        rolloutWritten(service, false)
        throw error
      }
    })
    if (!isQueued) setImmediate(() => rolloutWritten(service, false))
  }

  /** Returns one process per table and one for all other operations. */
  workers (): Child[] {
    const executor = this
    const readers = [...this._readRequests].map(([table, channel]): Child => ({
      name: `store-${table}`, run: (scope) => executor._processReads(scope, channel)
    }))
    return [...readers, { name: 'store-errands', run: (scope) => executor._runTasks(scope) }]
  }

  private * _processReads (scope: Scope, channel: Channel<ReadTableEffect>): ProcessBody<void> {
    while (!scope.stopping.closed) {
      const effect = yield * takeUnlessClosed(channel, scope.stopping)
      if (!effect) return
      const result = yield * awaitPromise(this._readTable(effect))
      if (!result.ok && scope.stopping.closed) return
      if (!result.ok) this._options.failed(`read ${effect.table}`, result.error as Error)
      this._options.read(effect.table, result.ok ? result.value : unavailable(result.error))
    }
  }

  private async _readTable ({ table, after, waitMs }: ReadTableEffect): Promise<TableReadResult> {
    if (after === undefined) return { kind: 'whole', ...await this._options.store.readAll(table) }
    const changes = await this._options.store.waitForChanges(table, after, waitMs)
    return changes.kind === 'changes' ? { ...changes, from: after } : changes
  }

  private * _runTasks (scope: Scope): ProcessBody<void> {
    while (!scope.stopping.closed) {
      const task = yield * takeUnlessClosed(this._tasks, scope.stopping)
      if (!task) return
      const result = yield * awaitPromise(task())
      if (!result.ok && scope.stopping.closed) return
      if (!result.ok) this._options.failed('errand', result.error as Error)
    }
  }
}

function unavailable (error: unknown): TableReadResult {
  return { kind: 'unavailable', reason: String(error), isRefusal: error instanceof StoreUnavailable && error.isRefusal }
}
