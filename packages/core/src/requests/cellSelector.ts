/** Selects the cell of a service whose scheduler an entry asks for a server. */
import type { Roster } from '../members/roster.js'
import type { Cell, Cells } from '../placement/cells.js'
import { drawWeighted, type Random } from '../random.js'

export interface CellSelectorOptions {
  cells: Cells
  roster: Roster
  random: Random
}

/**
 * Draws a cell at random, weighted by its number of usable servers. Cells of the entry's own zone are preferred if they have usable
 * servers. Only the cell's scheduler knows whether the cell has capacity; if it has none, the scheduler redirects the request to another
 * cell. So entries do not act on stale load readings and do not move all of their requests at once.
 */
export class CellSelector {
  private readonly _options: CellSelectorOptions

  constructor (options: CellSelectorOptions) {
    this._options = options
  }

  choose (service: string): string {
    const { cells, roster } = this._options
    const all = cells.of(service)
    if (all.length === 1) return all[0]!.name
    const sameZone = all.filter(({ zone }) => zone === roster.self.zone)
    return this._drawByServerCount(sameZone) ?? this._drawByServerCount(all) ?? all[0]!.name
  }

  /** Returns another cell of the service that has usable servers, or the same cell if there is none. */
  other (service: string, cell: string): string {
    return this._drawByServerCount(this._options.cells.of(service).filter(({ name }) => name !== cell)) ?? cell
  }

  /** Returns the request's cell, or chooses another one if that cell no longer exists or has no usable servers. */
  keepOrChoose (service: string, cell: string): string {
    return this._options.cells.usable(service, cell).length > 0 ? cell : this.choose(service)
  }

  private _drawByServerCount (cells: readonly Cell[]): string | undefined {
    return drawWeighted(cells, ({ usable }) => usable.length, this._options.random)?.name
  }
}
