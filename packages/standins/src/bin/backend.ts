#!/usr/bin/env node
/** Executable gooseberryspan-backend: runs simulated backend servers in one process and registers them in the store. */
import { Command } from 'commander'
import { SeededRandom } from '@gooseberryspan/core'
import { HttpClient, HttpStore, DefaultStoreProtocol } from '@gooseberryspan/store'
import { StandInBackend } from '../backend/standInBackend.js'
import { BackendCounts } from '../backend/backendCounts.js'

interface Options {
  host: string
  count: string
  service: string
  zone: string
  slots: string
  queue: string
  meanMs: string
  coldPerSecond: string
  coldMs: string
  seed: string
  store?: string
}

const program = new Command('gooseberryspan-backend')
  .description('Runs simulated backend servers of one service in one availability zone.')
  .requiredOption('--service <name>', 'service of the servers')
  .requiredOption('--zone <name>', 'availability zone of the servers')
  .option('--host <ip>', 'address to listen on', '127.0.0.1')
  .option('--count <number>', 'number of servers', '1')
  .option('--slots <number>', 'number of requests that a server runs at a time', '2')
  .option('--queue <number>', 'number of requests that may wait at a server', '4')
  .option('--mean-ms <ms>', 'mean time that it takes to run a request', '10')
  .option('--cold-per-second <number>', 'requests a second that a cold server can handle', '5')
  .option('--cold-ms <ms>', 'how long a server is cold', '3000')
  .option('--seed <number>', 'random seed of the time that requests take', '1')
  .option('--store <url>', 'URL of the store to register in')
  .showHelpAfterError()

const options = program.parse().opts<Options>()
const truth = new BackendCounts()
const servers: StandInBackend[] = []
for (let index = 0; index < Number(options.count); index++) {
  const server = new StandInBackend({
    id: `${options.service}-${options.zone}-${index}`,
    service: options.service,
    zone: options.zone,
    host: options.host,
    slots: Number(options.slots),
    queue: Number(options.queue),
    meanMs: Number(options.meanMs),
    coldPerSecond: Number(options.coldPerSecond),
    coldMs: Number(options.coldMs),
    random: new SeededRandom(Number(options.seed) + index),
    truth
  })
  await server.start()
  servers.push(server)
}
if (options.store !== undefined) await registerServers(options.store)
process.stdout.write(`${JSON.stringify(servers.map((server) => ({ id: server.id, ...server.registration() })))}\n`)
for (const signal of ['SIGTERM', 'SIGINT']) {
  process.on(signal, () => {
    const { ran, full, overCold, doubleRuns, probes, requests } = truth
    process.stderr.write(`${JSON.stringify({ ran, full, overCold, doubleRuns, probes, requests })}\n`)
    process.exit(0)
  })
}

async function registerServers (url: string): Promise<void> {
  const client = new HttpClient({ url, timeoutMs: 1000, requestsPerSecond: 100 })
  const puts = servers.map((server) => ({ table: 'servers', key: server.id, value: JSON.stringify(server.registration()) }))
  await new HttpStore(client, new DefaultStoreProtocol()).transact({ conditions: [], puts, removes: [] })
  client.close()
}
