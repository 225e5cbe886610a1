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

/** Reads one body from its stream. */
class BodyReader {
  readonly result: Promise<Body>
  private readonly _message: IncomingMessage
  private readonly _limits: BodyLimits
  private readonly _length: number | undefined
  private readonly _parts: Buffer[] = []
  private readonly _timeout: InputTimeout | undefined
  private _size = 0
  private _resolve!: (body: Body) => void
  private _reject!: (error: Error) => void

  constructor (message: IncomingMessage, limits: BodyLimits, length: number | undefined) {
    this._message = message
    this._limits = limits
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
    if (this._limits.take?.(part.length) === false) {
      return this._fail(new BadRequest(503, 'entry', 'this entry has no memory left for the body'))
    }
    this._parts.push(part)
    this._size += part.length
    if (this._size > this._limits.mostBytes) return this._fail(bodyTooLarge(this._limits.mostBytes))
    if (this._size <= this._limits.holdBytes) return
    this._stop()
    this._message.pause()
    this._resolve({ buffered: Buffer.concat(this._parts), rest: this._message, length: this._length })
  }

  private readonly _onEnd = (): void => {
    this._stop()
    this._resolve({ buffered: Buffer.concat(this._parts), length: this._size })
  }

  private readonly _onClose = (): void => this._fail(new BadRequest(400, 'body', 'the body was cut off'))

  private readonly _onTimeout = (): void => this._fail(new BadRequest(408, 'body', 'the body did not arrive before the deadline'))

  private _fail (error: BadRequest): void {
    this._stop()
    this._parts.length = 0
    this._reject(error)
  }

  private _stop (): void {
    this._timeout?.clear()
    this._message.off('data', this._onData)
    this._message.off('end', this._onEnd)
    this._message.off('close', this._onClose)
  }
}
