/** Compares ways to place requests, on the same arrivals, on servers whose pace changes every few hundred milliseconds. */
import { PlacingModel, WAYS, type Way } from '../placing/placingModel.js'
import { isShort, rutaVerdeSite, trustSite, type SitePlan, type Trouble } from '../placing/plan.js'
import type { PlacingOutcome } from '../placing/tallySheet.js'
import { chainAmplification } from './chain.js'
import type { Verdict } from './verdict.js'

const TROUBLES: Trouble[] = ['calm', 'crowded', 'heavy', 'short', 'entries-fail', 'slow-third', 'cold-zone']
const SEEDS = [1, 2, 3]
const RUN_MS = 20_000
const CALM_LOAD = 0.7
/** The way that the product places, and the one that it must not fall behind in calm. */
const CHOSEN = 'grants after readings, hedged'
const CALM_RIVAL = 'each entry reads 5 loads'
/** Answers of what reachable servers can give, where servers are short. */
const HEAVY_TARGET = 0.9
/** Visits of a failing last service for each call, 29 deep. */
const AMPLIFICATION_TARGET = 1.2

/** One line of the comparison: means over the seeds. */
interface PlacingRow extends PlacingOutcome {
  site: string
  trouble: Trouble
}

/** All comparisons, with progress. */
export function measurePlacing (show: (line: string) => void): Verdict {
  const rows: PlacingRow[] = []
  const missed: string[] = []
  for (const site of [trustSite(), rutaVerdeSite()]) {
    for (const trouble of TROUBLES) {
      show(`${site.name}, ${trouble}`)
      const found = WAYS.map((way) => meanRow(site, trouble, way))
      for (const row of found) show(lineOf(row))
      rows.push(...found)
      missed.push(...missesOf(found))
    }
  }
  const amplification = chainAmplification()
  show(`29 deep, a last service that fails half of the time: ${amplification.toFixed(2)} visits of it a call`)
  if (amplification > AMPLIFICATION_TARGET) missed.push(`amplification ${amplification}`)
  return { rows, missed, summary: { ways: WAYS.length, runs: rows.length * SEEDS.length, amplification } }
}

function meanRow (site: SitePlan, trouble: Trouble, way: Way): PlacingRow {
  const load = trouble === 'calm' ? CALM_LOAD : 1
  const outcomes = SEEDS.map((seed) => new PlacingModel({ site, trouble, load, seed, runMs: RUN_MS }, way).run())
  const mean = { ...outcomes[0]! }
  for (const key of Object.keys(mean) as Array<keyof PlacingOutcome>) {
    if (key !== 'way') mean[key] = outcomes.reduce((sum, outcome) => sum + outcome[key], 0) / outcomes.length
  }
  return { site: site.name, trouble, ...mean }
}

function missesOf (rows: PlacingRow[]): string[] {
  const chosen = rows.find((row) => row.way === CHOSEN)!
  const rival = rows.find((row) => row.way === CALM_RIVAL)!
  const where = `${chosen.site}, ${chosen.trouble}`
  const missed: string[] = []
  const { credit, answersOfCapacity } = chosen
  if (chosen.trouble === 'calm' && credit < rival.credit) missed.push(`${where}: credit ${credit} below ${rival.credit}`)
  if (isShort(chosen.trouble) && answersOfCapacity < HEAVY_TARGET) missed.push(`${where}: ${answersOfCapacity} of capacity`)
  if (chosen.overCold > 0) missed.push(`${where}: ${chosen.overCold} requests beyond what cold servers bear`)
  return missed
}

function lineOf (row: PlacingRow): string {
  const figures = [
    ['credit', row.credit], ['worst', row.worst], ['in trouble', row.inTrouble], ['served', row.served], ['late', row.late],
    ['refused', row.refused], ['failed', row.failed], ['in time of capacity', row.ofCapacity],
    ['answers of capacity', row.answersOfCapacity]
  ] as const
  const shares = figures.map(([name, value]) => `${name} ${value.toFixed(3)}`).join('  ')
  const counts = `probes ${Math.round(row.probes)}  further ${Math.round(row.further)}  over cold ${row.overCold.toFixed(1)}`
  return `  ${row.way.padEnd(31)} ${shares}  ${counts}`
}
