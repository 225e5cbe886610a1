#!/usr/bin/env node
/** `npm run measure -- placing|members`: prints figures and a summary line. Exits with 1 when a target was missed. */
import { Argument, Command } from 'commander'
import { measureMembers } from '../measure/members.js'
import { measurePlacing } from '../measure/placing.js'

const MEASUREMENTS = { placing: measurePlacing, members: measureMembers }

const program = new Command('measure')
  .description('Measures request placement, or member lists with hundreds of members, in virtual time.')
  .addArgument(new Argument('<what>', 'what to measure').choices(Object.keys(MEASUREMENTS)))
  .option('--json', 'print the rows as JSON', false)
  .showHelpAfterError()
  .parse()

const what = program.args[0] as keyof typeof MEASUREMENTS
const { json } = program.opts<{ json: boolean }>()
const startedAt = performance.now()
const verdict = MEASUREMENTS[what]((line) => {
  if (!json) process.stdout.write(`${line}\n`)
})
if (json) process.stdout.write(`${JSON.stringify(verdict.rows)}\n`)
for (const miss of verdict.missedTargets) process.stdout.write(`MISSED ${miss}\n`)
const seconds = ((performance.now() - startedAt) / 1000).toFixed(1)
process.stdout.write(`summary ${what}: ${JSON.stringify(verdict.summary)} missed ${verdict.missedTargets.length} in ${seconds} s\n`)
process.exit(verdict.missedTargets.length > 0 ? 1 : 0)
