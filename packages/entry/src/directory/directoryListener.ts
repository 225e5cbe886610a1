/** Serves the addresses of ready entries to callers, and the readiness, status and health of this entry. */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import type { EntryNode } from '../runtime/entryNode.js'
import { sendJson } from '../runtime/json.js'

/** Options of a `DirectoryListener`. */
export interface DirectoryOptions {
  node: EntryNode
  /** How long callers may cache an answer, in seconds. */
  keepSeconds: number
}

/** Request handler of the directory. */
export class DirectoryListener {
  private readonly _options: DirectoryOptions

  constructor (options: DirectoryOptions) {
    this._options = options
  }

  /** Whether the directory handles a path. */
  serves (path: string): boolean {
    const { paths } = this._options.node.dialect
    const [name] = path.split('?', 1)
    return name === paths.ready || name === paths.addresses || name === STATUS_PATH || name === HEALTH_PATH
  }

  readonly listener: RequestListener = (request, response) => {
    const { node } = this._options
    const { paths } = node.dialect
    const [path, query] = (request.url ?? '/').split('?', 2)
    response.on('error', () => {})
    switch (path) {
      case paths.ready: return sendJson(response, node.ready ? 200 : 503, { ready: node.ready })
      case paths.addresses:
        this._answerAddressQuery(request, response, new URLSearchParams(query)).catch((error: unknown) => {
          node.log.error({ err: error }, 'address query failed with an internal error')
          if (!response.headersSent) sendJson(response, 500, { error: 'internal error' })
        })
        return
      case STATUS_PATH: return sendJson(response, 200, node.status())
      case HEALTH_PATH: return sendJson(response, 200, { healthy: true })
      default: return sendJson(response, 404, { error: `no ${path}` })
    }
  }

  private async _answerAddressQuery (request: IncomingMessage, response: ServerResponse, parameters: URLSearchParams): Promise<void> {
    const { node, keepSeconds } = this._options
    const { dialect, core } = node
    if (request.method !== 'GET') return sendJson(response, 405, { error: 'addresses are asked for by GET' })
    const query = dialect.parseAddressQuery(parameters)
    if (query.service !== undefined && !core.declarations.service(query.service)) {
      return sendJson(response, 404, { error: `no service '${query.service}'` })
    }
    let members = core.addressesFor(query.zone)
    // An entry that has just started learns the other entries after a short time.
    for (let waitedMs = 0; members.length === 0 && waitedMs < MAX_ADDRESS_WAIT_MS && !response.closed; waitedMs += POLL_INTERVAL_MS) {
      await pause(POLL_INTERVAL_MS)
      members = core.addressesFor(query.zone)
    }
    if (members.length === 0) return sendJson(response, 503, { error: 'no entry is ready; ask another' })
    sendJson(response, 200, dialect.formatAddressAnswer(members, keepSeconds, query))
  }
}

/** Longest wait of an address query while no ready entry is known. Callers time out after one second. */
const MAX_ADDRESS_WAIT_MS = 700
const POLL_INTERVAL_MS = 40
const STATUS_PATH = '/v1/status'
const HEALTH_PATH = '/healthz'
