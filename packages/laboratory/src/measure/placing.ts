/** Compares placement strategies on the same arrivals, with servers whose speed changes every few hundred milliseconds. */
import { PlacingModel, PLACEMENT_STRATEGIES, type PlacementStrategy } from '../placing/placingModel.js'
import { lacksServers, rutaVerdeSite, trustSite, type SitePlan, type Scenario } from '../placing/plan.js'
import type { PlacingOutcome } from '../placing/tallySheet.js'
import { chainAmplification } from './chain.js'
import type { MeasurementResult } from './verdict.js'

const TROUBLES: Scenario[] = ['calm', 'crowded', 'heavy', 'short', 'entries-fail', 'slow-third', 'cold-zone']
const SEEDS = [1, 2, 3]
const RUN_DURATION_MS = 20_000
const CALM_LOAD_FACTOR = 0.7
/** The strategy that the product uses. */
const PRODUCT_STRATEGY = 'grants after readings, hedged'
/** The strategy that must not earn more credit than the product's in calm runs. */
const CALM_BASELINE_STRATEGY = 'each entry reads 5 loads'
/** Least share of the capacity of the reachable servers that must be answered while most servers are unavailable. */
const MIN_ANSWERED_RATIO = 0.9
/** Most requests to a failing last service for each call, in a chain of 29 services. */
const MAX_AMPLIFICATION = 1.2

/** One row of the comparison: means over the seeds. */
interface PlacingRow extends PlacingOutcome {
  site: string
  trouble: Scenario
}

/** Runs all comparisons and prints each row when it is ready. */
export function measurePlacing (printLine: (line: string) => void): MeasurementResult {
  const rows: PlacingRow[] = []
  const missedTargets: string[] = []
  for (const site of [trustSite(), rutaVerdeSite()]) {
    for (const trouble of TROUBLES) {
      printLine(`${site.name}, ${trouble}`)
      const strategyRows = PLACEMENT_STRATEGIES.map((way) => averageRow(site, trouble, way))
      for (const row of strategyRows) printLine(formatRow(row))
      rows.push(...strategyRows)
      missedTargets.push(...findMissedTargets(strategyRows))
    }
  }
  const amplification = chainAmplification()
  printLine(`29 services deep, the last service fails half of the time: ${amplification.toFixed(2)} requests to it for each call`)
  if (amplification > MAX_AMPLIFICATION) missedTargets.push(`amplification ${amplification}`)
  return { rows, missedTargets, summary: { ways: PLACEMENT_STRATEGIES.length, runs: rows.length * SEEDS.length, amplification } }
}

function averageRow (site: SitePlan, trouble: Scenario, way: PlacementStrategy): PlacingRow {
  const load = trouble === 'calm' ? CALM_LOAD_FACTOR : 1
  const outcomes = SEEDS.map((seed) => new PlacingModel({ site, scenario: trouble, load, seed, runDurationMs: RUN_DURATION_MS }, way).run())
  const mean = { ...outcomes[0]! }
  for (const key of Object.keys(mean) as Array<keyof PlacingOutcome>) {
    if (key !== 'way') mean[key] = outcomes.reduce((sum, outcome) => sum + outcome[key], 0) / outcomes.length
  }
  return { site: site.name, trouble, ...mean }
}

function findMissedTargets (rows: PlacingRow[]): string[] {
  const product = rows.find((row) => row.way === PRODUCT_STRATEGY)!
  const baseline = rows.find((row) => row.way === CALM_BASELINE_STRATEGY)!
  const runName = `${product.site}, ${product.trouble}`
  const missed: string[] = []
  const { credit, answersOfCapacity } = product
  if (product.trouble === 'calm' && credit < baseline.credit) missed.push(`${runName}: credit ${credit} below ${baseline.credit}`)
  if (lacksServers(product.trouble) && answersOfCapacity < MIN_ANSWERED_RATIO) missed.push(`${runName}: ${answersOfCapacity} of capacity`)
  if (product.overCold > 0) missed.push(`${runName}: ${product.overCold} requests above the limit of cold servers`)
  return missed
}

function formatRow (row: PlacingRow): string {
  const figures = [
    ['credit', row.credit], ['worst', row.worst], ['in trouble', row.inTrouble], ['served', row.served], ['late', row.late],
    ['refused', row.refused], ['failed', row.failed], ['in time of capacity', row.ofCapacity],
    ['answers of capacity', row.answersOfCapacity]
  ] as const
  const shares = figures.map(([name, value]) => `${name} ${value.toFixed(3)}`).join('  ')
  const counts = `probes ${Math.round(row.probes)}  further ${Math.round(row.further)}  over cold ${row.overCold.toFixed(1)}`
  return `  ${row.way.padEnd(31)} ${shares}  ${counts}`
}
