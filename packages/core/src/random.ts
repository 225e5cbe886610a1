/** Random numbers. The core gets its source as an option, so that a run can be repeated from its seed. */

/** A source of numbers in [0, 1). */
export interface Random {
  next (): number
}

const STATE_INCREMENT = 0x6D2B79F5
const UINT32_RANGE = 4294967296

/** A small seeded generator (Mulberry32). */
export class SeededRandom implements Random {
  private _state: number

  constructor (seed: number) {
    this._state = seed >>> 0
  }

  next (): number {
    this._state = (this._state + STATE_INCREMENT) >>> 0
    let mixed = Math.imul(this._state ^ (this._state >>> 15), 1 | this._state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE
  }
}

/** Returns an element drawn with equal probability, or undefined if the list is empty. */
export function draw<T> (items: readonly T[], random: Random): T | undefined {
  return items[Math.floor(random.next() * items.length)]
}

/** Returns an element drawn with the given weights, or undefined if no weight is above zero. */
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

/** Returns the items in a random order. */
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
