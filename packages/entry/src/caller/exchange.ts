/** One caller's request with the way back to that caller. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RefuseEffect, RequestSpec } from '@gooseberryspan/core'
import type { Answer } from '../backend/answer.js'
import type { Dialect } from '../dialect.js'
import { passedOn } from '../headers.js'
import type { Body } from './body.js'

/** What the way back needs to know. */
export interface ExchangeOptions {
  request: IncomingMessage
  response: ServerResponse
  spec: RequestSpec
  body: Body
  dialect: Dialect
  /** Whether the caller's connection should end, since this entry is stopping. */
  isClosing: () => boolean
}

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
  answer (answer: Answer): void {
    if (this._streaming || !this._begin(answer, answer.held.length)) return
    this._options.response.end(answer.held)
  }

  /** Passes on a large answer as it comes. A break breaks the caller's connection too, so that it never looks whole. */
  stream (answer: Answer, done: (whole: boolean) => void): void {
    const { response } = this._options
    if (!answer.rest || !this._begin(answer, undefined)) return done(false)
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
    const { response, dialect: { headers } } = this._options
    if (this._streaming) return void response.destroy()
    if (this._answered || response.destroyed) return
    this._answered = true
    const body = JSON.stringify({ outcome: effect.outcome, reason: effect.reason, request: this.spec.label })
    const lines = ['content-type', 'application/json', 'content-length', String(Buffer.byteLength(body))]
    if (headers.outcome !== undefined) lines.push(headers.outcome, effect.outcome)
    if (headers.reason !== undefined) lines.push(headers.reason, effect.reason)
    if (headers.retry !== undefined && effect.outcome === 'unknown') lines.push(headers.retry, 'spent')
    if (effect.retryAfterMs !== undefined) lines.push(headers.retryAfter, secondsOf(effect.retryAfterMs))
    this._end(statusOf(effect), lines, body)
  }

  private _end (status: number, lines: string[], body: string): void {
    const { response, isClosing } = this._options
    if (isClosing()) lines.push('connection', 'close')
    response.writeHead(status, lines)
    response.end(body)
  }

  private _begin (answer: Answer, length: number | undefined): boolean {
    const { response, dialect: { headers }, isClosing } = this._options
    if (this._answered || response.destroyed) return false
    this._answered = true
    const counted = length !== undefined && this.method !== 'HEAD'
    const lines = passedOn(answer.headers, (name) => name === headers.load || (counted && name === 'content-length'))
    if (counted && answer.status !== 204 && answer.status !== 304) lines.push('content-length', String(length))
    if (headers.outcome !== undefined) lines.push(headers.outcome, 'answered')
    if (isClosing()) lines.push('connection', 'close')
    response.writeHead(answer.status, lines)
    return true
  }
}

/** Only "not run" is told by a status that promises it. */
function statusOf ({ outcome, reason }: RefuseEffect): number {
  if (outcome === 'not-run') return 503
  return reason === 'deadline' ? 504 : 502
}

function secondsOf (ms: number): string {
  return (Math.max(0, ms) / 1000).toFixed(3)
}
