/** A simulated caller: requests the addresses of entries, caches them, and sends its calls to one of them. */
import { Agent, request } from 'node:http'
import { draw, type Random } from '@gooseberryspan/core'

/** The result of a call. */
export interface CallResult {
  outcome: 'answered' | 'not-run' | 'unknown' | 'cut'
  status: number
  reason?: string
  text: string
  ms: number
}

/** A request that a caller sends. */
export interface Call {
  service: string
  method: string
  path: string
  /** The request id that the caller assigns. */
  name: string
  body?: string
}

/** The address at which an entry accepts callers. */
export interface EntryAddress {
  host: string
  port: number
}

/** Options of a simulated caller. */
export interface CallerOptions {
  zone: string
  /** Returns the configured addresses of entries, from which the caller requests its list of addresses. */
  entryAddresses: () => EntryAddress[]
  random: Random
}

interface CachedAddresses {
  addresses: EntryAddress[]
  until: number
}

const HEADER_PREFIX = 'gooseberryspan'
const ADDRESS_TIMEOUT_MS = 1000
const CALL_TIMEOUT_MS = 15_000
const MAX_ADDRESSES_TRIED = 4

/** Sends requests and tries another address only if nothing was sent yet. */
export class Caller {
  private readonly _agent = new Agent({ keepAlive: true, maxFreeSockets: 32, timeout: 3000 })
  private readonly _options: CallerOptions
  private _cached: CachedAddresses | undefined

  constructor (options: CallerOptions) {
    this._options = options
  }

  /** Calls a service. If no connection can be opened, the caller drops the address and tries another one, since nothing was sent. */
  async call (call: Call): Promise<CallResult> {
    const startedAt = performance.now()
    for (let attempts = 0; attempts < MAX_ADDRESSES_TRIED; attempts++) {
      const address = draw(await this._addresses(), this._options.random)
      if (!address) break
      const result = await this._send(address, call)
      if (result) return { ...result, ms: performance.now() - startedAt }
      this._dropAddress(address)
    }
    return { outcome: 'not-run', status: 0, reason: 'no-address', text: '', ms: performance.now() - startedAt }
  }

  close (): void {
    this._agent.destroy()
  }

  private async _addresses (): Promise<EntryAddress[]> {
    const cached = this._cached
    if (cached && performance.now() < cached.until && cached.addresses.length > 0) return cached.addresses
    const knownAddresses = [...cached?.addresses ?? [], ...this._options.entryAddresses()]
    const start = Math.floor(this._options.random.next() * knownAddresses.length)
    for (let step = 0; step < knownAddresses.length; step++) {
      const answer = await this._fetchAddresses(knownAddresses[(start + step) % knownAddresses.length]!)
      if (!answer) continue
      this._cached = { addresses: answer.addresses, until: performance.now() + answer.keepMs }
      return answer.addresses
    }
    return []
  }

  private _dropAddress (address: EntryAddress): void {
    if (this._cached) this._cached.addresses = this._cached.addresses.filter((other) => other !== address)
  }

  private _fetchAddresses ({ host, port }: EntryAddress): Promise<{ addresses: EntryAddress[], keepMs: number } | undefined> {
    return new Promise((resolve) => {
      const path = `/v1/addresses?zone=${this._options.zone}`
      const call = request({ host, port, path, agent: this._agent, timeout: ADDRESS_TIMEOUT_MS }, (answer) => {
        let text = ''
        answer.on('data', (part: Buffer) => { text += part.toString() })
        answer.on('close', () => resolve(answer.statusCode === 200 && answer.complete ? JSON.parse(text) : undefined))
      })
      call.on('timeout', () => call.destroy())
      call.on('error', () => resolve(undefined))
      call.end()
    })
  }

  private _send ({ host, port }: EntryAddress, call: Call): Promise<Omit<CallResult, 'ms'> | undefined> {
    return new Promise((resolve) => {
      const headers: Record<string, string> = { [`${HEADER_PREFIX}-request-id`]: call.name }
      if (call.body !== undefined) headers['content-length'] = String(Buffer.byteLength(call.body))
      let connected = false
      const { method, path } = call
      const outgoing = request({ host, port, method, path, headers, agent: this._agent, timeout: CALL_TIMEOUT_MS }, (answer) => {
        let text = ''
        answer.on('data', (part: Buffer) => { text += part.toString() })
        answer.on('error', () => {})
        answer.on('close', () => {
          const outcome = answer.headers[`${HEADER_PREFIX}-outcome`]
          const known = outcome === 'answered' || outcome === 'not-run' ? outcome : 'unknown'
          const reason = String(answer.headers[`${HEADER_PREFIX}-reason`] ?? '')
          resolve({ outcome: answer.complete ? known : 'cut', status: answer.statusCode ?? 0, reason, text })
        })
      })
      outgoing.on('socket', (socket) => {
        connected = !socket.connecting
        if (!connected) socket.once('connect', () => { connected = true })
      })
      outgoing.on('timeout', () => outgoing.destroy())
      outgoing.on('error', () => resolve(connected ? { outcome: 'cut', status: 0, text: '' } : undefined))
      outgoing.end(call.body)
    })
  }
}
