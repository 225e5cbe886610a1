#!/usr/bin/env node
/** gooseberryspan-platform: the platform's stand-in as a process of its own. */
import { Command } from 'commander'
import { SystemRandom } from '@gooseberryspan/core'
import { PlatformServer } from '../platform/platformServer.js'

interface Options {
  host: string
  port: string
  lagMs: string
}

const program = new Command('gooseberryspan-platform')
  .description('A stand-in for the table service, object store and instance list. It forgets everything when it ends.')
  .option('--host <ip>', 'address to listen on', '127.0.0.1')
  .option('--port <port>', 'port to listen on', '7000')
  .option('--lag-ms <ms>', 'age of the instance list', '1000')
  .showHelpAfterError()

const { host, port, lagMs } = program.parse().opts<Options>()
const server = new PlatformServer({ host, port: Number(port), lagMs: Number(lagMs), random: new SystemRandom() })
process.stdout.write(`${await server.start()}\n`)
for (const signal of ['SIGTERM', 'SIGINT']) {
  process.on(signal, () => {
    server.stop()
    process.exit(0)
  })
}
