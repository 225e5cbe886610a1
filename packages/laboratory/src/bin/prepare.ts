#!/usr/bin/env node
/** Puts a document and backend servers into a platform stand-in, for measurements. */
import { readFileSync } from 'node:fs'
import { Command } from 'commander'
import { validateDocument, type ListedServer } from '@gooseberryspan/core'
import { ConfigurationStore, HttpPlatform } from '@gooseberryspan/platform'

const options = new Command('prepare')
  .requiredOption('--platform <url>', 'the platform stand-in')
  .requiredOption('--servers <file>', 'what the backend stand-ins printed')
  .parse().opts<{ platform: string, servers: string }>()

const servers = JSON.parse(readFileSync(options.servers, 'utf8')) as ListedServer[]
const platform = new HttpPlatform({ url: options.platform, timeoutMs: 2000, requestsPerSecond: 100 })
const services = [...new Set(servers.map((server) => server.service))]
const document = validateDocument({
  zones: [...new Set(servers.map((server) => server.zone))].map((name) => ({ name, region: 'r' })),
  services: services.map((name) => ({
    name, path: `/${name}`, slots: 200, coldLimit: 200, connections: 200, kinds: [{ name: 'get', methods: ['GET'], idempotent: true }]
  })),
  policies: { addressKeepMs: 500 }
})
await new ConfigurationStore(platform.tables).change(document, 0, 'prepare')
await platform.client.send('POST', '/control/instances', JSON.stringify(servers))
platform.close()
