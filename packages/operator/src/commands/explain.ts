/** The command explain: shows from the logs of entries which decisions were made about a request, and why. */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import type { DecisionLine } from '@gooseberryspan/core'
import { EXIT, CommandError } from '../errors.js'
import type { Output } from './output.js'

/** One line of an entry's log. `logger` is the entry that wrote the line; `instance` may name another entry. */
interface LogLine extends DecisionLine {
  time: number
  logger: string
}

/** Yields the lines of one log. */
export type LogSource = AsyncGenerator<string, void>

/** Events of servers and entries are shown from this long before the first log line of the request until its last one. */
const CONTEXT_BEFORE_MS = 2000

const SENTENCES: Partial<Record<DecisionLine['decision'], (line: LogLine) => string>> = {
  granted: (line) => `${line.purpose === 'first' ? '' : `${line.purpose}: `}scheduler grants ${line.instance} server ${line.server}, ` +
    `${loadReadingText(line)}, after ${line.tookMs} ms; answer expected in ${line.expectedMs} ms`,
  dispatched: (line) => `attempt ${line.attempt} (${line.purpose}) is sent to server ${line.server}, granted by ${line.instance}, ` +
    `${loadReadingText(line)}; ${line.leftMs} ms left, configuration ${line.revision}`,
  'attempt-ended': (line) => `attempt ${line.attempt} at ${line.server} ended: ${line.reason}${statusText(line)} after ${line.tookMs} ms`,
  hedged: () => 'the answer is late: the entry asks for a second server',
  'scheduler-silent': (line) => `scheduler ${line.instance} did not answer within ${line.tookMs} ms: the entry asks another scheduler`,
  'grant-unfit': (line) => `server ${line.server} was granted but not used: ${line.reason}`,
  answered: (line) => `answered${line.server ? ` by ${line.server}` : ''}${statusText(line)} after ${line.tookMs} ms, ${line.count} sent`,
  refused: (line) => line.instance === undefined
    ? `refused after ${line.tookMs} ms: ${line.reason}; ${line.count} sent${retryAfterText(line)}`
    : `scheduler refuses ${line.instance} a server (${line.purpose}): ${line.reason}`,
  'caller-left': (line) => `the caller left while ${line.count} attempts were running`,
  'server-silent': (line) => `server ${line.server} is unreachable`,
  'server-back': (line) => `server ${line.server} is reachable again`,
  'server-limited': (line) => `server ${line.server} takes ${line.perSecond} requests a second from all entries together`,
  'server-unlimited': (line) => `server ${line.server} states no limit any more`,
  'server-draining': (line) => `server ${line.server} is leaving, row version ${line.version}`,
  'server-unlisted': (line) => `server ${line.server} is not registered any more, row version ${line.version}`,
  'server-moved': (line) => `another server uses the address of ${line.server}`,
  'zone-out': (line) => `zone ${line.zone} is out of service, row version ${line.version}`,
  member: (line) => `entry ${line.instance} is considered ${line.standing}`,
  'configuration-adopted': (line) => `configuration ${line.revision} is in force`,
  'store-lost': (line) => `the entry cannot reach the store: ${line.reason}`,
  'store-regained': () => 'the store is reachable again',
  'store-takeover': (line) => `no entry has confirmed table ${line.table} lately: this entry reads it itself`
}

/** Decisions that belong to no request, but may explain what happened to one. */
const CONTEXT_DECISIONS = new Set<DecisionLine['decision']>([
  'server-silent', 'server-back', 'server-limited', 'server-unlimited',
  'server-draining', 'server-unlisted', 'server-moved', 'zone-out', 'member', 'configuration-adopted',
  'store-lost', 'store-regained', 'store-takeover'
])

/** Shows the decisions about one request in the order of time, from the logs of any number of entries. */
export async function explain (request: string, sources: LogSource[], output: Output): Promise<number> {
  const allLines = await readLines(sources)
  const requestLines = allLines.filter((line) => line.request === request)
  if (requestLines.length === 0) throw new CommandError(EXIT.refused, `the logs contain no line about request ${request}`)
  const timeline = [...requestLines, ...contextOf(requestLines, allLines)].sort((a, b) => a.time - b.time)
  const start = requestLines.reduce((earliest, line) => Math.min(earliest, line.time), Infinity)
  const routed = requestLines.find((line) => line.route !== undefined)
  const heading = `request ${request}${routed ? `, route ${routed.route}, service ${routed.service}` : ''}`
  output.show(timeline, [heading, ...timeline.map((line) => sentenceOf(line, start))])
  return EXIT.done
}

/** Yields the lines of a file, or of standard input for `-`; the file is opened when the first line is requested. */
export async function * logSource (path: string): LogSource {
  yield * createInterface({ input: path === '-' ? process.stdin : createReadStream(path), crlfDelay: Infinity })
}

async function readLines (sources: LogSource[]): Promise<LogLine[]> {
  const lines: LogLine[] = []
  for (const source of sources) {
    try {
      for await (const text of source) {
        const line = parseLine(text)
        if (line) lines.push(line)
      }
    } catch (error) {
      throw new CommandError(EXIT.usage, `cannot read a log file: ${(error as Error).message}`)
    }
  }
  return lines
}

/** Selects the events of the servers and entries that the request's log lines name, such as state and configuration changes. */
function contextOf (requestLines: LogLine[], allLines: LogLine[]): LogLine[] {
  const from = Math.min(...requestLines.map((line) => line.time)) - CONTEXT_BEFORE_MS
  const to = Math.max(...requestLines.map((line) => line.time))
  const servers = new Set(requestLines.map((line) => line.server))
  const loggers = new Set(requestLines.flatMap((line) => [line.logger, line.instance]))
  return allLines.filter((line) => {
    if (line.request !== undefined || !CONTEXT_DECISIONS.has(line.decision) || line.time < from || line.time > to) return false
    if (line.server !== undefined) return servers.has(line.server)
    return loggers.has(line.logger)
  })
}

function sentenceOf (line: LogLine, start: number): string {
  const at = `${line.time >= start ? '+' : '-'}${String(Math.abs(line.time - start)).padStart(5)} ms`
  return `${at}  ${line.logger}: ${SENTENCES[line.decision]?.(line) ?? line.decision}`
}

function loadReadingText ({ readingAgeMs, running, waiting, pace }: LogLine): string {
  if (readingAgeMs === undefined) return 'without a load reading'
  return `load reading ${readingAgeMs} ms old: ${running} running, ${waiting} waiting, pace ${pace}`
}

function statusText ({ status }: LogLine): string {
  return status === undefined ? '' : `, status ${status}`
}

function retryAfterText ({ retryAfterMs }: LogLine): string {
  return retryAfterMs === undefined ? '' : `, retry after ${retryAfterMs} ms`
}

/** Parses a log line. Text before the JSON object, such as a log collector's prefix, is skipped. */
function parseLine (text: string): LogLine | undefined {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    const { logger, ...line } = JSON.parse(text.slice(start)) as LogLine
    return typeof line.decision === 'string' ? { ...line, logger: logger ?? '?' } : undefined
  } catch {
    return undefined
  }
}
