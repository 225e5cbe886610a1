/** Turns changed rows into what is declared and which servers there are. */
import type { Declarations } from '../configuration/declarations.js'
import type { Catalog, Registration } from '../discovery/catalog.js'
import type { Outbox } from '../effects.js'
import type { StoredRow, TableName } from './row.js'
import type { RowReader } from './rowReader.js'

/** What a ledger is built from. */
export interface LedgerOptions {
  reader: RowReader
  declarations: Declarations
  catalog: Catalog
  outbox: Outbox
  /** Servers of these services have changed; without a list, any may have. */
  serversChanged: (services: Iterable<string> | undefined, now: number) => void
}

/** Applies rows to the declarations and the catalog. */
export class Ledger {
  private readonly _options: LedgerOptions
  private readonly _zonesOut = new Map<string, string>()

  constructor (options: LedgerOptions) {
    this._options = options
  }

  /** Takes changed rows of a table. */
  apply (table: TableName, rows: readonly StoredRow[], now: number): void {
    if (table === 'declarations') this._declare(rows, now)
    else this._register(rows, now)
  }

  private _declare (rows: readonly StoredRow[], now: number): void {
    const { declarations, outbox } = this._options
    let changed = false
    for (const row of rows) {
      if (this._applyDeclaration(row)) changed = true
    }
    if (!changed) return
    declarations.evacuate(new Set(this._zonesOut.values()))
    outbox.log({ decision: 'configuration-adopted', revision: declarations.revision, count: this._zonesOut.size })
    this._options.serversChanged(undefined, now)
  }

  private _applyDeclaration (row: StoredRow): boolean {
    const zone = this._zonesOut.get(row.key)
    if (row.value === undefined) {
      if (zone === undefined) return false
      this._options.outbox.log({ decision: 'zone-in', zone, version: row.version })
      return this._zonesOut.delete(row.key)
    }
    const declaration = this._options.reader.declaration(row)
    switch (declaration?.kind) {
      case undefined: return this._unreadable('declarations', row)
      case 'other': return false
      case 'zone-out':
        if (zone === declaration.zone) return false
        this._zonesOut.set(row.key, declaration.zone)
        this._options.outbox.log({ decision: 'zone-out', zone: declaration.zone, version: row.version })
        return true
      case 'gateway': {
        const { gateway } = declaration
        if (!this._options.declarations.adopt(gateway)) return false
        this._options.outbox.put({ kind: 'configured', gateway })
        return true
      }
    }
  }

  private _register (rows: readonly StoredRow[], now: number): void {
    const { catalog } = this._options
    const changes = rows.map((row) => this._registrationOf(row))
    for (const change of changes) this._logChange(change)
    const touched = catalog.apply(changes, now)
    if (touched.size > 0) this._options.serversChanged(touched, now)
  }

  private _registrationOf (row: StoredRow): Registration {
    const { key: id, version } = row
    if (row.value === undefined) return { id, version }
    const entry = this._options.reader.server(row)
    if (!entry) this._unreadable('servers', row)
    return { id, version, entry, unreadable: !entry }
  }

  private _logChange ({ id, version, entry }: Registration): void {
    const { outbox, catalog } = this._options
    const known = catalog.get(id)
    if (!entry) {
      if (known) outbox.log({ decision: 'server-unlisted', server: id, service: known.service, version })
      return
    }
    const anew = known?.incarnation !== entry.incarnation
    if (anew) outbox.log({ decision: 'server-listed', server: id, service: entry.service, zone: entry.zone, version })
    if (entry.state === 'draining' && known?.state !== 'draining') {
      outbox.log(
        { decision: 'server-draining', server: id, service: entry.service, version }
      )
    }
  }

  private _unreadable (table: TableName, row: StoredRow): false {
    this._options.outbox.log({ decision: 'row-unreadable', table, reason: row.key, version: row.version })
    return false
  }
}
