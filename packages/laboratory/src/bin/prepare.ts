#!/usr/bin/env node
/** Puts a document and backend servers into a platform stand-in, for measurements. */
import { readFileSync } from 'node:fs'
import { Command } from 'commander'
import { validateDocument, type ListedServer } from '@gooseberryspan/core'
import { ConfigurationStore, HttpPlatform } from '@gooseberryspan/platform'

const options = new Command('prepare')
  .requiredOption('--platform <url>', 'the platform stand-in')
  .requiredOption('--servers <file>', 'what the backend stand-ins printed')
  .option('--slots <number>', 'slots of each server', '200')
  .option('--cold <number>', 'cold limit of each server', '200')
  .option('--orders', 'declare a kind that must not run twice', false)
  .parse().opts<{ platform: string, servers: string, slots: string, cold: string, orders: boolean }>()

const servers = JSON.parse(readFileSync(options.servers, 'utf8')) as ListedServer[]
const platform = new HttpPlatform({ url: options.platform, timeoutMs: 2000, requestsPerSecond: 100 })
const services = [...new Set(servers.map((server) => server.service))]
const document = validateDocument({
  zones: [...new Set(servers.map((server) => server.zone))].map((name) => ({ name, region: 'r' })),
  services: services.map((name) => ({
    name,
    path: `/${name}`,
    slots: Number(options.slots),
    coldLimit: Number(options.cold),
    connections: 2 * Number(options.slots) + 1,
    kinds: [
      { name: 'get', methods: ['GET'], idempotent: true },
      ...(options.orders ? [{ name: 'place', methods: ['POST'], idempotent: false }] : [])
    ]
  })),
  policies: { addressKeepMs: 500 }
})
await new ConfigurationStore(platform.tables).change(document, 0, 'prepare')
await platform.client.send('POST', '/control/instances', JSON.stringify(servers))
platform.close()
