/** What the whole path adds to a call, beside a bare pass-through in the same run. */
import { HttpClient } from '@gooseberryspan/platform'
import { OpenLoop, pause, type OpenLoopResult } from '../load/openLoop.js'
import { processUse } from '../load/processUse.js'
import type { Verdict } from './verdict.js'

/** The processes that `utils/measure.sh` started. */
export interface PathOptions {
  backend: string
  bare: string
  barePid: number
  entry: string
  entryPid: number
  /** An entry without servers, which sends every call on to the first. */
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
  const control = await controlCost(options.entry)
  for (const { callsPerSecond, rounds } of LOADS) {
    for (let round = 0; round < rounds; round++) {
      rows.push(await passage('direct', options.backend, [], callsPerSecond))
      rows.push(await passage('bare', options.bare, [options.barePid], callsPerSecond))
      rows.push(await passage('entry', options.entry, [options.entryPid], callsPerSecond))
      rows.push(await passage('forward', options.far, [options.entryPid, options.farPid], callsPerSecond))
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
  const forward = median('forward', (row) => row.cpuMsPerCall)
  const forwardP99Ms = median('forward', (row) => row.p99Ms) - median('direct', (row) => row.p99Ms)
  const entry = median('entry', (row) => row.cpuMsPerCall)
  const times = { cpuRatio, addedP50Ms, addedP99Ms, entryMsPerCall: entry, forwardMsPerCall: forward, forwardAddedP99Ms: forwardP99Ms }
  const rounded = Object.fromEntries(Object.entries(times).map(([name, value]) => [name, round(value)]))
  const summary = { ...rounded, ...control }
  return { rows, missed, summary }
}

/** Bytes and requests for control, counted at the platform while no calls are made. */
async function controlCost (entry: string): Promise<object> {
  const client = new HttpClient({ url: process.env.PLATFORM_URL ?? entry, timeoutMs: 1000, requestsPerSecond: 10 })
  const load = async (): Promise<Record<string, number>> => JSON.parse((await client.send('GET', '/control/load')).text)
  const before = await load()
  await pause(SECONDS * 1000)
  const after = await load()
  client.close()
  const per = (name: string): number => round((after[name]! - before[name]!) / SECONDS)
  return { platformRequestsPerSecond: per('requests'), platformBytesPerSecond: round(per('bytesIn') + per('bytesOut')) }
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
