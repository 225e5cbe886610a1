/** Reads the store for the core: each reading is answered once, with what it brought or why it brought nothing. */
import { Channel, settle, takeUnless, type Child, type Scope, type Steps } from '@gooseberryspan/csp'
import type { PeerAddress, ReadTableEffect, TableName, TableReading } from '@gooseberryspan/core'
import type { Store } from '@gooseberryspan/store'

/** What the desk is built from. */
export interface StoreDeskOptions {
  store: Store
  read: (table: TableName, reading: TableReading) => void
  found: (address: PeerAddress) => void
  failed: (call: string, error: Error) => void
}

/** Where the entry that watches the store writes its address, for entries that start while no seed lives. */
const WATCHER_ROW = { table: 'watchers', key: 'current' } as const
const MOST_WAITING = 8

/** Processes that work on what the core wants of the store. */
export class StoreDesk {
  private readonly _options: StoreDeskOptions
  private readonly _readings = new Map<TableName, Channel<ReadTableEffect>>()
  private readonly _errands = new Channel<() => Promise<void>>(MOST_WAITING)

  constructor (options: StoreDeskOptions) {
    this._options = options
    for (const table of ['declarations', 'servers'] as const) this._readings.set(table, new Channel(1))
  }

  /** Has a table read. */
  read (effect: ReadTableEffect): void {
    if (this._readings.get(effect.table)!.offer(effect)) return
    setImmediate(() => this._options.read(effect.table, { kind: 'unavailable', reason: 'the last reading has not ended' }))
  }

  /** Looks which entry watches the store. */
  findWatcher (): void {
    this._errands.offer(async () => {
      const row = await this._options.store.readRow(WATCHER_ROW)
      const address = row?.value === undefined ? undefined : addressOf(row.value)
      if (address) this._options.found(address)
    })
  }

  /** Writes that this entry watches the store. */
  nameWatcher (address: PeerAddress): void {
    this._errands.offer(async () => {
      await this._options.store.transact({ conditions: [], puts: [{ ...WATCHER_ROW, value: JSON.stringify(address) }], removes: [] })
    })
  }

  /** One process for each table, and one for the rest. */
  workers (): Child[] {
    const desk = this
    const readers = [...this._readings].map(([table, channel]): Child => ({
      name: `store-${table}`, run: (scope) => desk._readAll(scope, channel)
    }))
    return [...readers, { name: 'store-errands', run: (scope) => desk._runErrands(scope) }]
  }

  private * _readAll (scope: Scope, channel: Channel<ReadTableEffect>): Steps<void> {
    while (!scope.stopping.closed) {
      const effect = yield * takeUnless(channel, scope.stopping)
      if (!effect) return
      const result = yield * settle(this._reading(effect))
      if (!result.ok) this._options.failed(`read ${effect.table}`, result.error as Error)
      this._options.read(effect.table, result.ok ? result.value : { kind: 'unavailable', reason: String(result.error) })
    }
  }

  private async _reading ({ table, after, waitMs }: ReadTableEffect): Promise<TableReading> {
    if (after === undefined) return { kind: 'whole', ...await this._options.store.readAll(table) }
    const changes = await this._options.store.follow(table, after, waitMs)
    return changes.kind === 'changes' ? { ...changes, from: after } : changes
  }

  private * _runErrands (scope: Scope): Steps<void> {
    while (!scope.stopping.closed) {
      const errand = yield * takeUnless(this._errands, scope.stopping)
      if (!errand) return
      const result = yield * settle(errand())
      if (!result.ok) this._options.failed('errand', result.error as Error)
    }
  }
}

function addressOf (text: string): PeerAddress | undefined {
  try {
    const { host, port } = JSON.parse(text) as Partial<PeerAddress>
    return typeof host === 'string' && typeof port === 'number' ? { host, port } : undefined
  } catch {
    return undefined
  }
}
