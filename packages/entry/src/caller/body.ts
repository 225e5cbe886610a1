/** Reads request bodies. A small body is buffered completely, of a large one only the beginning. */
import type { IncomingMessage } from 'node:http'
import { BadRequest } from '../errors.js'
import { InputTimeout } from '../pendingInput.js'

/** A request body. */
export interface Body {
  /** The part that was read: all of the body unless `rest` is set. */
  buffered: Buffer
  /** The rest of the body, if it is too large to buffer. */
  rest?: IncomingMessage
  /** Length of the whole body in bytes, if known. */
  length?: number
}

/** Size limits of a body, in bytes. */
export interface BodyLimits {
  /** Larger bodies are not buffered completely. */
  holdBytes: number
  /** Larger bodies are rejected. */
  mostBytes: number
  /** Longest time until the body is buffered, in milliseconds; unlimited if absent. */
  timeoutMs?: number
  /** Returns whether there is memory for further bytes; always if absent. */
  take?: (bytes: number) => boolean
}

const EMPTY_BODY = Buffer.alloc(0)
/** Blocks of a body grow from the first of these sizes to the second, so that a small body does not hold much more than it has. */
const MIN_BLOCK_BYTES = 1024
const MAX_BLOCK_BYTES = 65_536

/** Reads a body up to `holdBytes`. Rejects with `BadRequest` if the body is too large or truncated, is late, or has no memory left. */
export function readBody (message: IncomingMessage, limits: BodyLimits): Promise<Body> {
  const declared = message.headers['content-length']
  const length = declared === undefined ? undefined : Number(declared)
  if (length !== undefined && length > limits.mostBytes) return Promise.reject(bodyTooLarge(limits.mostBytes))
  if (length === 0 || (length === undefined && message.headers['transfer-encoding'] === undefined)) {
    return Promise.resolve({ buffered: EMPTY_BODY, length: 0 })
  }
  return new BodyReader(message, limits, length).result
}

/** Creates the error for a body above the size limit. */
export function bodyTooLarge (mostBytes: number): BadRequest {
  return new BadRequest(413, 'body', `the body is larger than ${mostBytes} bytes`)
}

/** Collects the chunks of a body in blocks, since each small chunk kept by itself would cost many times its size. */
class BodyBuffer {
  private readonly _blocks: Buffer[] = []
  private readonly _mayHold: ((bytes: number) => boolean) | undefined
  /** Bytes used of the last block. */
  private _used = 0

  /** `mayHold` returns whether there is memory for a further block, which it counts. */
  constructor (mayHold?: (bytes: number) => boolean) {
    this._mayHold = mayHold
  }

  /** Copies a chunk. Returns whether there was memory for it. */
  append (chunk: Buffer): boolean {
    let copied = 0
    while (copied < chunk.length) {
      const last = this._blocks.at(-1)
      if (last === undefined || this._used === last.length) {
        const size = Math.max(chunk.length - copied, Math.min(MAX_BLOCK_BYTES, MIN_BLOCK_BYTES << this._blocks.length))
        if (this._mayHold?.(size) === false) return false
        this._blocks.push(Buffer.allocUnsafeSlow(size))
        this._used = 0
        continue
      }
      const count = chunk.copy(last, this._used, copied)
      copied += count
      this._used += count
    }
    return true
  }

  /** Returns all chunks as one buffer, and forgets them. */
  take (): Buffer {
    const blocks = this._blocks.splice(0)
    const last = blocks.pop()
    if (last === undefined) return EMPTY_BODY
    const used = last.subarray(0, this._used)
    return blocks.length === 0 ? used : Buffer.concat([...blocks, used])
  }

  clear (): void {
    this._blocks.length = 0
  }
}

/** Reads one body from its stream. */
class BodyReader {
  readonly result: Promise<Body>
  private readonly _message: IncomingMessage
  private readonly _limits: BodyLimits
  private readonly _length: number | undefined
  private readonly _buffer: BodyBuffer
  private readonly _timeout: InputTimeout | undefined
  private _size = 0
  private _resolve!: (body: Body) => void
  private _reject!: (error: Error) => void

  constructor (message: IncomingMessage, limits: BodyLimits, length: number | undefined) {
    this._message = message
    this._limits = limits
    this._buffer = new BodyBuffer(limits.take)
    this._length = length
    this.result = new Promise((resolve, reject) => {
      this._resolve = resolve
      this._reject = reject
    })
    if (limits.timeoutMs !== undefined) this._timeout = new InputTimeout(limits.timeoutMs, this._onTimeout)
    message.on('data', this._onData)
    message.on('end', this._onEnd)
    message.on('close', this._onClose)
  }

  private readonly _onData = (part: Buffer): void => {
    if (!this._buffer.append(part)) return this._fail(new BadRequest(503, 'entry', 'this entry has no memory left for the body'))
    this._size += part.length
    if (this._size > this._limits.mostBytes) return this._fail(bodyTooLarge(this._limits.mostBytes))
    if (this._size <= this._limits.holdBytes) return
    this._stop()
    this._message.pause()
    this._resolve({ buffered: this._buffer.take(), rest: this._message, length: this._length })
  }

  private readonly _onEnd = (): void => {
    this._stop()
    this._resolve({ buffered: this._buffer.take(), length: this._size })
  }

  private readonly _onClose = (): void => this._fail(new BadRequest(400, 'body', 'the body was cut off'))

  private readonly _onTimeout = (): void => this._fail(new BadRequest(408, 'body', 'the body did not arrive before the deadline'))

  private _fail (error: BadRequest): void {
    this._stop()
    this._buffer.clear()
    this._reject(error)
  }

  private _stop (): void {
    this._timeout?.clear()
    this._message.off('data', this._onData)
    this._message.off('end', this._onEnd)
    this._message.off('close', this._onClose)
  }
}
