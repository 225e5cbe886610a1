#!/usr/bin/env node
/** gooseberryspan-backend: backend server stand-ins in a process of their own; prints how the platform lists them. */
import { Command } from 'commander'
import { SystemRandom } from '@gooseberryspan/core'
import { StandInBackend } from '../backend/backendServer.js'
import { BackendTruth } from '../backend/backendTruth.js'

interface Options {
  host: string
  count: string
  service: string
  zone: string
  slots: string
  cold: string
  warmAfter: string
  meanMs: string
}

const program = new Command('gooseberryspan-backend')
  .description('Stand-ins for backend servers of one service in one zone.')
  .requiredOption('--service <name>', 'service they belong to')
  .requiredOption('--zone <name>', 'zone they are in')
  .option('--host <ip>', 'address to listen on', '127.0.0.1')
  .option('--count <number>', 'how many servers', '1')
  .option('--slots <number>', 'requests a warm server bears', '2')
  .option('--cold <number>', 'requests a cold server bears', '1')
  .option('--warm-after <number>', 'answers after which a server is warm', '4')
  .option('--mean-ms <ms>', 'mean time of a request', '10')
  .showHelpAfterError()

const options = program.parse().opts<Options>()
const truth = new BackendTruth()
const servers: StandInBackend[] = []
for (let index = 0; index < Number(options.count); index++) {
  const server = new StandInBackend({
    id: `${options.service}-${options.zone}-${index}`,
    service: options.service,
    zone: options.zone,
    host: options.host,
    slots: Number(options.slots),
    coldLimit: Number(options.cold),
    warmAfter: Number(options.warmAfter),
    meanMs: Number(options.meanMs),
    random: new SystemRandom(),
    truth
  })
  await server.start()
  servers.push(server)
}
process.stdout.write(`${JSON.stringify(servers.map((server) => server.listed()))}\n`)
for (const signal of ['SIGTERM', 'SIGINT']) {
  process.on(signal, () => {
    const { ran, shed, overSlot, overCold, doubleRuns, marks } = truth
    process.stderr.write(`${JSON.stringify({ ran, shed, overSlot, overCold, doubleRuns, marks })}\n`)
    process.exit(0)
  })
}
