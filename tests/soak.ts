/**
 * Long randomized simulation: `npm run soak -- --seed N --runs N`.
 * When a scenario violates an invariant, prints the scenario (reduced with `--shrink`) and exits with 1.
 */
import { Command } from 'commander'
import fc from 'fast-check'
import { runScenario, faultSteps, type FaultStep } from './fixtures/scenarios.js'

interface Options {
  shrink: boolean
  story?: string
  seed: string
  runs: string
}

const MAX_VIOLATIONS_SHOWN = 8

const { seed, runs, shrink, story: storyJson } = new Command('soak')
  .description('Runs randomized simulations of faults in a cluster of several entries, in virtual time.')
  .option('--seed <number>', 'seed of all scenarios', '1')
  .option('--runs <number>', 'number of scenarios', '200')
  .option('--shrink', 'reduce a failing scenario before printing it', false)
  .option('--story <json>', 'run one scenario: [seed, steps]')
  .parse().opts<Options>()

if (storyJson !== undefined) {
  const [worldSeed, scenario] = JSON.parse(storyJson) as [number, FaultStep[]]
  const violations = runScenario(worldSeed, scenario)
  process.stdout.write(`${violations.slice(0, MAX_VIOLATIONS_SHOWN).join('\n')}\n`)
  process.exit(violations.length > 0 ? 1 : 0)
}

const property = fc.property(fc.nat(), faultSteps, (worldSeed, scenario) => {
  const violations = runScenario(worldSeed, scenario)
  if (violations.length > 0) throw new Error(violations.slice(0, MAX_VIOLATIONS_SHOWN).join('\n'))
})
const result = fc.check(property, { seed: Number(seed), numRuns: Number(runs), endOnFailure: !shrink })
if (result.failed) {
  const message = result.errorInstance instanceof Error ? result.errorInstance.message : ''
  process.stdout.write(`${message}\n--story '${JSON.stringify(result.counterexample)}'\n`)
}
process.stdout.write(`seed ${seed}: ${result.numRuns} scenarios, ${result.failed ? 'BROKEN' : 'sound'}\n`)
process.exit(result.failed ? 1 : 0)
