/** Settings of one entry process, from YAML. */
import { readFileSync } from 'node:fs'
import { parse } from 'yaml'
import { z } from 'zod'
import { LEASE_TIMES } from '@gooseberryspan/core'
import { BadSettings } from './errors.js'

const port = z.int().min(0).max(65535)

/** The schema of the settings file; also the source of the settings reference. */
export const settingsSchema = z.strictObject({
  instance: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9.-]{0,62}$/).describe('Name of this instance, unique among all.'),
  zone: z.string().min(1).describe('Availability zone this instance is in.'),
  region: z.string().min(1).describe('Region the zone belongs to.'),
  host: z.string().default('127.0.0.1').describe('IP number that callers, peers and operators use.'),
  callers: z.strictObject({
    port: port.default(8080).describe('Port for callers.'),
    holdBytes: z.int().min(0).default(262_144).describe('Bodies up to this size are held, larger ones are streamed, in bytes.'),
    headerBytes: z.int().min(1024).max(1_048_576).default(16_384).describe('Largest request header, in bytes.'),
    headersMs: z.int().min(1).default(5000).describe('Longest time for a request\'s headers, in milliseconds.'),
    requestMs: z.int().min(1).default(60_000).describe('Longest time for a whole request, in milliseconds.')
  }).prefault({}),
  peers: z.strictObject({
    port: port.default(8081).describe('Port for other entries.'),
    token: z.string().min(8).optional().describe('Secret that entries show each other.')
  }).prefault({}),
  operators: z.strictObject({
    port: port.default(8082).describe('Port of the operators\' interface.'),
    token: z.string().min(8).optional().describe('Bearer token of the operators\' interface; without one it does not listen.')
  }).prefault({}),
  platform: z.strictObject({
    url: z.url().describe('Where the platform\'s services are.'),
    timeoutMs: z.int().min(10).default(1000).describe('Longest wait for an answer of the platform, in milliseconds.'),
    requestsPerSecond: z.number().positive().default(20)
      .describe('Requests for control that this process may send to the platform, a second.'),
    claimsPerSecond: z.number().positive().default(40)
      .describe('Requests for idempotency keys, many keys in each, that this process may send to the platform, a second.'),
    listMs: z.int().min(100).default(2000).describe('Time between readings of the instance list, in milliseconds.')
  }),
  lease: z.strictObject({
    termMs: z.int().min(100).default(LEASE_TIMES.termMs).describe('How long one renewal lasts, in milliseconds.'),
    renewMs: z.int().min(10).default(LEASE_TIMES.renewMs).describe('Time between renewals, in milliseconds.'),
    marginMs: z.int().min(10).default(LEASE_TIMES.marginMs).describe('What others wait beyond the term, in milliseconds.'),
    abandonMs: z.int().min(1000).default(LEASE_TIMES.abandonMs)
      .describe('What a joining entry waits before it evicts entries that never answered, in milliseconds.')
  }).prefault({}),
  backends: z.strictObject({
    connectMs: z.int().min(1).default(250).describe('Longest time for a connection to a backend server, in milliseconds.'),
    probePath: z.string().startsWith('/').default('/health').describe('Path of a backend server\'s health and load.'),
    headerPrefix: z.string().regex(/^[a-z][a-z0-9-]*$/).default('gooseberryspan').describe('Prefix of our header names.')
  }).prefault({}),
  stopMs: z.int().min(0).default(30_000).describe('Longest time for a planned stop, in milliseconds.'),
  log: z.strictObject({
    level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info').describe('Lowest level that is written.'),
    decisions: z.boolean().default(true).describe('Whether each routing or placement decision is written.')
  }).prefault({}),
  metrics: z.strictObject({
    host: z.string().default('127.0.0.1').describe('Where metrics are sent, by UDP.'),
    port: port.default(8125).describe('Port that metrics are sent to.'),
    everyMs: z.int().min(100).default(10_000).describe('Time between reports, in milliseconds.')
  }).optional()
}).refine((settings) => settings.lease.renewMs * 2 <= settings.lease.termMs, {
  path: ['lease', 'renewMs'], message: 'must be at most half of lease.termMs'
})

/** Validated settings. */
export type Settings = z.infer<typeof settingsSchema>

/** Checks settings read from YAML or made by a program. */
export function checkSettings (raw: unknown): Settings {
  const result = settingsSchema.safeParse(raw)
  if (result.success) return result.data
  const faults = result.error.issues.map((issue) => `${issue.path.join('.') || 'settings'}: ${issue.message}`)
  throw new BadSettings('settings refused: %s', faults.join('; '))
}

/** Reads and checks a settings file. */
export function readSettings (path: string): Settings {
  let raw: unknown
  try {
    raw = parse(readFileSync(path, 'utf8'))
  } catch (error) {
    throw new BadSettings({ cause: error as Error }, 'cannot read settings from %s', path)
  }
  return checkSettings(raw)
}
