/** Divides the memory of the instance. */
import { totalmem } from 'node:os'

const BYTES_PER_MB = 1_048_576
/** Parts of the memory. The rest is for the program, its heap, connections and buffers of the system. */
const HELD_SHARE = 1 / 4
const HEAD_SHARE = 3 / 8
const MIN_HEADER_BYTES = 32_768
const MAX_HEADER_BYTES = 262_144

/** Computes how much memory callers may occupy. */
export class MemoryBudget {
  /** Most bytes of bodies and answers held for callers. */
  readonly heldBytes: number
  private readonly _headBytes: number

  /** Creates the budget for an amount of memory, in bytes. */
  constructor (bytes: number) {
    this.heldBytes = Math.floor(bytes * HELD_SHARE)
    this._headBytes = bytes * HEAD_SHARE
  }

  /** Most connections whose heads the memory can bear. */
  get maxConnections (): number {
    return Math.max(1, Math.floor(this._headBytes / MIN_HEADER_BYTES))
  }

  /** Returns the longest head of a request, in bytes, if so many connections may each hold one that is incomplete. */
  headerBytesFor (connections: number): number {
    return Math.min(MAX_HEADER_BYTES, Math.max(MIN_HEADER_BYTES, Math.floor(this._headBytes / connections)))
  }
}

/** Returns the memory of this instance in bytes: what the system states, at most what is assigned, in MiB. */
export function readMemoryLimit (assignedMb = Infinity): number {
  // Node returns 0 or a huge number if the process is not constrained.
  const constrained = process.constrainedMemory()
  return Math.min(assignedMb * BYTES_PER_MB, totalmem(), constrained > 0 ? constrained : Infinity)
}
