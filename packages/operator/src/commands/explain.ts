/** Why a request went where it went, from the logs of one or more entries. */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import type { DecisionLine } from '@gooseberryspan/core'
import { EXIT, FailedCommand } from '../errors.js'
import type { Output } from './output.js'

/** One line of an entry's log. `instance` may be another entry; `logger` is the one that wrote the line. */
interface LogLine extends DecisionLine {
  time: number
  logger: string
}

/** Where log lines come from. */
export type LogSource = AsyncGenerator<string, void>

/** What happened to servers and entries is shown when it fell into the request's time, and this much before, in milliseconds. */
const BEFORE_MS = 2000

const SENTENCES: Partial<Record<DecisionLine['decision'], (line: LogLine) => string>> = {
  granted: (line) => `${line.purpose === 'first' ? '' : `${line.purpose}: `}scheduler gives ${line.instance} server ${line.server}, ` +
    `${basis(line)}, after ${line.tookMs} ms; answer expected in ${line.expectedMs} ms`,
  dispatched: (line) => `attempt ${line.attempt} (${line.purpose}) goes to server ${line.server}, given by ${line.instance}, ` +
    `${basis(line)}; ${line.leftMs} ms left, configuration ${line.revision}`,
  'attempt-ended': (line) => `attempt ${line.attempt} at ${line.server} ended: ${line.reason}${statusText(line)} after ${line.tookMs} ms`,
  hedged: () => 'the answer is late: a second server is asked for',
  'scheduler-silent': (line) => `scheduler ${line.instance} did not answer within ${line.tookMs} ms: another one is asked`,
  'grant-unfit': (line) => `server ${line.server} was given but not used: ${line.reason}`,
  answered: (line) => `answered${line.server ? ` by ${line.server}` : ''}${statusText(line)} after ${line.tookMs} ms, ${line.count} sent`,
  refused: (line) => line.instance === undefined
    ? `refused after ${line.tookMs} ms: ${line.reason}; ${line.count} sent${comeBack(line)}`
    : `scheduler refuses ${line.instance} a server (${line.purpose}): ${line.reason}`,
  'caller-left': (line) => `the caller left; ${line.count} attempts were under way`,
  'server-silent': (line) => `server ${line.server} does not answer`,
  'server-back': (line) => `server ${line.server} answers again`,
  'server-draining': (line) => `server ${line.server} is leaving, row version ${line.version}`,
  'server-unlisted': (line) => `server ${line.server} is not registered any more, row version ${line.version}`,
  'server-moved': (line) => `another server has the address of ${line.server}`,
  'zone-out': (line) => `zone ${line.zone} is out of service, row version ${line.version}`,
  member: (line) => `entry ${line.instance} is thought ${line.standing}`,
  'configuration-adopted': (line) => `configuration ${line.revision} is in force`,
  'store-lost': (line) => `the store is out of reach: ${line.reason}`,
  'store-regained': () => 'the store is back'
}

/** Decisions about something else than a request that may explain its course. */
const CONTEXT = new Set<DecisionLine['decision']>([
  'server-silent', 'server-back', 'server-draining', 'server-unlisted', 'server-moved', 'zone-out', 'member', 'configuration-adopted',
  'store-lost', 'store-regained'
])

/** Tells the course of one request from the logs of any number of entries. */
export async function explain (request: string, sources: LogSource[], output: Output): Promise<number> {
  const all = await readLines(sources)
  const own = all.filter((line) => line.request === request)
  if (own.length === 0) throw new FailedCommand(EXIT.refused, `the logs say nothing of request ${request}`)
  const story = [...own, ...contextOf(own, all)].sort((a, b) => a.time - b.time)
  const start = own.reduce((least, line) => Math.min(least, line.time), Infinity)
  const named = own.find((line) => line.route !== undefined)
  const head = `request ${request}${named ? `, route ${named.route}, service ${named.service}` : ''}`
  output.show(story, [head, ...story.map((line) => sentenceOf(line, start))])
  return EXIT.done
}

/** Lines of a file, or of standard input for `-`; reading begins with the first line that is asked for. */
export async function * logSource (path: string): LogSource {
  yield * createInterface({ input: path === '-' ? process.stdin : createReadStream(path), crlfDelay: Infinity })
}

async function readLines (sources: LogSource[]): Promise<LogLine[]> {
  const lines: LogLine[] = []
  for (const source of sources) {
    try {
      for await (const text of source) {
        const line = parsed(text)
        if (line) lines.push(line)
      }
    } catch (error) {
      throw new FailedCommand(EXIT.usage, `cannot read a log: ${(error as Error).message}`)
    }
  }
  return lines
}

/** What became of the servers and schedulers that the request had to do with, and of the configuration. */
function contextOf (own: LogLine[], all: LogLine[]): LogLine[] {
  const from = Math.min(...own.map((line) => line.time)) - BEFORE_MS
  const to = Math.max(...own.map((line) => line.time))
  const servers = new Set(own.map((line) => line.server))
  const loggers = new Set(own.flatMap((line) => [line.logger, line.instance]))
  return all.filter((line) => {
    if (line.request !== undefined || !CONTEXT.has(line.decision) || line.time < from || line.time > to) return false
    if (line.server !== undefined) return servers.has(line.server)
    return loggers.has(line.logger)
  })
}

function sentenceOf (line: LogLine, start: number): string {
  const at = `${line.time >= start ? '+' : '-'}${String(Math.abs(line.time - start)).padStart(5)} ms`
  return `${at}  ${line.logger}: ${SENTENCES[line.decision]?.(line) ?? line.decision}`
}

function basis ({ readingAgeMs, running, waiting, pace }: LogLine): string {
  if (readingAgeMs === undefined) return 'load not read'
  return `load read ${readingAgeMs} ms before: ${running} running, ${waiting} waiting, pace ${pace}`
}

function statusText ({ status }: LogLine): string {
  return status === undefined ? '' : `, status ${status}`
}

function comeBack ({ retryAfterMs }: LogLine): string {
  return retryAfterMs === undefined ? '' : `, come back in ${retryAfterMs} ms`
}

/** A line may have something before its JSON, as log collectors put it. */
function parsed (text: string): LogLine | undefined {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    const { logger, ...line } = JSON.parse(text.slice(start)) as LogLine
    return typeof line.decision === 'string' ? { ...line, logger: logger ?? '?' } : undefined
  } catch {
    return undefined
  }
}
