/** Decides whether a cell passes a request on to another cell of its service, and to which one. */
import { drawWeighted, type Random } from '../random.js'

/** The load of a cell. */
export interface CellLoad {
  cell: string
  /** Ratio of arriving and waiting requests to the capacity of its servers; 1 is full. */
  pressure: number
  /** Number of servers of the cell, used as its weight in a random choice among cells. */
  servers: number
}

/** What `Overflow` is built from. */
export interface OverflowOptions {
  random: Random
}

/** A load report of another cell is used for this long, which covers a few report intervals. */
const LOAD_REPORT_LIFETIME_MS = 1500
/** Up to this pressure a cell keeps its requests: its queue is short, and its zone is the nearest. */
const MAX_PRESSURE_WITHOUT_OVERFLOW = 0.8
/** The pressure of the other cell must be lower by at least this much. */
const MIN_PRESSURE_DIFFERENCE = 0.15
/** A cell receives overflow only while its pressure is below this. */
const MAX_TARGET_PRESSURE = 0.9

/** The loads of the other cells of one service, as their schedulers report them. */
export class Overflow {
  private readonly _options: OverflowOptions
  private readonly _loads = new Map<string, CellLoad & { at: number }>()

  constructor (options: OverflowOptions) {
    this._options = options
  }

  /** Stores the load that the scheduler of another cell has reported. */
  updateLoad (load: CellLoad, now: number): void {
    this._loads.set(load.cell, { ...load, at: now })
  }

  /**
   * Chooses the cell that a newly arrived request is passed on to; undefined if this cell, whose pressure is given, keeps it. A cell
   * passes on no more than the fraction of its arrivals that would equalize both pressures, so that load does not oscillate between them.
   */
  divert (pressure: number, now: number): string | undefined {
    if (pressure <= MAX_PRESSURE_WITHOUT_OVERFLOW) return undefined
    const other = this._pickCell(now)
    if (!other || other.pressure > pressure - MIN_PRESSURE_DIFFERENCE) return undefined
    const divertedFraction = Math.min(1, (pressure - other.pressure) / (2 * pressure))
    return this._options.random.next() < divertedFraction ? other.cell : undefined
  }

  /** A cell with free capacity for a request that this cell would refuse. */
  fallbackCell (now: number): string | undefined {
    return this._pickCell(now)?.cell
  }

  /** Draws two cells at random by weight and picks the one with less pressure. Always picking the one with the least would overload it. */
  private _pickCell (now: number): CellLoad | undefined {
    const acceptingCells: CellLoad[] = []
    for (const [cell, load] of this._loads) {
      if (now - load.at > LOAD_REPORT_LIFETIME_MS) this._loads.delete(cell)
      else if (load.pressure < MAX_TARGET_PRESSURE && load.servers > 0) acceptingCells.push(load)
    }
    const draw = (): CellLoad | undefined => drawWeighted(acceptingCells, ({ servers }) => servers, this._options.random)
    const [a, b] = [draw(), draw()]
    return a && b && a.pressure > b.pressure ? b : a
  }
}
