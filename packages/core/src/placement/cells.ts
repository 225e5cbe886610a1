/** Divides the servers of a service into cells. Each cell has its own scheduler. */
import { rendezvous } from '../hash.js'
import type { Declarations } from '../configuration/declarations.js'
import type { Catalog } from '../discovery/catalog.js'
import type { RegisteredServer } from '../discovery/registeredServer.js'

/** A group of servers of one service to which one scheduler assigns requests. */
export interface Cell {
  /** Unique among the cells of all services. */
  name: string
  service: string
  /** The availability zone of all its servers; absent if they are in several zones. */
  zone?: string
  /** Registered servers that are not leaving, including those in disabled zones. */
  servers: RegisteredServer[]
  /** The subset of `servers` in enabled zones whose software versions may get requests. */
  usable: RegisteredServer[]
}

/** What the cells are computed from. */
export interface CellsOptions {
  catalog: Catalog
  declarations: Declarations
  /** Whether a server may get requests as far as its software version is concerned; always by default. */
  hasUsableVersion?: (server: RegisteredServer) => boolean
}

/** One scheduler on a small instance can handle this many servers, and a choice among more improves placement little. */
const TARGET_SERVERS_PER_CELL = 24
/** A service with up to this many servers has a single cell. */
const MAX_UNDIVIDED_SERVERS = 32
/**
 * Cells are formed within zones if the zones have at least this many servers on average. Among so many, there is nearly always one without
 * a slow spell, and requests, load readings and reports stay in their zone.
 */
const MIN_MEAN_SERVERS_PER_ZONE = 8

/**
 * The cells of each service. Every entry with the same registrations computes the same cells. Servers in disabled zones are included,
 * so that disabling a zone moves no server to another cell. Adding or removing a server moves no other server unless it changes the
 * number of cells; then rendezvous hashing moves as few as possible.
 */
export class Cells {
  private readonly _options: CellsOptions
  private readonly _byService = new Map<string, Cell[]>()
  private readonly _byName = new Map<string, Cell>()

  constructor (options: CellsOptions) {
    this._options = options
  }

  /** All cells of a service; there is at least one. */
  of (service: string): readonly Cell[] {
    let cells = this._byService.get(service)
    if (!cells) {
      cells = divideIntoCells(service, this._options.catalog.readyOf(service))
      this._byService.set(service, cells)
      for (const cell of cells) {
        cell.usable = cell.servers.filter((server) => this._isUsable(server))
        this._byName.set(cell.name, cell)
      }
    }
    return cells
  }

  private _isUsable (server: RegisteredServer): boolean {
    const { declarations, hasUsableVersion } = this._options
    return declarations.zoneIsIn(server.zone) && (hasUsableVersion?.(server) ?? true)
  }

  get (service: string, name: string): Cell | undefined {
    this.of(service)
    return this._byName.get(name)
  }

  /** Servers of a cell in enabled zones; empty if the cell no longer exists. */
  usable (service: string, name: string): RegisteredServer[] {
    return this.get(service, name)?.usable ?? []
  }

  /** The cell that a server belongs to. */
  cellOf ({ id, service }: Pick<RegisteredServer, 'id' | 'service'>): string {
    for (const { name, servers } of this.of(service)) if (servers.some((server) => server.id === id)) return name
    return service
  }

  /** Services whose cells are cached. */
  get services (): string[] {
    return [...this._byService.keys()]
  }

  /** Discards the cached cells of a service, because its registrations or the enabled zones have changed. */
  invalidate (service: string): void {
    for (const { name } of this._byService.get(service) ?? []) this._byName.delete(name)
    this._byService.delete(service)
  }
}

/** The zone in a cell's name; undefined for a cell over several zones. */
export function zoneOfCell (name: string): string | undefined {
  const parts = name.split('/')
  return parts.length > 2 ? parts.at(-2) : undefined
}

function divideIntoCells (service: string, servers: RegisteredServer[]): Cell[] {
  if (servers.length <= MAX_UNDIVIDED_SERVERS) return [{ name: service, service, servers, usable: [] }]
  const byZone = new Map<string, RegisteredServer[]>()
  for (const server of servers) byZone.set(server.zone, [...byZone.get(server.zone) ?? [], server])
  if (servers.length / byZone.size < MIN_MEAN_SERVERS_PER_ZONE) return assignToCells(service, service, servers)
  const cells: Cell[] = []
  for (const [zone, inZone] of [...byZone].sort(([a], [b]) => a < b ? -1 : 1)) {
    for (const cell of assignToCells(service, `${service}/${zone}`, inZone)) cells.push({ ...cell, zone })
  }
  return cells
}

/** Computes the number of cells from the number of servers, and assigns the servers to them by rendezvous hashing. */
function assignToCells (service: string, prefix: string, servers: readonly RegisteredServer[]): Cell[] {
  const count = Math.max(1, Math.round(servers.length / TARGET_SERVERS_PER_CELL))
  const cells = Array.from({ length: count }, (_, index): Cell => ({ name: `${prefix}/${index}`, service, servers: [], usable: [] }))
  for (const server of servers) rendezvous(server.id, cells, ({ name }) => name)!.servers.push(server)
  return cells
}
