/** A caller's connection: writes bytes as given and reads answers in order. */
import { connect, type Socket } from 'node:net'

/** An answer with a complete body. */
export interface Answer {
  status: number
  headers: Record<string, string>
  body: Buffer
}

/** The result of a request; `lost` if the connection ended before the answer was complete, `late` if the caller gave up. */
export type Outcome = Answer | 'lost' | 'late'

const HEAD_END = '\r\n\r\n'

/** One connection to an entry. */
export class CallerConnection {
  readonly socket: Socket
  readonly opened: Promise<boolean>
  closed = false
  /** Bytes that arrived while no request was waiting. */
  stray = ''
  private _buffer: Buffer = Buffer.alloc(0)
  private readonly _waiting: Array<(outcome: Outcome) => void> = []

  constructor (host: string, port: number) {
    this.socket = connect({ host, port, noDelay: true })
    this.opened = new Promise((resolve) => {
      this.socket.once('connect', () => resolve(true))
      this.socket.once('close', () => resolve(false))
    })
    this.socket.on('data', (part: Buffer) => this._read(part))
    this.socket.on('error', () => {})
    // A reset has no 'end', so an answer without a length stays incomplete.
    this.socket.on('end', () => this._next(true))
    this.socket.on('close', () => this._close())
  }

  /** Resolves with the next answer. */
  nextAnswer (timeoutMs: number): Promise<Outcome> {
    return new Promise((resolve) => {
      if (this.closed) return resolve('lost')
      const timer = setTimeout(() => resolve('late'), timeoutMs)
      this._waiting.push((outcome) => {
        clearTimeout(timer)
        resolve(outcome)
      })
      this._next(false)
    })
  }

  end (): void {
    this.socket.destroy()
  }

  private _read (part: Buffer): void {
    this._buffer = this._buffer.length === 0 ? part : Buffer.concat([this._buffer, part])
    this._next(false)
  }

  private _next (ended: boolean): void {
    while (this._buffer.length > 0) {
      const taken = takeAnswer(this._buffer, ended)
      if (this._waiting.length === 0) this.stray = this._buffer.subarray(0, 60).toString('latin1')
      if (!taken) return
      this._buffer = this._buffer.subarray(taken.size)
      if (taken.answer.status >= 200) this._waiting.shift()?.(taken.answer)
    }
  }

  private _close (): void {
    this.closed = true
    for (const resolve of this._waiting.splice(0)) resolve('lost')
  }
}

/** Takes a complete answer from the beginning of the bytes, if there is one. */
function takeAnswer (bytes: Buffer, ended: boolean): { answer: Answer, size: number } | undefined {
  const headEnd = bytes.indexOf(HEAD_END)
  if (headEnd < 0) return undefined
  const [first, ...lines] = bytes.subarray(0, headEnd).toString('latin1').split('\r\n')
  const headers: Record<string, string> = {}
  for (const line of lines) {
    const colon = line.indexOf(':')
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim()
  }
  const status = Number(first!.split(' ')[1])
  const start = headEnd + HEAD_END.length
  const found = findBody(bytes, start, status, headers, ended)
  return found && { answer: { status, headers, body: found.body }, size: found.end }
}

function findBody (bytes: Buffer, start: number, status: number, headers: Record<string, string>, ended: boolean) {
  if (status < 200 || status === 204) return { body: Buffer.alloc(0), end: start }
  if (headers['transfer-encoding'] === 'chunked') return findChunks(bytes, start)
  if (headers['content-length'] === undefined) return ended ? { body: bytes.subarray(start), end: bytes.length } : undefined
  const end = start + Number(headers['content-length'])
  return bytes.length < end ? undefined : { body: bytes.subarray(start, end), end }
}

function findChunks (bytes: Buffer, start: number): { body: Buffer, end: number } | undefined {
  const parts: Buffer[] = []
  let at = start
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    if (lineEnd < 0) return undefined
    const size = Number.parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16)
    at = lineEnd + 2 + size + 2
    if (bytes.length < at) return undefined
    if (size === 0) return { body: Buffer.concat(parts), end: at }
    parts.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size))
  }
}
