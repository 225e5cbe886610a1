/** What the whole path adds to a call, beside a bare pass-through in the same run. */
import { OpenLoop, type OpenLoopResult } from '../load/openLoop.js'
import { processUse } from '../load/processUse.js'
import type { Verdict } from './verdict.js'

/** The processes that `utils/measure.sh` started. */
export interface PathOptions {
  backend: string
  bare: string
  barePid: number
  entry: string
  entryPid: number
  /** Another entry: one of the two schedules the service for both. */
  far: string
  farPid: number
}

/** One way to the backend server, under one load. */
interface Passage extends OpenLoopResult {
  way: string
  callsPerSecond: number
  cpuMsPerCall: number
}

const PATH = '/echo'
/** Rates with the number of rounds at each; the targets are judged at the first. */
const LOADS = [
  { callsPerSecond: 1000, rounds: 7 },
  { callsPerSecond: 500, rounds: 1 },
  { callsPerSecond: 2000, rounds: 2 },
  { callsPerSecond: 3000, rounds: 2 }
]
const SECONDS = 4
const TARGET = { cpuRatio: 1.6, addedP99Ms: 1.5 } as const
const JUDGED_RATE = 1000

/** Alternates the ways, so that what else the machine does falls on both. */
export async function measurePath (options: PathOptions, show: (line: string) => void): Promise<Verdict> {
  const rows: Passage[] = []
  await warmUp(options)
  for (const { callsPerSecond, rounds } of LOADS) {
    for (let round = 0; round < rounds; round++) {
      rows.push(await passage('direct', options.backend, [], callsPerSecond))
      rows.push(await passage('bare', options.bare, [options.barePid], callsPerSecond))
      rows.push(await passage('entry', options.entry, [options.entryPid], callsPerSecond))
      rows.push(await passage('far', options.far, [options.entryPid, options.farPid], callsPerSecond))
      for (const row of rows.slice(-4)) show(lineOf(row))
    }
  }
  const median = (way: string, pick: (row: Passage) => number): number => {
    const values = rows.filter((row) => row.way === way && row.callsPerSecond === JUDGED_RATE).map(pick).sort((a, b) => a - b)
    return values[values.length >> 1]!
  }
  const cpuRatio = median('entry', (row) => row.cpuMsPerCall) / median('bare', (row) => row.cpuMsPerCall)
  const addedP50Ms = median('entry', (row) => row.p50Ms) - median('direct', (row) => row.p50Ms)
  const addedP99Ms = median('entry', (row) => row.p99Ms) - median('direct', (row) => row.p99Ms)
  const missed: string[] = []
  if (cpuRatio > TARGET.cpuRatio) missed.push(`processor time a call is ${cpuRatio.toFixed(2)} times the pass-through's`)
  if (addedP99Ms > TARGET.addedP99Ms) missed.push(`added p99 is ${addedP99Ms.toFixed(2)} ms, not ${TARGET.addedP99Ms}`)
  if (rows.some((row) => row.failed > 0)) missed.push('some calls failed')
  const far = median('far', (row) => row.cpuMsPerCall)
  const farP99Ms = median('far', (row) => row.p99Ms) - median('direct', (row) => row.p99Ms)
  const entry = median('entry', (row) => row.cpuMsPerCall)
  const times = { cpuRatio, addedP50Ms, addedP99Ms, entryMsPerCall: entry, farMsPerCall: far, farAddedP99Ms: farP99Ms }
  const rounded = Object.fromEntries(Object.entries(times).map(([name, value]) => [name, round(value)]))
  return { rows, missed, summary: rounded }
}

async function passage (way: string, url: string, pids: number[], callsPerSecond: number): Promise<Passage> {
  const spent = (): number => pids.reduce((sum, pid) => sum + processUse(pid).cpuMs, 0)
  const before = spent()
  const result = await new OpenLoop({ url, path: PATH, callsPerSecond, seconds: SECONDS }).run()
  return { way, callsPerSecond, cpuMsPerCall: (spent() - before) / result.calls, ...result }
}

async function warmUp ({ bare, entry, far }: PathOptions): Promise<void> {
  for (const url of [bare, entry, far]) await new OpenLoop({ url, path: PATH, callsPerSecond: 1500, seconds: 3 }).run()
}

function lineOf (row: Passage): string {
  const times = [row.p50Ms, row.p99Ms, row.p999Ms].map((ms) => ms.toFixed(2).padStart(8)).join('')
  const head = `${row.way.padEnd(8)}${String(row.callsPerSecond).padStart(6)}/s`
  return `${head}${times} ms  ${row.cpuMsPerCall.toFixed(4)} ms of processor a call, ${row.failed} failed`
}

function round (value: number): number {
  return Math.round(value * 1000) / 1000
}
