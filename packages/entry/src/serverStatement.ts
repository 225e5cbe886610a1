/** Reads what a backend server states about itself in the header of an answer. */
import type { IncomingMessage } from 'node:http'
import type { DialectHeaders } from './dialect.js'
import { singleHeader } from './headers.js'

/** A statement of a backend server about itself. */
export interface ServerStatement {
  /** It is leaving and takes no new requests. */
  leaving: boolean
  /** Time for which it wants nothing from this entry, in milliseconds. */
  holdMs?: number
  /** Requests a second that it takes from all entries together. */
  limitPerSecond?: number
  /** The value of a header that could not be read. */
  unreadable?: string
}

const MS_PER_SECOND = 1000
/** Longer than any server runs. */
const MAX_HOLD_MS = 1e12
const UNAVAILABLE_STATUS = 503
const DECIMAL_PATTERN = /^\d+(\.\d+)?$/
/** More than any server can take. */
const MAX_LIMIT_PER_SECOND = 1e6
/** The preferred format of dates in HTTP. */
const HTTP_DATE_PATTERN = /^(Mon|Tue|Wed|Thu|Fri|Sat|Sun), \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/
const MAX_LOGGED_LENGTH = 64

/** Returns the statement in an answer, or undefined if there is none. A value that is not valid HTTP is ignored. */
export function readServerStatement (answer: IncomingMessage, names: DialectHeaders, nowEpochMs: number): ServerStatement | undefined {
  const leaving = singleHeader(answer.headers, names.leaving)?.split(',').some((value) => value.trim() === '1') ?? false
  const retryAfter = answer.statusCode === UNAVAILABLE_STATUS ? singleHeader(answer.headers, names.retryAfter) : undefined
  const limit = singleHeader(answer.headers, names.limit)
  if (!leaving && retryAfter === undefined && limit === undefined) return undefined
  const statement: ServerStatement = { leaving }
  if (retryAfter !== undefined) {
    const holdMs = parseRetryAfterMs(retryAfter, nowEpochMs)
    if (holdMs === undefined) statement.unreadable = retryAfter.slice(0, MAX_LOGGED_LENGTH)
    else statement.holdMs = holdMs
  }
  if (limit !== undefined) {
    const limitPerSecond = parseLimit(limit)
    if (limitPerSecond === undefined) statement.unreadable ??= limit.slice(0, MAX_LOGGED_LENGTH)
    else statement.limitPerSecond = limitPerSecond
  }
  return statement
}

/** Parses a decimal number; if the header is repeated, the lowest one. */
function parseLimit (text: string): number | undefined {
  const values = text.split(',').map((value) => value.trim())
  if (!values.every((value) => DECIMAL_PATTERN.test(value))) return undefined
  return Math.min(MAX_LIMIT_PER_SECOND, ...values.map(Number))
}

/** Parses seconds, which may have decimals, or an HTTP date. */
function parseRetryAfterMs (text: string, nowEpochMs: number): number | undefined {
  if (DECIMAL_PATTERN.test(text)) return Math.min(MAX_HOLD_MS, Number(text) * MS_PER_SECOND)
  if (!HTTP_DATE_PATTERN.test(text)) return undefined
  const at = Date.parse(text)
  return Number.isNaN(at) ? undefined : Math.max(0, at - nowEpochMs)
}
