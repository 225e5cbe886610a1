/** An answer on its way back: held as a whole, or its beginning with the rest still to come. */
import type { IncomingMessage } from 'node:http'

/** What came from a backend server or a peer. */
export interface Answer {
  status: number
  /** Names and values in turn, as received. */
  headers: string[]
  held: Buffer
  /** The rest, when the answer is too large to hold. */
  rest?: IncomingMessage
}

/** Told of an answer's course. */
export interface AnswerListener {
  /** All of it is here. */
  whole (answer: Answer): void
  /** It is too large to hold and has to be passed on as it comes. */
  large (answer: Answer): void
  /** It ended before its length, or the connection broke. */
  broken (error: Error): void
}

/** Reads an answer and checks that it is whole. A truncated one is reported as broken. */
export function readAnswer (message: IncomingMessage, holdBytes: number, listener: AnswerListener): void {
  const parts: Buffer[] = []
  let size = 0
  const answer = (): Answer => ({ status: message.statusCode ?? 502, headers: message.rawHeaders, held: Buffer.concat(parts) })
  const onData = (part: Buffer): void => {
    parts.push(part)
    size += part.length
    if (size <= holdBytes) return
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
    listener.broken(new Error('the answer was cut off'))
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
