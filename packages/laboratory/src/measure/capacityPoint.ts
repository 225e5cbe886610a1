/** One size of a deployment of real entry processes: what control costs each, and how fast a change is everywhere. */
import { get } from 'node:http'
import type { Status } from '@gooseberryspan/entry'
import { ConfigurationStore, HttpClient, HttpStore, OwnProtocol } from '@gooseberryspan/store'
import { pause } from '../load/openLoop.js'
import { processUse } from '../load/processUse.js'

/** The processes that are measured. */
export interface PointOptions {
  store: string
  pids: number[]
  ports: number[]
  servers: number
  services: number
  seconds: number
}

/** Figures of one size. Figures for an entry are means over all entries. */
export interface CapacityPoint {
  entries: number
  servers: number
  services: number
  /** From start until every entry is ready and knows all others, in milliseconds. */
  settleMs: number
  /** Processor time for control, in percent of a core. */
  cpuPercent: number
  cpuPercentMost: number
  residentMb: number
  residentMbMost: number
  storeRequestsPerSecond: number
  storeBytesPerSecond: number
  peerMessagesPerSecond: number
  peerBytesPerSecond: number
  /** From an accepted change to in force at the last entry, in milliseconds. */
  inForceMs: number
  /** Bytes to and from the store and peers that one change cost an entry. */
  bytesPerChange: number
  documentBytes: number
}

const SETTLE_MS = 90_000
const POLL_MS = 250
const CHANGES = 5

/** Waits until all are ready, then measures. */
export async function measurePoint (options: PointOptions): Promise<CapacityPoint> {
  const { store: url, pids, servers, services, seconds } = options
  const settleMs = await settle(options)
  await pause(4000)
  const client = new HttpClient({ url, timeoutMs: 5000, requestsPerSecond: 100 })
  const store = new ConfigurationStore(new HttpStore(client, new OwnProtocol()))
  const calm = await spend(options, () => pause(seconds * 1000))
  const inForce: number[] = []
  const changing = await spend(options, async () => {
    for (let change = 0; change < CHANGES; change++) inForce.push(await changeOnce(store, options.ports, change))
  })
  const document = await store.read()
  client.close()
  const resident = pids.map((pid) => processUse(pid).residentBytes / 1e6)
  const calmBytes = calm.storeBytes + calm.peerBytes
  const changingBytes = changing.storeBytes + changing.peerBytes
  return {
    entries: pids.length,
    servers,
    services,
    settleMs: Math.round(settleMs),
    cpuPercent: round(mean(calm.cpuMs) / calm.ms * 100),
    cpuPercentMost: round(Math.max(...calm.cpuMs) / calm.ms * 100),
    residentMb: round(mean(resident)),
    residentMbMost: round(Math.max(...resident)),
    storeRequestsPerSecond: round(calm.storeRequests / calm.ms * 1000),
    storeBytesPerSecond: round(calm.storeBytes / calm.ms * 1000),
    peerMessagesPerSecond: round(calm.peerMessages / calm.ms * 1000),
    peerBytesPerSecond: round(calm.peerBytes / calm.ms * 1000),
    inForceMs: Math.round(Math.max(...inForce)),
    bytesPerChange: round((changingBytes - calmBytes / calm.ms * changing.ms) / CHANGES),
    documentBytes: JSON.stringify(document?.document).length
  }
}

interface Spent {
  ms: number
  cpuMs: number[]
  storeRequests: number
  storeBytes: number
  peerMessages: number
  peerBytes: number
}

/** What each entry spends on average while something is done. */
async function spend ({ pids, ports }: PointOptions, act: () => Promise<void>): Promise<Spent> {
  const look = async () => {
    return { at: performance.now(), cpu: pids.map((pid) => processUse(pid).cpuMs), control: await Promise.all(ports.map(controlOf)) }
  }
  const before = await look()
  await act()
  const after = await look()
  const grown = (pick: (control: Status['control']) => number): number =>
    mean(after.control.map((control, index) => pick(control) - pick(before.control[index]!)))
  return {
    ms: after.at - before.at,
    cpuMs: after.cpu.map((ms, index) => ms - before.cpu[index]!),
    storeRequests: grown((control) => control.storeRequests),
    storeBytes: grown((control) => control.storeBytes),
    peerMessages: grown((control) => control.peerMessages),
    peerBytes: grown((control) => control.peerBytes)
  }
}

async function changeOnce (store: ConfigurationStore, ports: number[], change: number): Promise<number> {
  const current = await store.read()
  const services = current!.document.services.map((service, index) => index === change ? { ...service, coldMs: 2500 + change } : service)
  const outcome = await store.change({ ...current!.document, services }, current!.revision, `measured-${current!.revision}`)
  const acceptedAt = performance.now()
  if (outcome.kind !== 'accepted') throw new Error(outcome.kind)
  while (performance.now() - acceptedAt < SETTLE_MS) {
    const all = await Promise.all(ports.map(statusOf))
    if (all.every((status) => status.revision >= outcome.revision)) return performance.now() - acceptedAt
    await pause(20)
  }
  throw new Error('a change did not come into force')
}

async function settle ({ ports, servers }: PointOptions): Promise<number> {
  const startedAt = performance.now()
  while (performance.now() - startedAt < SETTLE_MS) {
    const all = await Promise.all(ports.map((port) => statusOf(port).catch(() => undefined)))
    if (all.every(
      (status) => status?.listedServers === servers && status.members.length === ports.length
    )) return performance.now() - startedAt
    await pause(POLL_MS)
  }
  throw new Error('the entries did not settle')
}

async function controlOf (port: number): Promise<Status['control']> {
  return (await statusOf(port)).control
}

function statusOf (port: number): Promise<Status> {
  return new Promise((resolve, reject) => {
    get({ host: '127.0.0.1', port, path: '/v1/status' }, (answer) => {
      const parts: Buffer[] = []
      answer.on('data', (part: Buffer) => parts.push(part))
      answer.on('end', () => resolve(JSON.parse(Buffer.concat(parts).toString('utf8')) as Status))
    }).on('error', reject)
  })
}

function mean (values: number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function round (value: number): number {
  return Math.round(value * 1000) / 1000
}
