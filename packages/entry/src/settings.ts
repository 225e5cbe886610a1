/** Settings of one entry process, read from YAML. */
import { readFileSync } from 'node:fs'
import { isIPv4 } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { parse } from 'yaml'
import * as z from 'zod'
import { InvalidSettings } from './errors.js'

const ADDRESS = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/
const MAX_PORT = 65_535
const addressSchema = z.string().refine(isAddress, 'must be an IP number and a port, like 10.0.1.10:8080')

/** Treats null and the empty string as absent, since a platform's settings template may leave a value empty. */
const optional = <T extends z.ZodType>(schema: T) => z.preprocess((value) => value === null || value === '' ? undefined : value, schema)

/** Schema of the settings file. The settings reference is generated from it. */
export const settingsSchema = z.strictObject({
  instance: z.string().regex(/^[\x21-\x7e]{1,255}$/, 'must be 1 to 255 visible ASCII characters')
    .describe('Name of this instance, unique among all.'),
  zone: z.string().min(1).describe('Availability zone this instance is in.'),
  cores: z.strictObject({
    share: optional(z.number().positive().default(1)).describe('Part of a core that this instance may use, or several cores.'),
    of: optional(z.number().positive().default(1)).describe('How fast that core is, against an ordinary one.')
  }).prefault({}),
  limits: z.strictObject({
    memoryMb: optional(z.number().min(64).optional()).describe(
      'Memory that this instance may use, in MiB, if less than the machine has.'
    ),
    descriptors: optional(z.int().min(1).optional()).describe(
      'Descriptors that this instance may open, if fewer than the system allows its processes.'
    )
  }).prefault({}),
  callers: z.strictObject({
    address: addressSchema.default('127.0.0.1:8080').describe('IP number and port for callers.'),
    holdBytes: z.int().min(0).default(1_048_576).describe('Bodies up to this size are held, larger ones are streamed, in bytes.'),
    maxUnanswered: optional(z.int().min(1).default(64)).describe(
      'Most requests of one connection that have no answer yet. A connection on which more are sent ahead is closed after their answers.'
    )
  }).prefault({}),
  directory: z.strictObject({
    address: optional(addressSchema.optional()).describe('Where callers ask for addresses; the callers\' address when absent.'),
    readyAddress: optional(addressSchema.optional()).describe('Where readiness is asked for; the callers\' address when absent.'),
    keepSeconds: optional(z.number().positive().max(600).default(2)).describe('How long callers may keep an address answer, in seconds.')
  }).prefault({}),
  peers: z.strictObject({
    address: addressSchema.default('127.0.0.1:8081').describe('IP number and port for other entries, both TCP and UDP.'),
    seeds: optional(z.array(addressSchema).default([])).describe('Addresses of a few entries that this one may join through.'),
    firstStart: optional(z.boolean().default(false)).describe('Whether all instances start for the first time: the store names none yet.'),
    token: z.string().min(8).optional().describe('Secret that entries show each other.')
  }).prefault({}),
  operators: z.strictObject({
    address: addressSchema.default('127.0.0.1:8082').describe('IP number and port of the operators\' interface.'),
    token: z.string().min(8).optional().describe('Bearer token of the operators\' interface; without one it does not listen.')
  }).prefault({}),
  store: z.strictObject({
    url: z.url().describe('Where the platform\'s store is.'),
    timeoutMs: z.int().min(10).default(1000).describe('Longest wait for an answer of the store, in milliseconds.'),
    requestsPerSecond: z.number().positive().default(20).describe('Requests that this process may send to the store, a second.')
  }),
  tolerances: z.strictObject({
    retryRatio: optional(z.number().min(0).default(0.2)).describe('Further attempts that a service bears for each request.'),
    retrySlack: optional(z.number().min(0).default(20)).describe(
      'Further attempts that a service bears beyond the ratio within one window.'
    ),
    retryWindowSeconds: optional(z.number().positive().default(10)).describe('Window of the two values above, in seconds.'),
    coldOverage: optional(z.number().min(0).default(1.5)).describe('How far requests to a cold backend server may go beyond its rate.'),
    coldSlack: optional(z.number().min(0).default(3)).describe('Requests to a cold backend server beyond that within one second.')
  }).prefault({}),
  customers: z.strictObject({
    strictRevoke: optional(z.boolean().default(false)).describe(
      'Whether an entry that is cut off stops serving keys, since they may have been withdrawn.'
    ),
    revokeMs: optional(z.number().min(0).default(5000)).describe('Time after which it does, in milliseconds.')
  }).prefault({}),
  rollouts: z.strictObject({
    exposureShare: optional(z.number().min(0).max(1).optional()).describe(
      'Part of a service\'s requests that a new software version gets until it has passed; without it, versions do not matter.'
    ),
    exposureSlack: optional(z.number().min(0).default(0)).describe('Further requests that such a version gets in one roll-out.')
  }).prefault({}),
  backends: z.strictObject({
    connectMs: z.int().min(1).default(250).describe('Longest time for a connection to a backend server, in milliseconds.'),
    probeMs: z.int().min(1).default(60).describe('Longest time for the answer to a probe, in milliseconds.'),
    headerPrefix: z.string().regex(/^[a-z][a-z0-9-]*$/).default('gooseberryspan').describe('Prefix of our header names.')
  }).prefault({}),
  stop: z.strictObject({
    graceSeconds: optional(z.number().min(0).default(30)).describe('Longest time for a planned stop, in seconds.'),
    lingerSeconds: optional(z.number().min(0).default(2.2))
      .describe('How long a stopping entry still takes requests of callers that kept its address, in seconds.')
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info').describe('Lowest level that is written.'),
    decisions: z.boolean().default(true).describe('Whether each decision is written.'),
    mostBytes: z.int().min(65_536).default(1_048_576).describe(
      'Log lines that wait for a slow reader, in bytes; later ones are dropped and counted.'
    )
  }).prefault({}),
  metrics: z.strictObject({
    address: optional(addressSchema.optional()).describe('Where metrics are read by HTTP, at /metrics; nowhere when absent.'),
    statsd: z.strictObject({
      host: z.string().default('127.0.0.1').describe('Where metrics are sent, by UDP.'),
      port: z.int().min(0).max(65535).default(8125).describe('Port that metrics are sent to.'),
      everyMs: z.int().min(100).default(10_000).describe('Time between reports, in milliseconds.')
    }).optional()
  }).prefault({})
})

/** Validated settings. */
export type Settings = z.infer<typeof settingsSchema>

/** An IP address and a port. */
export interface HostPort {
  host: string
  port: number
}

/** Splits an address that the schema has validated. */
export function parseHostPort (text: string): HostPort {
  const [, host, port] = ADDRESS.exec(text)!
  return { host: host!, port: Number(port) }
}

/** Settings with what had to be left out of them. */
export interface UsableSettings {
  settings: Settings
  /** One message for each part that is unusable and that an entry can do without. */
  leftOut: string[]
}

/** Parts without which an entry serves all the same. A part of the metrics is left out on its own, and so is one seed. */
const DISPENSABLE = [['metrics', 'address'], ['metrics', 'statsd'], ['peers', 'seeds'], ['limits', 'descriptors']] as const

/** Validates settings that were read from YAML or built by a program. */
export function checkSettings (raw: unknown): Settings {
  const result = settingsSchema.safeParse(raw)
  if (!result.success) throw refused(result.error.issues)
  const { callers, peers } = result.data
  if (callers.address === peers.address && parseHostPort(peers.address).port !== 0) {
    throw new InvalidSettings('settings refused: callers.address and peers.address are the same')
  }
  return result.data
}

/** Validates settings, but leaves out unusable parts that an entry can do without. */
export function usableSettings (raw: unknown): UsableSettings {
  const issues = settingsSchema.safeParse(raw).error?.issues ?? []
  const faults = issues.filter(({ path }) => DISPENSABLE.some(([section, name]) => path[0] === section && path[1] === name))
  if (faults.length === 0 || faults.length < issues.length) return { settings: checkSettings(raw), leftOut: [] }
  const reduced = structuredClone(raw) as Record<string, Record<string, unknown>>
  for (const { path: [section, name] } of faults) {
    const part = reduced[String(section)]!
    if (name === 'seeds') part.seeds = usableSeeds(part.seeds)
    else Reflect.deleteProperty(part, String(name))
  }
  return { settings: checkSettings(reduced), leftOut: faults.map(textOf) }
}

/** Reads and validates a settings file. */
export function readSettings (path: string): Settings {
  return checkSettings(readRaw(path))
}

/** Reads a settings file as an entry that starts does. */
export function readUsableSettings (path: string): UsableSettings {
  return usableSettings(readRaw(path))
}

/**
 * Reads a settings file at the start of an entry. A file that is missing, empty or not valid may be being written at this moment, so it is
 * read again for a short time.
 */
export async function awaitSettings (path: string): Promise<UsableSettings> {
  for (const startedAt = performance.now(); ;) {
    try {
      return readUsableSettings(path)
    } catch (error) {
      if (performance.now() - startedAt >= MAX_WRITE_MS) throw error
    }
    await pause(READ_INTERVAL_MS)
  }
}

/** Longer than a platform takes to replace a file, and short for whoever has mistyped a setting. */
const MAX_WRITE_MS = 1000
const READ_INTERVAL_MS = 25

function readRaw (path: string): unknown {
  try {
    return parse(readFileSync(path, 'utf8'))
  } catch (error) {
    throw new InvalidSettings({ cause: error as Error }, 'cannot read settings from %s', path)
  }
}

function refused (issues: z.core.$ZodIssue[]): InvalidSettings {
  return new InvalidSettings('settings refused: %s', issues.map(textOf).join('; '))
}

function textOf ({ path, message }: z.core.$ZodIssue): string {
  return `${path.join('.') || 'settings'}: ${message}`
}

function isAddress (text: string): boolean {
  const [, host, port] = ADDRESS.exec(text) ?? []
  return host !== undefined && isIPv4(host) && Number(port) <= MAX_PORT
}

function usableSeeds (seeds: unknown): unknown[] {
  return Array.isArray(seeds) ? seeds.filter((seed) => addressSchema.safeParse(seed).success) : []
}
