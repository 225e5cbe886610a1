/** Commands on the configuration document: validate, diff, apply and zone. */
import { randomBytes } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { deltaBetween, parseDocument, RefusedDocument, validateDocument, type Delta, type Document, type Fault } from '@gooseberryspan/core'
import type { ChangeAnswer, InForce, OperatorClient } from '../client/operatorClient.js'
import { EXIT, FailedCommand } from '../errors.js'
import type { Output } from './output.js'

/** How a document is applied. */
export interface ApplyOptions {
  /** Revision the change follows on; the one in force when absent. */
  expect?: number
  /** Repeat a change id to settle a change whose answer was lost. */
  changeId?: string
}

/** Checks a file without any server. */
export function validate (path: string, output: Output): number {
  const document = readDocument(path)
  output.show({ outcome: 'valid' }, [`valid: ${document.services.length} services, ${document.zones.length} zones`])
  return EXIT.done
}

/** Shows what applying a file would change; exits with 1 when there is a difference. */
export async function diff (client: OperatorClient, path: string, output: Output): Promise<number> {
  const wanted = readDocument(path)
  const inForce = await client.configuration()
  const delta = deltaBetween(documentOf(inForce, wanted), wanted)
  const lines = linesOf(delta)
  output.show({ revision: inForce.revision, delta }, lines.length > 0 ? lines : [`no difference from revision ${inForce.revision}`])
  return lines.length > 0 ? EXIT.refused : EXIT.done
}

/** Puts a file's document into force as a whole. */
export async function apply (client: OperatorClient, path: string, options: ApplyOptions, output: Output): Promise<number> {
  const document = readDocument(path)
  const expected = options.expect ?? (await client.configuration()).revision
  return await send(client, document, expected, options.changeId, output)
}

/** Takes a zone out, or brings it back in. */
export async function zone (client: OperatorClient, name: string, state: 'in' | 'out', output: Output): Promise<number> {
  const { revision, document } = await client.configuration()
  const found = document?.zones.find((item) => item.name === name)
  if (!document || !found) throw new FailedCommand(EXIT.refused, `no zone '${name}' is declared`)
  if (found.state === state) {
    output.show({ outcome: 'unchanged', revision }, [`zone ${name} is ${state} already`])
    return EXIT.done
  }
  const next = { ...document, zones: document.zones.map((item) => item.name === name ? { ...item, state } : item) }
  return await send(client, validateDocument(next), revision, undefined, output)
}

async function send (
  client: OperatorClient, document: Document, expected: number, changeId: string | undefined, output: Output
): Promise<number> {
  const id = changeId ?? randomBytes(12).toString('hex')
  const answer = await client.change(JSON.stringify(document), expected, id)
  output.show({ ...answer, changeId: id }, answerLines(answer, id))
  if (answer.outcome === 'accepted') return EXIT.done
  return answer.outcome === 'refused' ? EXIT.refused : EXIT.unavailable
}

function answerLines (answer: ChangeAnswer, changeId: string): string[] {
  switch (answer.outcome) {
    case 'accepted': return [`accepted as revision ${answer.revision}`]
    case 'refused': return ['refused:', ...faultLines(answer.faults ?? [])]
    default: return [`${answer.outcome}: ${answer.error ?? ''}`, `repeat with --change-id ${changeId} to learn whether it took effect`]
  }
}

function faultLines (faults: Fault[]): string[] {
  return faults.map((fault) => `  ${fault.path || 'document'}: ${fault.reason}`)
}

function readDocument (path: string): Document {
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    throw new FailedCommand(EXIT.usage, `cannot read ${path}: ${(error as Error).message}`)
  }
  try {
    return parseDocument(text)
  } catch (error) {
    if (!(error instanceof RefusedDocument)) throw error
    throw new FailedCommand(EXIT.refused, [`${path} refused:`, ...faultLines(error.faults)].join('\n'))
  }
}

function documentOf (inForce: InForce, like: Document): Document {
  return inForce.document ?? { zones: [], services: [], routes: [], policies: like.policies }
}

function linesOf (delta: Delta): string[] {
  return [
    ...delta.removedZones.map((name) => `- zone ${name}`),
    ...delta.zones.map((item) => `~ zone ${item.name}: ${item.state}, region ${item.region}`),
    ...delta.removedServices.map((name) => `- service ${name}`),
    ...delta.services.map((item) => `~ service ${item.name}: ${JSON.stringify(item)}`),
    ...delta.removedRoutes.map((name) => `- route ${name}`),
    ...delta.routes.map((item) => `~ route ${item.name}: ${JSON.stringify(item)}`),
    ...(delta.policies ? [`~ policies: ${JSON.stringify(delta.policies)}`] : [])
  ]
}
