/** A stable string hash for rendezvous hashing. All entries must compute the same value. */

const FNV_OFFSET_BASIS = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** 32-bit FNV-1a with a finalizer, so that similar names get very different values. */
export function hash (text: string): number {
  let value = FNV_OFFSET_BASIS
  for (let index = 0; index < text.length; index++) {
    value ^= text.charCodeAt(index)
    value = Math.imul(value, FNV_PRIME)
  }
  value ^= value >>> 16
  value = Math.imul(value, 0x85ebca6b)
  value ^= value >>> 13
  value = Math.imul(value, 0xc2b2ae35)
  return (value ^ (value >>> 16)) >>> 0
}

/** Returns the candidate with the highest score for a key; the lower name wins a tie. A new or lost candidate moves the fewest keys. */
export function rendezvous<T> (key: string, candidates: readonly T[], nameOf: (candidate: T) => string): T | undefined {
  let best: T | undefined
  let bestName = ''
  let bestScore = -1
  for (const candidate of candidates) {
    const name = nameOf(candidate)
    const score = hash(`${name}|${key}`)
    if (score < bestScore || (score === bestScore && name > bestName)) continue
    best = candidate
    bestName = name
    bestScore = score
  }
  return best
}
