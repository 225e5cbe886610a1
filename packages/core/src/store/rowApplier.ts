/** Applies changed rows of the store to the configuration and to the catalog of backend servers. */
import type { Declarations } from '../configuration/declarations.js'
import type { Catalog, RegistrationChange } from '../discovery/catalog.js'
import type { Outbox } from '../effects.js'
import type { Rollouts } from '../rollouts/rollouts.js'
import type { StoredRow, TableName } from './row.js'
import type { RowReader } from './rowReader.js'

export interface RowApplierOptions {
  reader: RowReader
  declarations: Declarations
  catalog: Catalog
  outbox: Outbox
  rollouts: Rollouts
  /** Called when servers of these services have changed; undefined means that servers of any service may have changed. */
  serversChanged: (services: Iterable<string> | undefined, now: number) => void
}

/** Applies rows of the `declarations` table to the configuration and rows of the `servers` table to the catalog. */
export class RowApplier {
  private readonly _options: RowApplierOptions
  private readonly _evacuatedZones = new Map<string, string>()

  constructor (options: RowApplierOptions) {
    this._options = options
  }

  apply (table: TableName, rows: readonly StoredRow[], now: number): void {
    switch (table) {
      case 'declarations': return this._applyDeclarations(rows, now)
      case 'servers': return this._applyRegistrations(rows, now)
      case 'rollouts': return this._options.rollouts.recorded(rows, now)
    }
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

  private _applyRegistrations (rows: readonly StoredRow[], now: number): void {
    const { catalog } = this._options
    const changes = rows.map((row) => this._toRegistration(row))
    for (const change of changes) this._logChange(change)
    const changedServices = catalog.apply(changes, now)
    if (changedServices.size > 0) this._options.serversChanged(changedServices, now)
  }

  private _toRegistration (row: StoredRow): RegistrationChange {
    const { key: id, version } = row
    if (row.value === undefined) return { id, version }
    const entry = this._options.reader.server(row)
    if (!entry) this._logUnreadable('servers', row)
    return { id, version, entry, unreadable: !entry }
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
