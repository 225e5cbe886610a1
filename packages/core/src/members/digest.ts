/** Checksums of a member list. Two entries compare them to find cheaply whether and where their lists differ. */

/** Members are divided into this many groups; entries compare individual members only in groups whose checksums differ. */
export const GROUP_COUNT = 32

/** Returns the group that a member key belongs to. */
export function groupOf (key: number): number {
  return key % GROUP_COUNT
}

/** One checksum per group, updated incrementally with each member change. */
export class Digest {
  private readonly _groups = new Array<number>(GROUP_COUNT).fill(0)
  private _checksum: number | undefined

  /** The checksum of each group. */
  get groups (): readonly number[] {
    return this._groups
  }

  /** A single checksum over all groups. */
  get checksum (): number {
    if (this._checksum === undefined) {
      let total = 0
      for (const group of this._groups) total = (Math.imul(total, 0x01000193) ^ group) >>> 0
      this._checksum = total
    }
    return this._checksum
  }

  /** Adds a member state to the checksum of its group; a second call with the same arguments removes it. */
  toggle (key: number, state: number): void {
    const group = groupOf(key)
    this._groups[group] = (this._groups[group]! ^ state) >>> 0
    this._checksum = undefined
  }

  /** Returns the groups whose checksums differ from those of another entry. */
  differingGroups (others: readonly number[]): number[] {
    const groups: number[] = []
    for (let group = 0; group < GROUP_COUNT; group++) if (this._groups[group] !== others[group]) groups.push(group)
    return groups
  }
}
