#!/usr/bin/env node
/** Measures running entry processes of one size: a line of JSON. `utils/measure.sh capacity` starts the processes. */
import { Command } from 'commander'
import { measurePoint } from '../measure/capacityPoint.js'

interface Options {
  store: string
  pids: string
  ports: string
  servers: string
  services: string
  seconds: string
}

const options = new Command('capacity-point')
  .requiredOption('--store <url>', 'the store stand-in')
  .requiredOption('--pids <ids>', 'process ids of the entries')
  .requiredOption('--ports <ports>', 'callers\' ports of the entries')
  .requiredOption('--servers <number>', 'listed backend servers')
  .requiredOption('--services <number>', 'declared services')
  .option('--seconds <number>', 'length of each part', '10')
  .parse().opts<Options>()

const point = await measurePoint({
  store: options.store,
  pids: options.pids.split(',').map(Number),
  ports: options.ports.split(',').map(Number),
  servers: Number(options.servers),
  services: Number(options.services),
  seconds: Number(options.seconds)
})
process.stdout.write(`${JSON.stringify(point)}\n`)
