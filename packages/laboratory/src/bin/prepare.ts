#!/usr/bin/env node
/** Declares the services of backend stand-ins that have registered themselves, for measurements. */
import { Command } from 'commander'
import { validateDocument } from '@gooseberryspan/core'
import { ConfigurationStore, HttpClient, HttpStore, OwnProtocol } from '@gooseberryspan/store'

const options = new Command('prepare')
  .requiredOption('--store <url>', 'the store stand-in')
  .option('--orders', 'declare a kind that must not run twice', false)
  .parse().opts<{ store: string, orders: boolean }>()

const client = new HttpClient({ url: options.store, timeoutMs: 2000, requestsPerSecond: 100 })
const store = new HttpStore(client, new OwnProtocol())
const { rows } = await store.readAll('servers')
const servers = rows.map((row) => JSON.parse(row.value!) as { service: string, zone: string })
const document = validateDocument({
  zones: [...new Set(servers.map(({ zone }) => zone))].map((name) => ({ name, region: 'r' })),
  services: [...new Set(servers.map(({ service }) => service))].map((name) => ({
    name,
    path: `/${name}`,
    kinds: [
      { name: 'get', methods: ['GET'], idempotent: true },
      ...(options.orders ? [{ name: 'place', methods: ['POST'], idempotent: false }] : [])
    ]
  }))
})
await new ConfigurationStore(store).change(document, 0, 'prepare')
client.close()
