/** Fits slopes through the measured points and works out the target's figures. */
import { readFileSync } from 'node:fs'
import type { CapacityPoint } from './capacityPoint.js'
import { fit, type Line } from './fit.js'
import type { Verdict } from './verdict.js'

/** The users' target, for one node and for all. */
const SIZE = { entries: 60, servers: 880, services: 99 } as const
const TARGET = { cpuPercent: 1.4, residentMb: 128, bytesPerSecond: 2048, inForceMs: 16_000 } as const
const CHANGES_PER_SECOND = 1300 / 86_400

type Size = 'entries' | 'servers' | 'services'
type Figure = Exclude<keyof CapacityPoint, Size>

interface Slope {
  figure: Figure
  against: Size
  line: Line
  points: number
}

const FIGURES: Figure[] = [
  'cpuPercent', 'cpuPercentMost', 'residentMb', 'residentMbMost', 'storeRequestsPerSecond', 'storeBytesPerSecond',
  'peerMessagesPerSecond', 'peerBytesPerSecond', 'inForceMs', 'bytesPerChange', 'documentBytes', 'settleMs'
]

/** Reads points, prints slopes with their residuals, and compares the largest size with the target. */
export function measureCapacity (path: string, show: (line: string) => void): Verdict {
  const points = readFileSync(path, 'utf8').split('\n').filter((line) => line !== '').map((line) => JSON.parse(line) as CapacityPoint)
  const slopes = sizes().flatMap((against) => slopesOf(points, against))
  show('figure                       against    intercept       slope    residual  points')
  for (const slope of slopes) show(lineOf(slope.figure, slope.against, slope.line, slope.points))
  const largest = points.find((point) => sizes().every((size) => point[size] === SIZE[size]))
  if (!largest) return { rows: slopes, missed: ['no point at the target\'s size'], summary: {} }
  const bytes = largest.storeBytesPerSecond + largest.peerBytesPerSecond + largest.bytesPerChange * CHANGES_PER_SECOND
  const summary = {
    cpuPercent: largest.cpuPercentMost, residentMb: largest.residentMbMost, bytesPerSecond: Math.round(bytes), inForceMs: largest.inForceMs
  }
  const missed: string[] = []
  if (summary.cpuPercent > TARGET.cpuPercent) missed.push(`control takes ${summary.cpuPercent}% of a core, not ${TARGET.cpuPercent}%`)
  if (summary.residentMb > TARGET.residentMb) missed.push(`the largest entry has ${summary.residentMb} MB, not ${TARGET.residentMb}`)
  if (bytes > TARGET.bytesPerSecond) missed.push(`control takes ${Math.round(bytes)} bytes a second, not ${TARGET.bytesPerSecond}`)
  if (summary.inForceMs > TARGET.inForceMs) missed.push(`a change takes ${summary.inForceMs} ms, not ${TARGET.inForceMs}`)
  return { rows: slopes, missed, summary }
}

function sizes (): Size[] {
  return ['entries', 'servers', 'services']
}

/** Points that differ from the common middle size in one size only. */
function slopesOf (points: CapacityPoint[], against: Size): Slope[] {
  const fixed: Record<Size, number> = { entries: 15, servers: 880, services: 99 }
  const chosen = points.filter((point) => sizes().every((size) => size === against || point[size] === fixed[size]))
  if (chosen.length < 3) return []
  return FIGURES.map((figure) => ({
    figure, against, points: chosen.length, line: fit(chosen.map((point) => ({ x: point[against], y: point[figure] })))
  }))
}

function lineOf (figure: string, against: string, line: Line, points: number): string {
  const numbers = [line.intercept, line.slope, line.residual].map((value) => value.toPrecision(4).padStart(12)).join('')
  return `${figure.padEnd(42)}${against.padEnd(9)}${numbers}${String(points).padStart(6)}`
}
