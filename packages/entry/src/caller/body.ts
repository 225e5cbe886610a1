/** A request's body: held as a whole, or its beginning with the rest still to come. */
import type { IncomingMessage } from 'node:http'
import { BadRequest } from '../errors.js'

/** What was read of a body. */
export interface Body {
  held: Buffer
  /** The rest, when the body is too large to hold. */
  rest?: IncomingMessage
  /** Length in bytes, when it is known. */
  length?: number
}

/** Bounds on a body, in bytes. */
export interface BodyBounds {
  holdBytes: number
  mostBytes: number
}

const EMPTY = Buffer.alloc(0)

/** Reads a body up to what may be held. Rejects with `BadRequest` when it is too large or cut off. */
export function readBody (message: IncomingMessage, bounds: BodyBounds): Promise<Body> {
  const declared = message.headers['content-length']
  const length = declared === undefined ? undefined : Number(declared)
  if (length !== undefined && length > bounds.mostBytes) return Promise.reject(tooLarge(bounds.mostBytes))
  if (length === 0 || (length === undefined && message.headers['transfer-encoding'] === undefined)) {
    return Promise.resolve({ held: EMPTY, length: 0 })
  }
  return new BodyReading(message, bounds, length).result
}

/** The error for a body beyond the limit. */
export function tooLarge (mostBytes: number): BadRequest {
  return new BadRequest(413, 'body', `the body is larger than ${mostBytes} bytes`)
}

/** One body being read. */
class BodyReading {
  readonly result: Promise<Body>
  private readonly _message: IncomingMessage
  private readonly _bounds: BodyBounds
  private readonly _length: number | undefined
  private readonly _parts: Buffer[] = []
  private _size = 0
  private _resolve!: (body: Body) => void
  private _reject!: (error: Error) => void

  constructor (message: IncomingMessage, bounds: BodyBounds, length: number | undefined) {
    this._message = message
    this._bounds = bounds
    this._length = length
    this.result = new Promise((resolve, reject) => {
      this._resolve = resolve
      this._reject = reject
    })
    message.on('data', this._onData)
    message.on('end', this._onEnd)
    message.on('close', this._onClose)
  }

  private readonly _onData = (part: Buffer): void => {
    this._parts.push(part)
    this._size += part.length
    if (this._size > this._bounds.mostBytes) {
      this._stop()
      return this._reject(tooLarge(this._bounds.mostBytes))
    }
    if (this._size <= this._bounds.holdBytes) return
    this._stop()
    this._message.pause()
    this._resolve({ held: Buffer.concat(this._parts), rest: this._message, length: this._length })
  }

  private readonly _onEnd = (): void => {
    this._stop()
    this._resolve({ held: Buffer.concat(this._parts), length: this._size })
  }

  private readonly _onClose = (): void => {
    this._stop()
    this._reject(new BadRequest(400, 'body', 'the body was cut off'))
  }

  private _stop (): void {
    this._message.off('data', this._onData)
    this._message.off('end', this._onEnd)
    this._message.off('close', this._onClose)
  }
}
