#!/usr/bin/env node
/** Declares services and lists backend servers for a capacity point; all servers share one address. */
import { Command } from 'commander'
import type { ListedServer } from '@gooseberryspan/core'
import { ConfigurationStore, HttpPlatform } from '@gooseberryspan/platform'
import { capacityDocument, ZONES } from '../measure/capacityDocument.js'

const options = new Command('prepare-capacity')
  .requiredOption('--platform <url>', 'the platform stand-in')
  .requiredOption('--backend <port>', 'port that answers for all servers')
  .requiredOption('--servers <number>', 'servers to list')
  .requiredOption('--services <number>', 'services to declare')
  .parse().opts<{ platform: string, backend: string, servers: string, services: string }>()

const platform = new HttpPlatform({ url: options.platform, timeoutMs: 5000, requestsPerSecond: 100 })
const services = Number(options.services)
const servers: ListedServer[] = Array.from({ length: Number(options.servers) }, (_, index) => ({
  id: `server-${index}`,
  service: `service-${index % services}`,
  zone: ZONES[Math.floor(index / services) % ZONES.length]!.name,
  host: '127.0.0.1',
  port: Number(options.backend),
  state: 'live'
}))
await new ConfigurationStore(platform.tables).change(capacityDocument(services), 0, 'prepare')
await platform.client.send('POST', '/control/instances', JSON.stringify(servers))
platform.close()
