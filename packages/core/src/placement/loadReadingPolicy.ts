/** How often a scheduler reads the loads of servers. */

/** How load readings are requested before placements. */
export interface LoadReadingPolicy {
  /** Age up to which a reading counts as fresh, in milliseconds. */
  freshMs: number
  /** Number of servers probed per round; with 0, only the load reports in answers are used. */
  readings: number
  /** Maximum number of probe rounds for one request. */
  maxRounds: number
}

/** Frequent load readings, which give the best placement for callers. */
export const FREQUENT_READINGS: LoadReadingPolicy = { freshMs: 20, readings: 6, maxRounds: 2 }
/**
 * A third as many load readings, at a loss of 0.01 of the credit under normal load (load model). With many requests per scheduler,
 * frequent readings would probe each server 50 times per second, which costs schedulers and servers more time than it saves.
 */
export const REDUCED_READINGS: LoadReadingPolicy = { freshMs: 60, readings: 4, maxRounds: 1 }
