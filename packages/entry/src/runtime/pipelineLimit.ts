/** Stops the parsing of a connection on which too many requests were sent ahead. */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** The HTTP parser that Node attaches to a socket, as far as it is used here. */
interface Parser {
  /** Parses data, and returns the number of bytes parsed or an error. */
  execute (data: Buffer): number | Error
}

/** What the parsing of a connection depends on. */
export interface ParsedConnection {
  /** Number of requests whose header has been read. */
  readonly requestsRead: number
  /** The request that was read last. */
  readonly lastRequest?: IncomingMessage
  /** Nothing more is parsed. */
  readonly stopped: boolean
}

/**
 * Node reads up to 64 KB at once and parses all of it: thousands of requests, each of which costs a request and a response object until
 * the connection closes. In small parts, few requests are parsed after the limit was reached. Parts grow while no request begins in them,
 * and a body of known length is parsed as it comes, since bodies cost no objects.
 */
const MIN_PARSED_BYTES = 1024
const MAX_PARSED_BYTES = 4096

/** Lets the parser of a new connection parse in small parts until the connection is stopped; the rest is dropped unparsed. */
export function limitParsing (socket: Socket, connection: ParsedConnection): void {
  const { parser } = socket as Socket & { parser?: Parser | null }
  if (!parser) return
  const { execute } = Object.getPrototypeOf(parser) as Parser
  /** Bytes of the present body that are certainly still to come. */
  let bodyLeft = 0
  parser.execute = (data) => {
    for (let offset = 0, size = MIN_PARSED_BYTES; offset < data.length && !connection.stopped;) {
      const { requestsRead } = connection
      const part = data.subarray(offset, offset + Math.max(size, bodyLeft))
      const parsed = execute.call(parser, part)
      if (parsed !== part.length) return parsed instanceof Error ? parsed : offset + parsed
      offset += part.length
      const isNew = connection.requestsRead !== requestsRead
      bodyLeft = Math.max(0, (isNew ? bodyLengthOf(connection.lastRequest) : bodyLeft) - part.length)
      size = isNew ? MIN_PARSED_BYTES : Math.min(MAX_PARSED_BYTES, size * 2)
    }
    return data.length
  }
  // Node uses parsers again for other connections.
  socket.once('close', () => Reflect.deleteProperty(parser, 'execute'))
  // Without a listener of its own, Node's parser reads from the socket by itself.
  socket.on('data', () => {})
}

/** The length of a request's body as its header states it; 0 if it states none. */
function bodyLengthOf (request: IncomingMessage | undefined): number {
  return Number(request?.headers['content-length'] ?? 0)
}
