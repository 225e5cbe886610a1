/** A caller of the entries, with one of several behaviours. */
import { setTimeout as pause } from 'node:timers/promises'
import { draw } from '@gooseberryspan/core'
import { CallerConnection } from './callerConnection.js'
import type { EntryInstance } from './entryInstance.js'
import { fill, type RequestKind, type RunContext, type SentRequest } from './ledger.js'

/** What a caller does on its connections. `pressing` callers send without a pause. */
export type Behaviour = 'regular' | 'pressing' | 'pipelining' | 'uploading' | 'slow-reading' | 'leaving' | 'malformed'

/** Options of a caller. */
export interface CallerOptions extends RunContext {
  behaviour: Behaviour
  instances: readonly EntryInstance[]
}

const KINDS: readonly RequestKind[] = ['safe', 'safe', 'safe', 'unsafe', 'unsafe', 'upload']
const PATHS: Record<RequestKind, string> = { safe: '/check/', unsafe: '/order/', upload: '/sheet/' }
const HOST = 'a.example'
const MIN_DEADLINE_MS = 1000
const DEADLINE_RANGE_MS = 1500
/** Wait beyond the deadline before the caller leaves. */
const LEAVE_MS = 500
const MAX_PAUSE_MS = 150
const REQUESTS_PER_CONNECTION = 25
const PIPELINED = 4
const LARGE_BYTES = 400_000
const UPLOAD_BYTES = 150_000
const UPLOAD_PARTS = 6
const MALFORMED = [
  'GET /none/1 HTTP/1.1\r\nHost: a.example\r\nBad Name: x\r\n\r\n',
  'GET // HTTP/1.1\r\nHost: a.example\r\n\r\n',
  'GET /none/1 HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n\r\n',
  'POST /order/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n' +
    'POST /order/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: smuggled\r\n\r\n',
  'POST /none/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
  'POST /order/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: -1\r\n\r\n',
  'CONNECT a.example:80 HTTP/1.1\r\nHost: a.example\r\n\r\n',
  'GET /none/1 HTTP/1.1\r\nHost: a.example\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n',
  'POST /none/1 HTTP/1.1\r\nHost: a.example\r\nExpect: 200-maybe\r\nContent-Length: 5\r\n\r\nab',
  'GET /%ff%00 HTTP/1.1\r\nHost: \u0001\r\n\r\n',
  `GET /none/1 HTTP/1.1\r\nHost: a.example\r\nX: ${'y'.repeat(20_000)}\r\n\r\n`,
  '\u0016\u0003\u0001\u0002\u0000\u0001', 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n', '\r\n\r\n\r\n', 'GET'
]
let lastId = 0

/** Sends requests until it is stopped. */
export class Caller {
  private readonly _options: CallerOptions
  private _stopped = false

  constructor (options: CallerOptions) {
    this._options = options
  }

  stop (): void {
    this._stopped = true
  }

  async run (): Promise<void> {
    const { instances, random } = this._options
    while (!this._stopped) {
      const instance = draw(instances, random)!
      const connection = new CallerConnection(instance.host, instance.ports.callers)
      if (await Promise.race([connection.opened, pause(MIN_DEADLINE_MS, false)])) await this._use(connection, instance)
      connection.end()
      await this._pause()
    }
  }

  /** Sends one regular request to an instance and returns the status, or undefined without an answer. */
  async probe (instance: EntryInstance): Promise<number | undefined> {
    const connection = new CallerConnection(instance.host, instance.ports.callers)
    const outcome = await connection.opened && await this._exchange(connection, this._request(instance, 'safe', true))
    connection.end()
    return typeof outcome === 'object' ? outcome.status : undefined
  }

  private async _use (connection: CallerConnection, instance: EntryInstance): Promise<void> {
    for (let count = 0; count < REQUESTS_PER_CONNECTION && !connection.closed && !this._stopped; count++) {
      if (!await this._once(connection, instance)) return
      if (connection.stray !== '' && this._options.behaviour !== 'malformed') {
        this._options.report.finding('mixed', `${instance.name} sent bytes that no request waits for: ${JSON.stringify(connection.stray)}`)
        return
      }
      await this._pause()
    }
  }

  /** Returns whether the connection can be used again. */
  private async _once (connection: CallerConnection, instance: EntryInstance): Promise<boolean> {
    const { behaviour, random } = this._options
    switch (behaviour) {
      case 'regular':
      case 'pressing': return isUsable(await this._exchange(connection, this._request(instance, draw(KINDS, random)!, true)))
      case 'pipelining': {
        const requests = Array.from({ length: PIPELINED }, (_, index) => this._request(instance, 'safe', index === 0))
        return (await Promise.all(requests.map((request) => this._exchange(connection, request)))).every(isUsable)
      }
      case 'uploading': return await this._upload(connection, instance)
      case 'slow-reading': {
        const outcome = this._exchange(connection, { ...this._request(instance, 'safe', false), ...answerOf('/check/', LARGE_BYTES) })
        connection.socket.pause()
        await pause(random.next() * MIN_DEADLINE_MS)
        connection.socket.resume()
        return isUsable(await outcome)
      }
      case 'leaving': {
        const request = this._request(instance, draw(KINDS, random)!, false)
        this._options.ledger.send(request)
        const bytes = requestBytes(request)
        connection.socket.write(random.next() < 0.3 ? bytes.subarray(0, bytes.length >> 1) : bytes)
        await pause(random.next() * MAX_PAUSE_MS)
        this._options.ledger.abandoned(request.id)
        return false
      }
      case 'malformed':
        connection.socket.write(draw(MALFORMED, random)!, 'latin1')
        await pause(random.next() * LEAVE_MS)
        return random.next() < 0.3
    }
  }

  private _request (instance: EntryInstance, kind: RequestKind, regular: boolean): SentRequest {
    const { random, report } = this._options
    lastId += 1
    return {
      id: lastId.toString(16).padStart(16, '0'),
      kind,
      ...answerOf(PATHS[kind], Math.floor(random.next() * 2000)),
      entry: instance.index,
      deadlineMs: Math.round(MIN_DEADLINE_MS + random.next() * DEADLINE_RANGE_MS),
      sentAt: report.now,
      regular,
      bodyBytes: kind === 'safe' ? 0 : Math.floor(random.next() * (kind === 'upload' ? UPLOAD_BYTES : 500))
    }
  }

  /** Sends a request; `write` replaces the way in which its bytes are written. */
  private async _exchange (connection: CallerConnection, request: SentRequest, write?: (bytes: Buffer) => void) {
    const { ledger, instances } = this._options
    ledger.send(request)
    if (write) write(requestBytes(request))
    else connection.socket.write(requestBytes(request))
    const outcome = await connection.nextAnswer(request.deadlineMs + LEAVE_MS)
    if (outcome === 'lost') ledger.lost(request.id, instances[request.entry]!.lastStopAt)
    else if (outcome === 'late') ledger.abandoned(request.id)
    else ledger.answered(request.id, outcome)
    return outcome
  }

  /** Sends a body in parts, with pauses; stops when an answer arrives before the end. */
  private async _upload (connection: CallerConnection, instance: EntryInstance): Promise<boolean> {
    const { random } = this._options
    const request = this._request(instance, 'upload', false)
    const state = { answered: false }
    const write = async (bytes: Buffer): Promise<void> => {
      const size = Math.ceil(bytes.length / UPLOAD_PARTS)
      for (let at = 0; at < bytes.length && !state.answered && !connection.closed; at += size) {
        connection.socket.write(bytes.subarray(at, at + size))
        await pause(random.next() * MAX_PAUSE_MS)
      }
    }
    const outcome = await this._exchange(connection, request, (bytes) => void write(bytes))
    state.answered = true
    return isUsable(outcome) && typeof outcome === 'object' && outcome.status === 200
  }

  private async _pause (): Promise<void> {
    await pause(this._options.behaviour === 'pressing' ? 0 : this._options.random.next() * MAX_PAUSE_MS)
  }
}

function isUsable (outcome: object | string): boolean {
  return typeof outcome === 'object'
}

/** The path states the size of the answer. */
function answerOf (prefix: string, answerBytes: number): { path: string, answerBytes: number } {
  return { path: `${prefix}${answerBytes}`, answerBytes }
}

function requestBytes ({ id, kind, path, deadlineMs, bodyBytes }: SentRequest): Buffer {
  const lines = [`${kind === 'safe' ? 'GET' : 'POST'} ${path} HTTP/1.1`, `Host: ${HOST}`, `Request-Id: ${id}`, `Deadline-Ms: ${deadlineMs}`]
  if (kind !== 'safe') lines.push(`Content-Length: ${bodyBytes}`)
  return Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\n\r\n`), fill(id, bodyBytes)])
}
