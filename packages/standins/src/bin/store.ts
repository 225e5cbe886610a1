#!/usr/bin/env node
/** Executable gooseberryspan-store: runs the simulated store in a process of its own. */
import { Command } from 'commander'
import { SeededRandom } from '@gooseberryspan/core'
import { StoreServer } from '../store/storeServer.js'

interface Options {
  host: string
  port: string
  seed: string
}

const program = new Command('gooseberryspan-store')
  .description('Runs a simulation of the platform\'s store. It keeps all data in memory only.')
  .option('--host <ip>', 'address to listen on', '127.0.0.1')
  .option('--port <port>', 'port to listen on', '7000')
  .option('--seed <number>', 'random seed of the simulated faults', '1')
  .showHelpAfterError()

const { host, port, seed } = program.parse().opts<Options>()
const server = new StoreServer({ host, port: Number(port), random: new SeededRandom(Number(seed)) })
process.stdout.write(`${await server.start()}\n`)
for (const signal of ['SIGTERM', 'SIGINT']) {
  process.on(signal, () => {
    server.stop()
    process.exit(0)
  })
}
