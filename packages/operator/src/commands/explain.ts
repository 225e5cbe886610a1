/** Why a request went where it went, from the decision log of an entry. */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { EXIT, FailedCommand } from '../errors.js'
import type { Output } from './output.js'

/** One line of the decision log. */
interface LogLine {
  time: number
  decision: string
  request?: number
  service?: string
  server?: string
  instance?: string
  reason?: string
  figure?: number
}

const SENTENCES: Record<string, (line: LogLine) => string> = {
  dispatched: (line) => `sent to backend server ${line.server}, which then had ${line.figure} in flight`,
  queued: (line) => `waited; ${line.figure} were waiting`,
  forwarded: (line) => `sent on to ${line.instance}: no room, or no servers of ${line.service}, here`,
  refused: (line) => `refused: ${line.reason}`,
  retried: (line) => `tried again after: ${line.reason}`,
  hedged: (line) => `sent to ${line.server} as well, since the first answer was late`,
  answered: (line) => line.server ? `answered by ${line.server}` : 'answered by another entry',
  cancelled: () => 'given up by the caller'
}

/** Tells the course of one request of one entry's log file. */
export async function explain (path: string, request: number, output: Output): Promise<number> {
  const lines = await linesOf(path, request)
  if (lines.length === 0) throw new FailedCommand(EXIT.refused, `${path} says nothing of request ${request}`)
  const start = lines[0]!.time
  const text = lines.map((line) => `+${String(line.time - start).padStart(5)} ms  ${SENTENCES[line.decision]?.(line) ?? line.decision}`)
  output.show(lines, [`request ${request}, service ${lines[0]!.service}`, ...text])
  return EXIT.done
}

async function linesOf (path: string, request: number): Promise<LogLine[]> {
  const found: LogLine[] = []
  try {
    for await (const text of createInterface({ input: createReadStream(path) })) {
      const line = parsed(text)
      if (line?.request === request) found.push(line)
    }
  } catch (error) {
    throw new FailedCommand(EXIT.usage, `cannot read ${path}: ${(error as Error).message}`)
  }
  return found
}

function parsed (text: string): LogLine | undefined {
  try {
    const line = JSON.parse(text) as LogLine
    return typeof line.decision === 'string' ? line : undefined
  } catch {
    return undefined
  }
}
