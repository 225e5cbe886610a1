/** Ends the parsing of a connection on which too many requests were sent ahead. */
import type { Socket } from 'node:net'

/** The HTTP parser that Node attaches to a socket. */
interface PausableParser {
  pause (): void
}

/** Code of the error with which Node's parser reports that it was paused in the middle of what it had received. */
export const PARSER_PAUSED_CODE = 'HPE_PAUSED'

/**
 * Reads nothing more from a connection, and parses nothing more of what was received: a network packet may hold thousands of requests, each
 * of which costs a request and a response object until the connection closes. Responses that are under way are still sent.
 */
export function stopReading (socket: Socket): void {
  socket.pause()
  const { parser } = socket as Socket & { parser?: PausableParser | null }
  if (typeof parser?.pause === 'function') parser.pause()
  else socket.destroy()
}
