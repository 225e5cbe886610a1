/** What the process can say of its own use of memory and descriptors. */
import { readdirSync } from 'node:fs'

/** The use of resources at one moment. */
export interface ProcessState {
  uptimeSeconds: number
  residentBytes: number
  /** Highest resident memory since the start. */
  peakResidentBytes: number
  heapBytes: number
  /** Undefined where the system doesn't list them. */
  openDescriptors: number | undefined
}

const BYTES_PER_KILOBYTE = 1024

/** Reads the state of this process. */
export function processState (): ProcessState {
  const { rss, heapUsed } = process.memoryUsage()
  return {
    uptimeSeconds: Math.round(process.uptime() * 1000) / 1000,
    residentBytes: rss,
    peakResidentBytes: process.resourceUsage().maxRSS * BYTES_PER_KILOBYTE,
    heapBytes: heapUsed,
    openDescriptors: countDescriptors()
  }
}

/** Counts the open descriptors, without the one that the count itself opens. */
export function countDescriptors (): number | undefined {
  try {
    return readdirSync('/dev/fd').length - 1
  } catch {
    return undefined
  }
}
