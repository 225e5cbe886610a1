#!/usr/bin/env node
/** Callers for `utils/storm.sh`: prints what they were told, and compares it with what the backend servers saw. */
import { readFileSync, writeFileSync } from 'node:fs'
import { Command } from 'commander'
import { callThroughStorm, type StormResult } from '../measure/storm.js'

interface Options {
  ports: string
  seconds: string
  seed: string
  told: string
  truth?: string
}

/** What the backend stand-ins print when they end. */
interface Truth {
  ran: number
  full: number
  overCold: number
  doubleRuns: number
  requests: string[]
}

const options = new Command('storm')
  .option('--ports <ports>', 'callers\' ports of the entries', '')
  .option('--seconds <number>', 'length of the storm', '20')
  .option('--seed <number>', 'seed of the callers', '1')
  .requiredOption('--told <file>', 'where to keep what callers were told')
  .option('--truth <file>', 'judge what was kept by what the backend servers saw')
  .parse().opts<Options>()

if (options.truth === undefined) {
  const result = await callThroughStorm({
    ports: options.ports.split(',').map(Number),
    service: 'orders',
    seconds: Number(options.seconds),
    seed: Number(options.seed)
  })
  writeFileSync(options.told, JSON.stringify(result))
} else {
  judge(JSON.parse(readFileSync(options.told, 'utf8')) as StormResult, JSON.parse(readFileSync(options.truth, 'utf8')) as Truth)
}

function judge (told: StormResult, truth: Truth): void {
  const ran = new Set(truth.requests)
  const falseNotRun = told.notRunNames.filter((name) => ran.has(name)).length
  const { answered, notRun, unknown, cut } = told
  const figures = {
    answered, notRun, unknown, cut, ran: truth.ran, full: truth.full, overCold: truth.overCold, doubleRuns: truth.doubleRuns, falseNotRun
  }
  process.stdout.write(`summary storm: ${JSON.stringify(figures)}\n`)
  const broken = truth.overCold + truth.doubleRuns + falseNotRun
  process.exitCode = broken > 0 || answered === 0 ? 1 : 0
}
