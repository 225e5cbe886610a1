#!/usr/bin/env node
/** Prints the CPU and memory usage of idle processes as one line of JSON. Started by `npm run measure -- idle`. */
import { setTimeout as pause } from 'node:timers/promises'
import { Command } from 'commander'
import { readResourceUsage } from '../load/processUse.js'

interface Options {
  pids: string
  seconds: string
}

const program = new Command('idle')
  .description('Measures the CPU and memory usage of processes while nobody asks them for anything.')
  .requiredOption('--pids <pids>', 'ids of the processes, separated by commas')
  .option('--seconds <number>', 'how long to measure, in seconds', '10')
  .showHelpAfterError()

const { pids, seconds } = program.parse().opts<Options>()
const processes = pids.split(',').map(Number)
const before = processes.map(readResourceUsage)
await pause(Number(seconds) * 1000)
const after = processes.map(readResourceUsage)
const mean = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
const cores = after.map(({ cpuMs }, index) => (cpuMs - before[index]!.cpuMs) / Number(seconds) / 1000)
process.stdout.write(`${JSON.stringify({
  processes: processes.length,
  startMs: Math.round(mean(before.map(({ cpuMs }) => cpuMs))),
  cores: Number(mean(cores).toFixed(4)),
  mostCores: Number(Math.max(...cores).toFixed(4)),
  residentMb: Math.round(mean(after.map(({ residentBytes }) => residentBytes)) / 1e6)
})}\n`)
