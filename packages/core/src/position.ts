/** Positions in the history of the store. */

/** A version, and the era of the store that has given it out. A store that is restored from a copy begins a new era. */
export interface Position {
  /** Rises with each restore; 0, or absent in messages, for a store that does not state it. */
  era?: number
  version: number
}

/** Compares two positions, for sorting. */
export function comparePositions (a: Position, b: Position): number {
  return (a.era ?? 0) - (b.era ?? 0) || a.version - b.version
}

/** Whether a position is later than another one. */
export function isLater (a: Position, b: Position): boolean {
  return comparePositions(a, b) > 0
}
