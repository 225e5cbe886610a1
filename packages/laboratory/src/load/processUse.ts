/** Reads the resource usage of a process from the operating system. */
import { readFileSync } from 'node:fs'

/** CPU time and memory of a process. */
export interface ResourceUsage {
  /** CPU time since the process started, in milliseconds. */
  cpuMs: number
  residentBytes: number
}

const CLOCK_TICKS_PER_SECOND = 100
const PAGE_BYTES = 4096

/** Reads the resource usage of the process with the given id. */
export function readResourceUsage (pid: number): ResourceUsage {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[11]) + Number(fields[12])
  return { cpuMs: ticks * 1000 / CLOCK_TICKS_PER_SECOND, residentBytes: Number(fields[21]) * PAGE_BYTES }
}
