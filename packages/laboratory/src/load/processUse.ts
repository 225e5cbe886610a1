/** What a process has used, as the system counts it. */
import { readFileSync } from 'node:fs'

/** Processor time and memory of a process. */
export interface ProcessUse {
  /** Processor time since start, in milliseconds. */
  cpuMs: number
  residentBytes: number
}

const TICKS_PER_SECOND = 100
const PAGE_BYTES = 4096

/** Reads the use of a process by its id. */
export function processUse (pid: number): ProcessUse {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[11]) + Number(fields[12])
  return { cpuMs: ticks * 1000 / TICKS_PER_SECOND, residentBytes: Number(fields[21]) * PAGE_BYTES }
}
