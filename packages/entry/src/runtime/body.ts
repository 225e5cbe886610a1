/** A request's body: held as a whole, or its beginning with the rest still to come. */
import type { IncomingMessage } from 'node:http'
import { BadRequest } from '../errors.js'

/** What was read of a body. */
export interface Body {
  held: Buffer
  /** The rest, when the body is too large to hold. */
  rest?: IncomingMessage
  /** Declared length in bytes. */
  length?: number
}

/** Bounds on a body, in bytes. */
export interface BodyBounds {
  holdBytes: number
  mostBytes: number
}

/** Reads a body up to what may be held. Rejects with `BadRequest` when it is too large or cut off. */
export function readBody (message: IncomingMessage, bounds: BodyBounds): Promise<Body> {
  const declared = message.headers['content-length']
  const length = declared === undefined ? undefined : Number(declared)
  if (length !== undefined && length > bounds.mostBytes) return Promise.reject(tooLarge(bounds))
  if (length === 0 || (length === undefined && message.headers['transfer-encoding'] === undefined)) {
    return Promise.resolve({ held: Buffer.alloc(0), length: 0 })
  }
  if (length !== undefined && length > bounds.holdBytes) return Promise.resolve({ held: Buffer.alloc(0), rest: message, length })
  return hold(message, bounds)
}

function hold (message: IncomingMessage, bounds: BodyBounds): Promise<Body> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = []
    let size = 0
    const onData = (part: Buffer): void => {
      parts.push(part)
      size += part.length
      if (size > Math.min(bounds.holdBytes, bounds.mostBytes)) settle(() => reject(tooLarge(bounds)))
    }
    const onEnd = (): void => settle(() => resolve({ held: Buffer.concat(parts), length: size }))
    const onClose = (): void => settle(() => reject(new BadRequest(400, 'body', 'the body was cut off')))
    const settle = (finish: () => void): void => {
      message.off('data', onData)
      message.off('end', onEnd)
      message.off('close', onClose)
      finish()
    }
    message.on('data', onData)
    message.on('end', onEnd)
    message.on('close', onClose)
  })
}

function tooLarge (bounds: BodyBounds): BadRequest {
  const { mostBytes, holdBytes } = bounds
  return new BadRequest(413, 'body', `the body is larger than ${mostBytes} bytes, or has no length and more than ${holdBytes}`)
}
