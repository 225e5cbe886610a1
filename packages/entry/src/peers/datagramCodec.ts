/** Messages between entries as JSON datagrams, checked at the edge. */
import type { Member, PeerMessage } from '@gooseberryspan/core'

/** Messages with their sender. */
export interface Envelope {
  from: string
  incarnation: number
  messages: PeerMessage[]
}

/** What a field of a message has to be. */
type Shape = 'number' | 'string' | 'list' | 'object'

/** Fields that each kind of message must have. */
const FIELDS: Record<PeerMessage['kind'], Record<string, Shape>> = {
  ping: { sequence: 'number', news: 'list' },
  'ping-answer': { sequence: 'number', news: 'list' },
  gossip: { news: 'list' },
  'watch-beat': { tables: 'list', relay: 'list' },
  rows: { table: 'string', from: 'number', to: 'number', ageMs: 'number', rows: 'list', relay: 'list' },
  place: {
    ask: 'number',
    label: 'string',
    service: 'string',
    route: 'string',
    purpose: 'string',
    priority: 'number',
    targetMs: 'number',
    targetLeftMs: 'number',
    leftMs: 'number',
    waitMs: 'number',
    avoid: 'list'
  },
  granted: { ask: 'number', server: 'object', expectedMs: 'number' },
  queued: { asks: 'list' },
  refused: { ask: 'number', reason: 'string', retryAfterMs: 'number' },
  report: { ask: 'number', service: 'string', route: 'string', server: 'string', report: 'object' },
  withdraw: { service: 'string', asks: 'list' },
  waiting: { service: 'string', asks: 'list' },
  unknown: { asks: 'list' }
}

const MEMBER_FIELDS: Record<string, Shape> = {
  instance: 'string',
  incarnation: 'number',
  zone: 'string',
  host: 'string',
  port: 'number',
  peerPort: 'number',
  cores: 'number',
  phase: 'string',
  sequence: 'number'
}

/** Writes a datagram; entries that share a secret show it. */
export function writeDatagram (
  self: Pick<Member, 'instance' | 'incarnation'>, messages: readonly PeerMessage[], token: string | undefined
): string {
  return JSON.stringify({ f: self.instance, i: self.incarnation, t: token, m: messages })
}

/** Reads a datagram; undefined when it is not one of ours. */
export function readDatagram (data: Buffer, token: string | undefined): Envelope | undefined {
  let raw: { f?: unknown, i?: unknown, t?: unknown, m?: unknown } | null
  try {
    raw = JSON.parse(data.toString('utf8'))
  } catch {
    return undefined
  }
  if (raw === null || typeof raw !== 'object') return undefined
  const { f: from, i: incarnation, t: shown, m: messages } = raw
  if (typeof from !== 'string' || typeof incarnation !== 'number' || !Array.isArray(messages)) return undefined
  if (token !== undefined && shown !== token) return undefined
  return messages.every(isMessage) ? { from, incarnation, messages } : undefined
}

function isMessage (value: unknown): value is PeerMessage {
  const kind = (value as { kind?: unknown } | null)?.kind
  if (typeof kind !== 'string' || !Object.hasOwn(FIELDS, kind)) return false
  const message = value as Record<string, unknown>
  if (!hasShape(message, FIELDS[kind as PeerMessage['kind']])) return false
  return !Array.isArray(message.news) || message.news.every(isNews)
}

function isNews (value: unknown): boolean {
  const news = value as { member?: Record<string, unknown>, standing?: unknown } | null
  return typeof news?.standing === 'string' && typeof news.member === 'object' && hasShape(news.member, MEMBER_FIELDS)
}

function hasShape (value: Record<string, unknown>, fields: Record<string, Shape>): boolean {
  for (const [name, shape] of Object.entries(fields)) {
    const field = value[name]
    const type = Array.isArray(field) ? 'list' : field === null ? 'nothing' : typeof field
    if (type !== shape) return false
  }
  return true
}
