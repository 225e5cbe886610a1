/** Divides the descriptors that the process may open among its ports and the connections that it opens itself. */
import { readFileSync } from 'node:fs'

/** Ports on which an entry listens. */
export type ListenerPort = 'callers' | 'directory' | 'ready' | 'peers' | 'operators' | 'metrics'

/** Parts of the descriptors that remain after the files. A quarter is left for backend servers, the store and other entries. */
const CONNECTION_SHARES: Record<ListenerPort, number> = {
  callers: 1 / 2, directory: 1 / 8, ready: 1 / 32, peers: 1 / 32, operators: 1 / 32, metrics: 1 / 32
}
/** Descriptors for files, pipes and the event loop; fewer if the process may open only few. */
const FILE_DESCRIPTORS = 200
const MAX_FILE_SHARE = 1 / 4
/** The usual limit of a process on Linux. */
const DEFAULT_DESCRIPTORS = 1024
const LIMITS_PATH = '/proc/self/limits'

/** Computes how many connections each port may hold. */
export class DescriptorBudget {
  private readonly _connections: number

  /** Creates the budget for a number of descriptors. */
  constructor (descriptors: number) {
    this._connections = descriptors - Math.min(FILE_DESCRIPTORS, descriptors * MAX_FILE_SHARE)
  }

  /** Returns the most connections that callers of a port may hold together. */
  connectionsOf (port: ListenerPort): number {
    return Math.max(1, Math.floor(this._connections * CONNECTION_SHARES[port]))
  }
}

/** Returns how many descriptors the system allows this process, at most `assigned` if the instance has a limit of its own. */
export function readDescriptorLimit (assigned = Infinity): number {
  return Math.min(assigned, parseDescriptorLimit(readLimits()) ?? DEFAULT_DESCRIPTORS)
}

/** Returns the soft limit on open files from the text of `/proc/PID/limits`, or undefined if it names none. */
export function parseDescriptorLimit (text: string): number | undefined {
  const limit = /^Max open files\s+(\d+|unlimited)/m.exec(text)?.[1]
  return limit === 'unlimited' ? Infinity : limit === undefined ? undefined : Number(limit)
}

function readLimits (): string {
  try {
    return readFileSync(LIMITS_PATH, 'utf8')
  } catch {
    return ''
  }
}
