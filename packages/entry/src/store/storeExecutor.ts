/** Executes the core's store operations. Each table read reports exactly one result: the rows, the changes or the reason of a failure. */
import { Channel, awaitPromise, takeUnlessClosed, type Child, type Scope, type ProcessBody } from '@gooseberryspan/csp'
import type { PeerAddress, ReadTableEffect, TableName, TableReadResult } from '@gooseberryspan/core'
import type { Store } from '@gooseberryspan/store'

/** Options of a `StoreExecutor`. */
export interface StoreExecutorOptions {
  store: Store
  /** Receives the result of each table read. */
  read: (table: TableName, reading: TableReadResult) => void
  /** Receives the address of the change-feed leader. */
  found: (address: PeerAddress) => void
  /** Receives the error of each operation that failed. */
  failed: (call: string, error: Error) => void
}

/** Row in which the change-feed leader stores its address, for entries that start while no seed is reachable. */
const WATCHER_ROW = { table: 'watchers', key: 'current' } as const
const MAX_QUEUED_TASKS = 8

/** Runs the processes that execute the core's store operations. */
export class StoreExecutor {
  private readonly _options: StoreExecutorOptions
  private readonly _readRequests = new Map<TableName, Channel<ReadTableEffect>>()
  private readonly _tasks = new Channel<() => Promise<void>>(MAX_QUEUED_TASKS)

  constructor (options: StoreExecutorOptions) {
    this._options = options
    for (const table of ['declarations', 'servers'] as const) this._readRequests.set(table, new Channel(1))
  }

  /** Schedules a read of a table. Reports the table as unavailable if a read of it is still queued. */
  read (effect: ReadTableEffect): void {
    if (this._readRequests.get(effect.table)!.offer(effect)) return
    setImmediate(() => this._options.read(effect.table, { kind: 'unavailable', reason: 'the last reading has not ended' }))
  }

  /** Reads the address of the change-feed leader. */
  findWatcher (): void {
    this._tasks.offer(async () => {
      const row = await this._options.store.readRow(WATCHER_ROW)
      const address = row?.value === undefined ? undefined : parseAddress(row.value)
      if (address) this._options.found(address)
    })
  }

  /** Writes the address of this entry as that of the change-feed leader. */
  nameWatcher (address: PeerAddress): void {
    this._tasks.offer(async () => {
      await this._options.store.transact({ conditions: [], puts: [{ ...WATCHER_ROW, value: JSON.stringify(address) }], removes: [] })
    })
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
      if (!result.ok) this._options.failed(`read ${effect.table}`, result.error as Error)
      this._options.read(effect.table, result.ok ? result.value : { kind: 'unavailable', reason: String(result.error) })
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
      if (!result.ok) this._options.failed('errand', result.error as Error)
    }
  }
}

function parseAddress (text: string): PeerAddress | undefined {
  try {
    const { host, port } = JSON.parse(text) as Partial<PeerAddress>
    return typeof host === 'string' && typeof port === 'number' ? { host, port } : undefined
  } catch {
    return undefined
  }
}
