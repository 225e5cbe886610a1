/** Randomness is handed to the core, so that a run can be repeated from its seed. */

/** A source of numbers in [0, 1). */
export interface Random {
  next (): number
}

const STEP = 0x6D2B79F5
const SPAN = 4294967296

/** A small seeded generator for tests, replay and the load model. */
export class SeededRandom implements Random {
  private _state: number

  constructor (seed: number) {
    this._state = seed >>> 0
  }

  next (): number {
    this._state = (this._state + STEP) >>> 0
    let mixed = Math.imul(this._state ^ (this._state >>> 15), 1 | this._state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / SPAN
  }
}

/** One element drawn evenly, or undefined from an empty list. */
export function draw<T> (items: readonly T[], random: Random): T | undefined {
  return items[Math.floor(random.next() * items.length)]
}

/** One element drawn with the given weights, or undefined when no weight is above zero. */
export function drawWeighted<T> (items: readonly T[], weightOf: (item: T) => number, random: Random): T | undefined {
  let total = 0
  for (const item of items) total += weightOf(item)
  if (total <= 0) return undefined
  let point = random.next() * total
  for (const item of items) {
    point -= weightOf(item)
    if (point < 0) return item
  }
  return items.at(-1)
}

/** The items in a random order. */
export function shuffled<T> (items: readonly T[], random: Random): T[] {
  const order = [...items]
  for (let index = order.length - 1; index > 0; index--) {
    const other = Math.floor(random.next() * (index + 1))
    const item = order[index]!
    order[index] = order[other]!
    order[other] = item
  }
  return order
}
