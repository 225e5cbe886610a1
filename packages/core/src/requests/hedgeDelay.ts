/** When a second server is asked for a request whose answer takes longer than expected. */

/** The handler hedges once an answer takes this many times as long as expected. */
const HEDGE_DELAY_RATIO = 1.3
const MIN_HEDGE_DELAY_MS = 20
/** A server with a limit has this fraction of the time to the target for its answer, which alone shows whether the limit is over. */
const LIMITED_HEDGE_TARGET_FRACTION = 0.5
/** Delay before the next hedge after a scheduler refused one, as a fraction of the expected time. */
const HEDGE_RETRY_DELAY_RATIO = 0.5

/** Delay of the first hedge after an attempt began, in milliseconds; `targetLeftMs` is what is left of the time to the target. */
export function hedgeDelayMs (expectedMs: number, targetLeftMs: number, isLimited: boolean): number {
  const delayMs = Math.max(MIN_HEDGE_DELAY_MS, expectedMs * HEDGE_DELAY_RATIO)
  return isLimited ? Math.max(delayMs, targetLeftMs * LIMITED_HEDGE_TARGET_FRACTION) : delayMs
}

/** Delay of the next hedge after a scheduler refused one, in milliseconds. */
export function nextHedgeDelayMs (expectedMs: number): number {
  return Math.max(MIN_HEDGE_DELAY_MS, expectedMs * HEDGE_RETRY_DELAY_RATIO)
}
