/** The revision in force at one process: it only ever rises. */
import type { Invariants } from '../invariants.js'
import { applyDelta, type Delta } from './delta.js'
import type { Document, Kind, Service, Zone } from './document.js'

/** One accepted change as the table service and peers pass it on. */
export interface AcceptedChange {
  /** The revision this change made; it follows directly on the one before. */
  revision: number
  /** Chosen by the operator's program, to recognise its own change after a lost answer. */
  changeId: string
  delta: Delta
}

/** A whole document with its revision. */
export interface AcceptedDocument {
  revision: number
  document: Document
}

/** How many recent changes are kept for peers that are a little behind. */
export const KEPT_CHANGES = 64

/** Holds the document in force and indexes it for the hot path. */
export class Revisions {
  private _current: AcceptedDocument | undefined
  private _changes: AcceptedChange[] = []
  private _services = new Map<string, Service>()
  private _zones = new Map<string, Zone>()
  private readonly _invariants: Invariants

  constructor (invariants: Invariants) {
    this._invariants = invariants
  }

  /** The revision in force, 0 before the first. */
  get revision (): number {
    return this._current?.revision ?? 0
  }

  get document (): Document | undefined {
    return this._current?.document
  }

  service (name: string): Service | undefined {
    return this._services.get(name)
  }

  /** The service whose path prefix is the longest match. */
  serviceOfPath (path: string): Service | undefined {
    let best: Service | undefined
    for (const service of this._services.values()) {
      if (!matches(path, service.path)) continue
      if (!best || service.path.length > best.path.length) best = service
    }
    return best
  }

  /** Whether the zone may receive new work; an undeclared zone may not. */
  zoneIsIn (name: string): boolean {
    return this._zones.get(name)?.state === 'in'
  }

  get services (): IterableIterator<Service> {
    return this._services.values()
  }

  /** Takes a whole document if it is newer. Returns whether it came into force. */
  adopt (accepted: AcceptedDocument): boolean {
    if (accepted.revision <= this.revision) return false
    this._enforce(accepted)
    this._changes = []
    return true
  }

  /** Takes changes that follow on the revision in force. Returns whether any came into force. */
  follow (changes: readonly AcceptedChange[]): boolean {
    let moved = false
    for (const change of changes) {
      if (!this._current || change.revision !== this.revision + 1) continue
      this._enforce({ revision: change.revision, document: applyDelta(this._current.document, change.delta) })
      this._changes.push(change)
      moved = true
    }
    if (this._changes.length > KEPT_CHANGES) this._changes = this._changes.slice(-KEPT_CHANGES)
    return moved
  }

  /** The kept changes after a revision, or undefined when they do not reach back that far. */
  changesAfter (revision: number): AcceptedChange[] | undefined {
    const later = this._changes.filter((change) => change.revision > revision)
    if (later.length !== this.revision - revision) return undefined
    return later
  }

  get accepted (): AcceptedDocument | undefined {
    return this._current
  }

  private _enforce (accepted: AcceptedDocument): void {
    this._invariants.check('no-revert', accepted.revision > this.revision,
      () => `revision ${accepted.revision} after ${this.revision}`)
    this._current = accepted
    this._services = new Map(accepted.document.services.map((service) => [service.name, service]))
    this._zones = new Map(accepted.document.zones.map((zone) => [zone.name, zone]))
  }
}

/** The kind a request belongs to: by its name, else by method; undefined when the service declares none. */
export function kindOf (service: Service, method: string, named: string | undefined): Kind | undefined {
  if (named !== undefined) return service.kinds.find((kind) => kind.name === named)
  return service.kinds.find((kind) => (kind.methods as string[]).includes(method))
}

function matches (path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/' || path[prefix.length] === '?'
}
