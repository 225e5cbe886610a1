/** HTTP client of the operators' interface of an entry. */
import { request } from 'node:http'
import type { Document, ConfigurationFault } from '@gooseberryspan/core'
import { EXIT, CommandError } from '../errors.js'

/** The address of the interface and how to call it. */
export interface ClientOptions {
  url: string
  token: string
  timeoutMs: number
}

/** The configuration document that is currently in force; `document` is missing when none was accepted yet. */
export interface CurrentConfiguration {
  revision: number
  document?: Document
}

/** The entry's answer to a configuration change. */
export interface ChangeResult {
  outcome: 'accepted' | 'refused' | 'unsettled' | 'unavailable' | 'valid'
  revision?: number
  faults?: ConfigurationFault[]
  error?: string
}

/** The entry's answer to an order of a roll-out. */
export interface RolloutResult {
  outcome: 'accepted' | 'refused' | 'unavailable'
  error?: string
}

/** A roll-out as an entry knows it; the counts are of the requests that its own schedulers have placed. */
export interface RolloutProgress {
  service: string
  target: string
  former: string[]
  phase: string
  requests: number
  targetRequests: number
}

/** Sends requests to the operators' interface of one entry. */
export class OperatorClient {
  private readonly _options: ClientOptions

  constructor (options: ClientOptions) {
    this._options = options
  }

  async configuration (): Promise<CurrentConfiguration> {
    return await this._send('GET', '/v1/configuration') as CurrentConfiguration
  }

  /** Sends a complete document that replaces the document of the given revision. */
  async change (text: string, revision: number, changeId: string): Promise<ChangeResult> {
    return await this._send('POST', '/v1/configuration', text, { 'if-match': String(revision), 'change-id': changeId }) as ChangeResult
  }

  async orderRollout (service: string, version: string, seconds: number): Promise<RolloutResult> {
    return await this._send('POST', '/v1/rollouts', JSON.stringify({ service, version, seconds })) as RolloutResult
  }

  async withdrawRollout (service: string): Promise<RolloutResult> {
    return await this._send('DELETE', `/v1/rollouts/${encodeURIComponent(service)}`) as RolloutResult
  }

  async rollouts (): Promise<RolloutProgress[]> {
    return (await this.status() as { rollouts: RolloutProgress[] }).rollouts
  }

  async status (): Promise<unknown> {
    return await this._send('GET', '/v1/status')
  }

  private _send (method: string, path: string, body?: string, extraHeaders: Record<string, string> = {}): Promise<unknown> {
    const { url, token, timeoutMs } = this._options
    const headers: Record<string, string | number> = { ...extraHeaders, authorization: `Bearer ${token}` }
    if (body !== undefined) headers['content-length'] = Buffer.byteLength(body)
    return new Promise((resolve, reject) => {
      const fail = (reason: string): void => reject(new CommandError(EXIT.unavailable, `${url}: ${reason}`))
      const outgoing = request(new URL(path, url), { method, headers, timeout: timeoutMs }, (response) => {
        let text = ''
        response.on('data', (chunk: Buffer) => {
          text += chunk.toString('utf8')
        })
        response.on('close', () => {
          if (response.statusCode === 401) return fail('the answer is 401: the token was refused')
          const value = response.complete ? parseJson(text) : undefined
          if (value === undefined) return fail('the whole answer did not arrive, or it is not valid JSON')
          resolve(value)
        })
      })
      outgoing.on('timeout', () => outgoing.destroy(new Error(`timed out: no answer within ${timeoutMs} ms`)))
      outgoing.on('error', (error) => fail(error.message))
      outgoing.end(body)
    })
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
