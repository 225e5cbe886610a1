/** Encodes messages between entries as MessagePack datagrams. Fields are positional and are validated on receipt. */
import {
  isPort, parseRegisteredServer, type Member, type MemberUpdate, type PeerMessage, type Phase, type RegisteredServer, type Standing
} from '@gooseberryspan/core'
import { FIELD_SCHEMAS } from './fieldSchemas.js'
import { packr } from './packr.js'

/** The messages of one datagram with their sender. */
export interface Envelope {
  from: string
  incarnation: number
  messages: PeerMessage[]
}

/** The type of a message field; a question mark marks an optional field. */
type RequiredFieldType = 'number' | 'string' | 'numbers' | 'strings' | 'news' | 'server' | keyof typeof FIELD_SCHEMAS
type FieldType = RequiredFieldType | `${RequiredFieldType}?`

type Kind = PeerMessage['kind']

/** Fields of each message kind in wire order. The order must not change, since entries of different versions exchange messages. */
const FIELDS: Record<Kind, ReadonlyArray<readonly [name: string, type: FieldType]>> = {
  ping: [['sequence', 'number'], ['digest', 'number'], ['news', 'news'], ['target', 'string?'], ['entryCount', 'number?']],
  'ping-answer': [
    ['sequence', 'number'], ['digest', 'number'], ['news', 'news'], ['groups', 'numbers?'], ['target', 'string?'], ['fleet', 'fleet?']
  ],
  gossip: [['news', 'news']],
  compare: [['groups', 'numbers'], ['keys', 'numbers'], ['states', 'numbers']],
  want: [['keys', 'numbers']],
  'watch-beat': [['tables', 'tables'], ['relay', 'relay?'], ['reader', 'string?'], ['recoveredMs', 'number?'], ['steadyMs', 'number?']],
  rows: [
    ['table', 'table'], ['from', 'number'], ['to', 'number'], ['ageMs', 'number'], ['rows', 'rows'],
    ['relay', 'relay?'], ['era', 'number?'], ['recoveredMs', 'number?']
  ],
  place: [
    ['ask', 'number'], ['label', 'string'], ['service', 'string'], ['cell', 'string'], ['route', 'string'], ['purpose', 'purpose'],
    ['priority', 'number'],
    ['targetMs', 'number'], ['targetLeftMs', 'number'], ['leftMs', 'number'], ['waitMs', 'number'], ['avoid', 'strings'],
    ['bodyBytes', 'number?'], ['limits', 'limits?'], ['customer', 'string?'], ['connected', 'strings?']
  ],
  granted: [['ask', 'number'], ['server', 'server'], ['expectedMs', 'number'], ['basis', 'basis?']],
  queued: [['asks', 'numbers']],
  refused: [['ask', 'number'], ['reason', 'refusal'], ['retryAfterMs', 'number'], ['elsewhere', 'string?']],
  'cell-load': [['service', 'string'], ['cell', 'string'], ['pressure', 'number'], ['servers', 'number']],
  report: [['ask', 'number'], ['cell', 'string'], ['route', 'string'], ['server', 'string'], ['report', 'report']],
  withdraw: [['asks', 'numbers']],
  waiting: [['asks', 'numbers']],
  unknown: [['asks', 'numbers']],
  'server-leaving': [['server', 'string'], ['incarnation', 'string']],
  'rollout-report': [['service', 'string'], ['order', 'number'], ['routes', 'answers'], ['settled', 'flag']],
  'rollout-verdict': [['service', 'string'], ['order', 'number'], ['goesOn', 'flag']],
  'quota-ask': [['ask', 'number'], ['customer', 'string'], ['hops', 'number?']],
  'quota-answer': [['ask', 'number'], ['retryAfterMs', 'number?'], ['holder', 'string?']],
  'quota-refund': [['customer', 'string'], ['ageMs', 'number?']],
  'quota-collect': [['group', 'number'], ['leaseMs', 'number'], ['expiresAt', 'number'], ['reserve', 'flag']],
  'quota-lend': [
    ['group', 'number'], ['expiresAt', 'number'], ['parts', 'number'], ['isLent', 'flag?'], ['reserve', 'flag?'], ['holder', 'string?'],
    ['heldMs', 'number?']
  ],
  'quota-return': [['group', 'number'], ['expiresAt', 'number']],
  'quota-claim': [['group', 'number'], ['claimedAt', 'number']],
  'quota-handover': [
    ['group', 'number'], ['incarnation', 'number'], ['claimedAt', 'number'], ['fraction', 'number'],
    ['customers', 'strings'], ['tokens', 'numbers']
  ]
}

const KINDS = Object.keys(FIELDS) as Kind[]
const PHASES: readonly Phase[] = ['starting', 'ready', 'leaving']
const STANDINGS: readonly Standing[] = ['alive', 'suspect', 'dead']

/** Keeps a datagram within one network packet, so that it is not fragmented. */
const MAX_DATAGRAM_BYTES = 1300

/** Encodes messages into few datagrams, with the shared token if there is one. A message above the size limit gets its own datagram. */
export function encodeDatagrams (
  self: Pick<Member, 'instance' | 'incarnation'>, messages: readonly PeerMessage[], token: string | undefined
): Buffer[] {
  const data = packr.pack([self.instance, self.incarnation, token ?? null, messages.map(encodeMessage)])
  if (data.length <= MAX_DATAGRAM_BYTES || messages.length === 1) return [data]
  const half = messages.length >> 1
  return [...encodeDatagrams(self, messages.slice(0, half), token), ...encodeDatagrams(self, messages.slice(half), token)]
}

/** Decodes a datagram. Returns undefined if it is malformed or carries a wrong token. */
export function decodeDatagram (data: Buffer, token: string | undefined): Envelope | undefined {
  let raw: unknown
  try {
    raw = packr.unpack(data)
  } catch {
    return undefined
  }
  if (!Array.isArray(raw)) return undefined
  const [from, incarnation, senderToken, encodedMessages] = raw as unknown[]
  if (typeof from !== 'string' || typeof incarnation !== 'number' || !Array.isArray(encodedMessages)) return undefined
  if (token !== undefined && senderToken !== token) return undefined
  const messages: PeerMessage[] = []
  for (const item of encodedMessages) {
    const message = decodeMessage(item)
    if (!message) return undefined
    messages.push(message)
  }
  return { from, incarnation, messages }
}

function encodeMessage (message: PeerMessage): unknown[] {
  const values = message as unknown as Record<string, unknown>
  const items: unknown[] = [KINDS.indexOf(message.kind)]
  for (const [name, type] of FIELDS[message.kind]) items.push(encodeField(values[name], type))
  return items
}

function encodeField (value: unknown, type: FieldType): unknown {
  if (value === undefined) return null
  if (type === 'news') return (value as MemberUpdate[]).map(encodeUpdate)
  return type === 'server' ? encodeServer(value as RegisteredServer) : value
}

function decodeMessage (item: unknown): PeerMessage | undefined {
  if (!Array.isArray(item)) return undefined
  const kind = KINDS[item[0] as number]
  if (kind === undefined) return undefined
  const message: Record<string, unknown> = { kind }
  for (const [index, [name, type]] of FIELDS[kind].entries()) {
    const value = decodeField(item[index + 1], type)
    if (value === undefined && !type.endsWith('?')) return undefined
    if (value !== undefined) message[name] = value
  }
  return message as unknown as PeerMessage
}

/** Returns the value of a field, or undefined if it is absent or has the wrong type. */
function decodeField (value: unknown, type: FieldType): unknown {
  const required = type.replace('?', '') as RequiredFieldType
  switch (required) {
    case 'number': return typeof value === 'number' && Number.isFinite(value) ? value : undefined
    case 'string': return typeof value === 'string' ? value : undefined
    case 'numbers': return areNumbers(value) ? value : undefined
    case 'strings': return areStrings(value) ? value : undefined
    case 'news': return Array.isArray(value) ? decodeAll(value, decodeUpdate) : undefined
    case 'server': return decodeServer(value)
    default: return FIELD_SCHEMAS[required].safeParse(value).data
  }
}

function areNumbers (value: unknown): boolean {
  return Array.isArray(value) && value.every((item) => typeof item === 'number')
}

function areStrings (value: unknown): boolean {
  return Array.isArray(value) && value.every((item) => typeof item === 'string')
}

function decodeAll<T> (items: unknown[], read: (item: unknown) => T | undefined): T[] | undefined {
  const values: T[] = []
  for (const item of items) {
    const value = read(item)
    if (value === undefined) return undefined
    values.push(value)
  }
  return values
}

function encodeUpdate ({ member, standing }: MemberUpdate): unknown[] {
  const { instance, incarnation, zone, host, port, peerPort, cores, phase, reachesStore, isWarm, sequence } = member
  return [
    instance, incarnation, zone, host, port, peerPort, cores, PHASES.indexOf(phase), reachesStore, sequence, STANDINGS.indexOf(standing),
    isWarm
  ]
}

function decodeUpdate (item: unknown): MemberUpdate | undefined {
  if (!Array.isArray(item)) return undefined
  const [instance, incarnation, zone, host, port, peerPort, cores, phaseIndex, reachesStore, sequence, standingIndex, isWarm = true] =
    item as unknown[]
  const phase = PHASES[phaseIndex as number]
  const standing = STANDINGS[standingIndex as number]
  if (!areStrings([instance, zone, host]) || !areNumbers([incarnation, cores, sequence])) return undefined
  if (!isPort(port) || !isPort(peerPort)) return undefined
  if (phase === undefined || standing === undefined || typeof reachesStore !== 'boolean' || typeof isWarm !== 'boolean') return undefined
  const member = { instance, incarnation, zone, host, port, peerPort, cores, phase, reachesStore, isWarm, sequence } as Member
  return { member, standing }
}

function encodeServer (server: RegisteredServer): unknown[] {
  const { id, incarnation, service, host, port, zone, slots, state, coldMs, version, softwareVersion, era } = server
  const fields = [id, incarnation, service, host, port, zone, slots, state, coldMs, version]
  if (era !== undefined) return [...fields, softwareVersion ?? null, era]
  return softwareVersion === undefined ? fields : [...fields, softwareVersion]
}

function decodeServer (item: unknown): RegisteredServer | undefined {
  if (!Array.isArray(item)) return undefined
  const [id, incarnation, service, host, port, zone, slots, state, coldMs, version, softwareVersion, era] = item as unknown[]
  const fields: Record<string, unknown> = { id, incarnation, service, host, port, zone, slots, state, coldMs, version }
  if (softwareVersion !== undefined && softwareVersion !== null) fields.softwareVersion = softwareVersion
  if (era !== undefined) fields.era = era
  return parseRegisteredServer(fields)
}
