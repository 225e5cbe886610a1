/** A caller: asks which address to use, keeps the answer a while, and connects there. */
import { Agent, request } from 'node:http'
import type { Address, Random } from '@gooseberryspan/core'

/** How a call went. */
export interface CallResult {
  outcome: 'answered' | 'not-run' | 'unknown' | 'cut'
  status: number
  reason?: string
  text: string
  ms: number
}

/** One call. */
export interface Call {
  service: string
  method: string
  path: string
  mark: string
  body?: string
  idempotencyKey?: string
}

/** What a caller is built from. */
export interface CallerOptions {
  name: string
  /** Addresses it was told of once, for its first question. */
  known: () => Array<{ host: string, port: number }>
  random: Random
}

interface Kept {
  addresses: Address[]
  until: number
}

const HEADER = 'gooseberryspan'
const ASK_TIMEOUT_MS = 1000
const CALL_TIMEOUT_MS = 15_000

/** Sends requests as a well-behaved caller does. */
export class Caller {
  private readonly _agent = new Agent({ keepAlive: true, maxFreeSockets: 32, timeout: 3000 })
  private readonly _kept = new Map<string, Kept>()
  private readonly _options: CallerOptions

  constructor (options: CallerOptions) {
    this._options = options
  }

  /** Calls a service. An address whose connection is refused is dropped and the next one tried: nothing was sent yet. */
  async call (call: Call): Promise<CallResult> {
    const startedAt = performance.now()
    for (let tries = 0; tries < 4; tries++) {
      const addresses = await this._addresses(call.service)
      const address = addresses[0]
      if (!address) break
      const result = await this._send(address.host, address.port, call)
      if (result) return { ...result, ms: performance.now() - startedAt }
      this._forget(call.service)
    }
    return { outcome: 'not-run', status: 0, reason: 'no-address', text: '', ms: performance.now() - startedAt }
  }

  close (): void {
    this._agent.destroy()
  }

  private async _addresses (service: string): Promise<Address[]> {
    const kept = this._kept.get(service)
    if (kept && performance.now() < kept.until && kept.addresses.length > 0) return kept.addresses
    const known = [...kept?.addresses ?? [], ...this._options.known()]
    const start = Math.floor(this._options.random.next() * known.length)
    for (let step = 0; step < known.length; step++) {
      const answer = await this._ask(known[(start + step) % known.length]!, service)
      if (!answer) continue
      this._kept.set(service, { addresses: answer.addresses, until: performance.now() + answer.keepMs })
      return answer.addresses
    }
    return []
  }

  private _forget (service: string): void {
    const kept = this._kept.get(service)
    if (kept) kept.addresses = kept.addresses.slice(1)
  }

  private _ask (address: { host: string, port: number }, service: string): Promise<{ addresses: Address[], keepMs: number } | undefined> {
    return new Promise((resolve) => {
      const path = `/v1/addresses?service=${service}`
      const call = request({ ...addressOf(address), path, agent: this._agent, timeout: ASK_TIMEOUT_MS }, (answer) => {
        let text = ''
        answer.on('data', (part: Buffer) => { text += part.toString() })
        answer.on('close', () => resolve(answer.statusCode === 200 && answer.complete ? JSON.parse(text) : undefined))
      })
      call.on('timeout', () => call.destroy())
      call.on('error', () => resolve(undefined))
      call.end()
    })
  }

  private _send (host: string, port: number, call: Call): Promise<Omit<CallResult, 'ms'> | undefined> {
    return new Promise((resolve) => {
      const headers: Record<string, string> = {
        [`${HEADER}-service`]: call.service, [`${HEADER}-caller`]: this._options.name, 'x-mark': call.mark
      }
      if (call.idempotencyKey !== undefined) headers['idempotency-key'] = call.idempotencyKey
      if (call.body !== undefined) headers['content-length'] = String(Buffer.byteLength(call.body))
      let connected = false
      const { method, path } = call
      const out = request({ host, port, method, path, headers, agent: this._agent, timeout: CALL_TIMEOUT_MS }, (answer) => {
        let text = ''
        answer.on('data', (part: Buffer) => { text += part.toString() })
        answer.on('close', () => {
          const outcome = answer.headers[`${HEADER}-outcome`]
          const known = outcome === 'answered' || outcome === 'not-run' ? outcome : 'unknown'
          resolve({
            outcome: answer.complete ? known : 'cut',
            status: answer.statusCode ?? 0,
            reason: String(answer.headers[`${HEADER}-reason`] ?? ''),
            text
          })
        })
      })
      out.on('socket', (socket) => {
        connected = !socket.connecting
        if (!connected) socket.once('connect', () => { connected = true })
      })
      out.on('timeout', () => out.destroy())
      out.on('error', () => resolve(connected ? { outcome: 'cut', status: 0, text: '' } : undefined))
      out.end(call.body)
    })
  }
}

function addressOf ({ host, port }: { host: string, port: number }): { host: string, port: number } {
  return { host, port }
}
