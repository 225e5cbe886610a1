/** One caller's request with the way back to that caller. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RefuseEffect, RequestSpec } from '@gooseberryspan/core'
import { passedOn, type HeaderNames } from '../headers.js'
import type { Answer } from './answer.js'
import type { Body } from './body.js'

/** What the way back needs to know. */
export interface ExchangeOptions {
  request: IncomingMessage
  response: ServerResponse
  spec: RequestSpec
  body: Body
  names: HeaderNames
  /** Whether connections should end, since this entry is stopping. */
  isClosing: () => boolean
}

const STATUS_OF_OUTCOME = { 'not-run': 503, unknown: 502 } as const

/** Gives exactly one whole answer, or one refusal, or breaks the connection. */
export class Exchange {
  readonly spec: RequestSpec
  readonly body: Body
  readonly method: string
  readonly path: string
  readonly rawHeaders: string[]
  private readonly _options: ExchangeOptions
  private _answered = false
  private _streaming = false

  constructor (options: ExchangeOptions) {
    this._options = options
    this.spec = options.spec
    this.body = options.body
    this.method = options.request.method ?? 'GET'
    this.path = options.request.url ?? '/'
    this.rawHeaders = options.request.rawHeaders
  }

  /** Whether the caller has its answer, or has begun to get it. */
  get answered (): boolean {
    return this._answered
  }

  /** Passes on a whole answer. */
  answer (answer: Answer, extra: string[] = []): void {
    if (this._streaming || !this._begin(answer, extra, answer.held.length)) return
    this._options.response.end(answer.held)
  }

  /** Passes on a large answer as it comes. A break breaks the caller's connection too, so that it never looks whole. */
  stream (answer: Answer, done: (whole: boolean) => void): void {
    const { response } = this._options
    if (!answer.rest || !this._begin(answer, [], undefined)) return done(false)
    this._streaming = true
    const { rest } = answer
    response.write(answer.held)
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

  /** Tells the caller that there is no answer, and whether the request may have run. */
  refuse (effect: RefuseEffect): void {
    const { response, names } = this._options
    if (this._streaming) return void response.destroy()
    if (this._answered || response.destroyed) return
    this._answered = true
    const body = JSON.stringify({ outcome: effect.outcome, reason: effect.reason, earlier: effect.earlier, request: this.spec.id })
    const headers: string[] = [
      'content-type', 'application/json', 'content-length', String(Buffer.byteLength(body)),
      names.outcome, effect.outcome, names.reason, effect.reason
    ]
    if (effect.outcome === 'unknown') headers.push(names.retry, 'spent')
    if (effect.retryAfterMs !== undefined) headers.push('retry-after', String(Math.ceil(effect.retryAfterMs / 1000)))
    if (this._options.isClosing()) headers.push('connection', 'close')
    response.writeHead(statusOf(effect), headers)
    response.end(body)
  }

  private _begin (answer: Answer, extra: string[], length: number | undefined): boolean {
    const { response, names } = this._options
    if (this._answered || response.destroyed) return false
    this._answered = true
    const counted = length !== undefined && this.method !== 'HEAD'
    const headers = passedOn(answer.headers, (name) => name.startsWith(names.prefix) || (counted && name === 'content-length'))
    if (counted && answer.status !== 204 && answer.status !== 304) headers.push('content-length', String(length))
    headers.push(names.outcome, 'answered', ...extra)
    if (this._options.isClosing()) headers.push('connection', 'close')
    response.writeHead(answer.status, headers)
    return true
  }
}

function statusOf (effect: RefuseEffect): number {
  if (effect.reason === 'duplicate') return 409
  if (effect.reason === 'claims-unavailable') return 503
  if (effect.reason === 'too-deep') return 508
  if (effect.reason === 'deadline' || effect.reason === 'expired') return 504
  return STATUS_OF_OUTCOME[effect.outcome]
}
