/** Talks to an entry's operators' interface. */
import { request } from 'node:http'
import type { Document, Fault } from '@gooseberryspan/core'
import { EXIT, FailedCommand } from '../errors.js'

/** Where the interface is. */
export interface ClientOptions {
  url: string
  token: string
  timeoutMs: number
}

/** The document in force. */
export interface InForce {
  revision: number
  document?: Document
}

/** What became of a document that was sent. */
export interface ChangeAnswer {
  outcome: 'accepted' | 'refused' | 'unsettled' | 'unavailable' | 'valid'
  revision?: number
  faults?: Fault[]
  error?: string
}

/** One entry's operators' interface. */
export class OperatorClient {
  private readonly _options: ClientOptions

  constructor (options: ClientOptions) {
    this._options = options
  }

  async configuration (): Promise<InForce> {
    return await this._send('GET', '/v1/configuration') as InForce
  }

  /** Sends a whole document as the successor of a revision. */
  async change (text: string, expected: number, changeId: string): Promise<ChangeAnswer> {
    return await this._send('POST', '/v1/configuration', text, { 'if-match': String(expected), 'change-id': changeId }) as ChangeAnswer
  }

  async status (): Promise<unknown> {
    return await this._send('GET', '/v1/status')
  }

  private _send (method: string, path: string, body?: string, extra: Record<string, string> = {}): Promise<unknown> {
    const { url, token, timeoutMs } = this._options
    const headers: Record<string, string | number> = { ...extra, authorization: `Bearer ${token}` }
    if (body !== undefined) headers['content-length'] = Buffer.byteLength(body)
    return new Promise((resolve, reject) => {
      const fail = (reason: string): void => reject(new FailedCommand(EXIT.unavailable, `${url}: ${reason}`))
      const call = request(new URL(path, url), { method, headers, timeout: timeoutMs }, (answer) => {
        let text = ''
        answer.on('data', (part: Buffer) => {
          text += part.toString('utf8')
        })
        answer.on('close', () => {
          if (answer.statusCode === 401) return fail('the token was refused')
          const value = answer.complete ? readJson(text) : undefined
          if (value === undefined) return fail('no whole answer')
          resolve(value)
        })
      })
      call.on('timeout', () => call.destroy(new Error(`no answer within ${timeoutMs} ms`)))
      call.on('error', (error) => fail(error.message))
      call.end(body)
    })
  }
}

function readJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
