#!/usr/bin/env node
/** Declares services and registers backend servers for a capacity point; all servers share one address. */
import { Command } from 'commander'
import { ConfigurationStore, HttpClient, HttpStore, OwnProtocol, type ServerRegistration } from '@gooseberryspan/store'
import { capacityDocument, ZONES } from '../measure/capacityDocument.js'

const BATCH = 50
const FIRST_PORT = 20_000

const options = new Command('prepare-capacity')
  .requiredOption('--store <url>', 'the store stand-in')
  .requiredOption('--servers <number>', 'servers to register')
  .requiredOption('--services <number>', 'services to declare')
  .parse().opts<{ store: string, servers: string, services: string }>()

const client = new HttpClient({ url: options.store, timeoutMs: 5000, requestsPerSecond: 100 })
const store = new HttpStore(client, new OwnProtocol())
const services = Number(options.services)
await new ConfigurationStore(store).change(capacityDocument(services), 0, 'prepare')
const puts = Array.from({ length: Number(options.servers) }, (_, index) => {
  const registration: ServerRegistration = {
    incarnation: '1',
    service: `service-${index % services}`,
    zone: ZONES[Math.floor(index / services) % ZONES.length]!.name,
    host: '127.0.0.1',
    port: FIRST_PORT + index,
    slots: 3,
    state: 'ready',
    coldMs: 0
  }
  return { table: 'servers', key: `server-${index}`, value: JSON.stringify(registration) }
})
for (let start = 0; start < puts.length; start += BATCH) {
  await store.transact({ conditions: [], puts: puts.slice(start, start + BATCH), removes: [] })
}
client.close()
