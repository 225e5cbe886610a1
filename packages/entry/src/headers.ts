/** Names of the headers between callers, entries and backend servers. */
import type { IncomingHttpHeaders } from 'node:http'

/** All header names under one prefix. */
export class HeaderNames {
  readonly service: string
  readonly kind: string
  readonly caller: string
  readonly deadline: string
  readonly depth: string
  readonly retry: string
  readonly outcome: string
  readonly reason: string
  readonly shed: string
  readonly load: string
  readonly forward: string
  readonly busy: string
  readonly token: string

  constructor (readonly prefix: string) {
    this.service = `${prefix}-service`
    this.kind = `${prefix}-kind`
    this.caller = `${prefix}-caller`
    this.deadline = `${prefix}-deadline-ms`
    this.depth = `${prefix}-depth`
    this.retry = `${prefix}-retry`
    this.outcome = `${prefix}-outcome`
    this.reason = `${prefix}-reason`
    this.shed = `${prefix}-shed`
    this.load = `${prefix}-load`
    this.forward = `${prefix}-forward`
    this.busy = `${prefix}-busy`
    this.token = `${prefix}-token`
  }
}

const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/** The header's value when it was given once. */
export function single (headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Headers that are passed on, as name and value in turn; repeated ones stay repeated. */
export function passedOn (raw: readonly string[], leaveOut: (name: string) => boolean): string[] {
  const kept: string[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!.toLowerCase()
    if (HOP_BY_HOP.has(name) || leaveOut(name)) continue
    kept.push(raw[index]!, raw[index + 1]!)
  }
  return kept
}
