/** An answer that is buffered completely, or its buffered beginning with the stream of the rest. */
import type { IncomingMessage } from 'node:http'

/** An answer of a backend server. */
export interface Answer {
  status: number
  /** Alternating names and values, as received. */
  headers: string[]
  /** The part of the body that was read: all of it unless `rest` is set. */
  buffered: Buffer
  /** The rest of the body, if the answer is too large to buffer. */
  rest?: IncomingMessage
}

/** Receives the result of reading an answer. */
export interface AnswerListener {
  /** The answer was received and buffered completely. */
  whole (answer: Answer): void
  /** The answer is too large to buffer and has to be streamed. */
  large (answer: Answer): void
  /** The answer ended before its declared length, or the connection was closed. */
  broken (error: Error): void
}

/** Limits on the part of an answer that is buffered. */
export interface AnswerLimits {
  /** Larger answers are not buffered completely, in bytes. */
  holdBytes: number
  /** Returns whether there is memory for further bytes. Without it, the rest of the answer is streamed. */
  take: (bytes: number) => boolean
}

/** Reads an answer as far as the limits allow and checks that it is complete. A truncated answer is reported as broken. */
export function readAnswer (message: IncomingMessage, { holdBytes, take }: AnswerLimits, listener: AnswerListener): void {
  const parts: Buffer[] = []
  let size = 0
  const answer = (): Answer => ({ status: message.statusCode ?? 502, headers: message.rawHeaders, buffered: Buffer.concat(parts) })
  const onData = (part: Buffer): void => {
    parts.push(part)
    size += part.length
    if (take(part.length) && size <= holdBytes) return
    message.pause()
    stop()
    listener.large({ ...answer(), rest: message })
  }
  const onEnd = (): void => {
    if (!message.complete) return
    stop()
    listener.whole(answer())
  }
  const onClose = (): void => {
    stop()
    listener.broken(new Error('answer cut off: the connection closed before the end of the body'))
  }
  const stop = (): void => {
    message.off('data', onData)
    message.off('end', onEnd)
    message.off('close', onClose)
  }
  message.on('data', onData)
  message.on('end', onEnd)
  message.on('close', onClose)
  message.on('error', () => {})
}
