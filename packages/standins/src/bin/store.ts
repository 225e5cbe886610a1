#!/usr/bin/env node
/** gooseberryspan-store: the store's stand-in as a process of its own. */
import { Command } from 'commander'
import { SeededRandom } from '@gooseberryspan/core'
import { StoreServer } from '../store/storeServer.js'

interface Options {
  host: string
  port: string
  seed: string
}

const program = new Command('gooseberryspan-store')
  .description('A stand-in for the platform\'s store. It forgets everything when it ends.')
  .option('--host <ip>', 'address to listen on', '127.0.0.1')
  .option('--port <port>', 'port to listen on', '7000')
  .option('--seed <number>', 'seed of its faults', '1')
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
