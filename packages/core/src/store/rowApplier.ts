/** Applies changed rows of the store to the configuration and to the catalog of backend servers. */
import type { Declarations } from '../configuration/declarations.js'
import type { Catalog, RegistrationChange } from '../discovery/catalog.js'
import type { Outbox } from '../effects.js'
import type { Rollouts } from '../rollouts/rollouts.js'
import type { StoredRow, TableName } from './row.js'
import type { RowReader } from './rowReader.js'
import type { ChangedRows } from './storeWatch.js'

export interface RowApplierOptions {
  reader: RowReader
  declarations: Declarations
  catalog: Catalog
  outbox: Outbox
  rollouts: Rollouts
  /** Called when servers of these services have changed; undefined means that servers of any service may have changed. */
  serversChanged: (services: Iterable<string> | undefined, now: number) => void
}

/** Operators write again what a restored store has lost; an evacuation that is not written again ends after this time. */
const REWRITE_TIMEOUT_MS = 60_000

/** Applies rows of the `declarations` table to the configuration and rows of the `servers` table to the catalog. */
export class RowApplier {
  private readonly _options: RowApplierOptions
  private readonly _evacuatedZones = new Map<string, string>()
  /** Keys of evacuations that a restored store no longer has, with the time until which they hold. */
  private readonly _retained = new Map<string, number>()

  constructor (options: RowApplierOptions) {
    this._options = options
  }

  apply ({ table, rows, era, isRestored }: ChangedRows, now: number): void {
    switch (table) {
      case 'declarations': return this._applyDeclarations(isRestored ? this._withoutMissing(rows, now) : rows, now)
      case 'servers': return this._applyRegistrations(rows.map((row) => this._toRegistration(row, era, isRestored)), now)
      case 'rollouts': return this._options.rollouts.recorded(rows, now)
    }
  }

  /** Ends orders that were not written again in time after the store was restored. */
  tick (now: number): void {
    const ended: StoredRow[] = []
    for (const [key, until] of this._retained) if (now >= until) ended.push({ key, version: 0 })
    if (ended.length > 0) this._applyDeclarations(ended, now)
  }

  /** Leaves out the removals of rows that a restored store no longer has. What they order holds until it is written again, or ends. */
  private _withoutMissing (rows: readonly StoredRow[], now: number): StoredRow[] {
    const present: StoredRow[] = []
    for (const row of rows) {
      if (row.value === undefined && this._evacuatedZones.has(row.key)) this._retained.set(row.key, now + REWRITE_TIMEOUT_MS)
      else present.push(row)
    }
    return present
  }

  private _applyDeclarations (rows: readonly StoredRow[], now: number): void {
    const { declarations, outbox } = this._options
    let changed = false
    for (const row of rows) {
      if (this._applyDeclaration(row, now)) changed = true
    }
    if (!changed) return
    declarations.setEvacuatedZones(new Set(this._evacuatedZones.values()))
    outbox.log({ decision: 'configuration-adopted', revision: declarations.revision, count: this._evacuatedZones.size })
    this._options.serversChanged(undefined, now)
  }

  private _applyDeclaration (row: StoredRow, now: number): boolean {
    this._retained.delete(row.key)
    const zone = this._evacuatedZones.get(row.key)
    if (row.value === undefined) {
      this._options.rollouts.withdrawn(row.key, row.version, now)
      if (zone === undefined) return false
      this._options.outbox.log({ decision: 'zone-in', zone, version: row.version })
      return this._evacuatedZones.delete(row.key)
    }
    const declaration = this._options.reader.declaration(row)
    switch (declaration?.kind) {
      case undefined: return this._logUnreadable('declarations', row)
      case 'other': return false
      case 'rollout':
        this._options.rollouts.ordered(row.key, declaration.order, row.version, now)
        return false
      case 'zone-out':
        if (zone === declaration.zone) return false
        this._evacuatedZones.set(row.key, declaration.zone)
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

  private _applyRegistrations (changes: readonly RegistrationChange[], now: number): void {
    const { catalog } = this._options
    for (const change of changes) this._logChange(change)
    const changedServices = catalog.apply(changes, now)
    if (changedServices.size > 0) this._options.serversChanged(changedServices, now)
  }

  private _toRegistration (row: StoredRow, era: number, isRestored: boolean): RegistrationChange {
    const { key: id, version } = row
    if (row.value === undefined) return { id, version, isLost: isRestored }
    const entry = this._options.reader.server(row)
    if (!entry) this._logUnreadable('servers', row)
    return { id, version, entry: entry && { ...entry, era }, unreadable: !entry }
  }

  private _logChange ({ id, version, entry }: RegistrationChange): void {
    const { outbox, catalog } = this._options
    const previous = catalog.get(id)
    if (!entry) {
      if (previous) outbox.log({ decision: 'server-unlisted', server: id, service: previous.service, version })
      return
    }
    const isNewIncarnation = previous?.incarnation !== entry.incarnation
    const { service, zone, softwareVersion } = entry
    if (isNewIncarnation) outbox.log({ decision: 'server-listed', server: id, service, zone, version, softwareVersion })
    if (entry.state === 'draining' && previous?.state !== 'draining') {
      outbox.log(
        { decision: 'server-draining', server: id, service: entry.service, version }
      )
    }
  }

  private _logUnreadable (table: TableName, row: StoredRow): false {
    this._options.outbox.log({ decision: 'row-unreadable', table, reason: row.key, version: row.version })
    return false
  }
}
