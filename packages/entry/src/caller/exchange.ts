/** One request of a caller together with the response to it. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RefuseEffect, RequestSpec } from '@gooseberryspan/core'
import type { Answer } from '../backend/answer.js'
import type { Dialect } from '../dialect.js'
import { forwardedHeaders, singleHeader } from '../headers.js'
import type { Body } from './body.js'
import type { Hold } from './holdBudget.js'

/** Options of an `Exchange`. */
export interface ExchangeOptions {
  request: IncomingMessage
  response: ServerResponse
  spec: RequestSpec
  body: Body
  /** The memory that is held for the request. */
  hold: Hold
  dialect: Dialect
  /** Whether the configuration has customers: keys are not passed on, and servers receive the customer's name from this entry only. */
  hasCustomers: boolean
  /** Whether the caller's connection should be closed, because this entry is stopping. */
  isClosing: () => boolean
}

const UNAVAILABLE_STATUS = 503
const QUOTA_STATUS = 429

/** Sends the caller exactly one complete answer or one refusal, or closes the connection. */
export class Exchange {
  readonly spec: RequestSpec
  readonly body: Body
  readonly hold: Hold
  readonly method: string
  readonly path: string
  readonly rawHeaders: string[]
  /** The caller's id for the request as it came, which the label in logs and messages may cut short. */
  readonly requestId: string
  private readonly _options: ExchangeOptions
  /** The customer whose request it is, without a name on open routes; undefined if the configuration has no customers. */
  readonly customer: { name: string | undefined } | undefined
  private _answered = false
  private _streaming = false

  constructor (options: ExchangeOptions) {
    this._options = options
    this.spec = options.spec
    this.body = options.body
    this.hold = options.hold
    this.method = options.request.method ?? 'GET'
    this.path = options.request.url ?? '/'
    this.rawHeaders = options.request.rawHeaders
    this.customer = options.hasCustomers ? { name: options.spec.customer?.name } : undefined
    this.requestId = singleHeader(options.request.headers, options.dialect.headers.requestId) ?? options.spec.label
  }

  /** Whether an answer or refusal has been sent or has begun. */
  get answered (): boolean {
    return this._answered
  }

  /** Sends a complete answer. */
  answer (answer: Answer): void {
    if (this._streaming || !this._writeHead(answer, answer.buffered.length)) return
    this._options.response.end(answer.buffered)
  }

  /** Streams a large answer. If it is truncated, the caller's connection is closed too, so that it does not appear complete. */
  stream (answer: Answer, done: (whole: boolean) => void): void {
    const { response } = this._options
    if (!answer.rest || !this._writeHead(answer, undefined)) return done(false)
    this._streaming = true
    const { rest } = answer
    response.write(answer.buffered)
    rest.on('data', (part: Buffer) => {
      if (!response.write(part)) rest.pause()
    })
    response.on('drain', () => rest.resume())
    rest.on('close', () => {
      if (rest.complete) response.end()
      else response.destroy()
      done(rest.complete)
    })
    rest.resume()
  }

  /** Reports to the caller that there is no answer, and whether the request may have run. */
  refuse (effect: RefuseEffect): void {
    const { response, dialect: { headers } } = this._options
    if (this._streaming) return void response.destroy()
    if (this._answered || response.destroyed) return
    this._answered = true
    const body = JSON.stringify({ outcome: effect.outcome, reason: effect.reason, request: this.requestId })
    const headerLines = ['content-type', 'application/json', 'content-length', String(Buffer.byteLength(body))]
    if (headers.outcome !== undefined) headerLines.push(headers.outcome, effect.outcome)
    if (headers.reason !== undefined) headerLines.push(headers.reason, effect.reason)
    if (headers.retry !== undefined && effect.outcome === 'unknown') headerLines.push(headers.retry, 'spent')
    if (effect.retryAfterMs !== undefined) headerLines.push(headers.retryAfter, formatSeconds(effect.retryAfterMs))
    this._endWith(statusFor(effect), headerLines, body)
  }

  /** Closes the caller's connection without an answer. This promises nothing about whether the request has run. */
  abort (): void {
    this._answered = true
    this._options.response.destroy()
  }

  private _endWith (status: number, headerLines: string[], body: string): void {
    const { response, isClosing } = this._options
    if (isClosing()) headerLines.push('connection', 'close')
    response.writeHead(status, headerLines)
    response.end(body)
  }

  private _writeHead (answer: Answer, length: number | undefined): boolean {
    const { response, dialect: { headers }, isClosing } = this._options
    if (this._answered || response.destroyed) return false
    this._answered = true
    const hasKnownLength = length !== undefined && this.method !== 'HEAD'
    const headerLines = forwardedHeaders(answer.headers, (name) => {
      // A refusing server's time to retry concerns the entry: other servers may take the caller's next request sooner.
      const isForEntry = name === headers.load || (name === headers.retryAfter && answer.status === UNAVAILABLE_STATUS)
      return isForEntry || (hasKnownLength && name === 'content-length')
    })
    if (hasKnownLength && answer.status !== 204 && answer.status !== 304) headerLines.push('content-length', String(length))
    if (headers.outcome !== undefined) headerLines.push(headers.outcome, 'answered')
    if (isClosing()) headerLines.push('connection', 'close')
    response.writeHead(answer.status, headerLines)
    return true
  }
}

/** Returns the status of a refusal. Statuses 429 and 503 guarantee that the request did not run, so no other outcome gets them. */
function statusFor ({ outcome, reason }: RefuseEffect): number {
  if (reason === 'quota') return QUOTA_STATUS
  if (outcome === 'not-run') return UNAVAILABLE_STATUS
  return reason === 'deadline' ? 504 : 502
}

function formatSeconds (ms: number): string {
  return (Math.max(0, ms) / 1000).toFixed(3)
}
