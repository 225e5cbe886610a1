/** The commands validate, diff, apply and zone, which work on the configuration document. */
import { randomBytes } from 'node:crypto'
import { readFileSync } from 'node:fs'
import {
  deltaBetween, parseDocument, reviewDocument, ConfigurationError, validateDocument, type Delta, type Document, type ConfigurationFault
} from '@gooseberryspan/core'
import type { ChangeResult, CurrentConfiguration, OperatorClient } from '../client/operatorClient.js'
import { EXIT, CommandError } from '../errors.js'
import type { Output } from './output.js'

/** Options of the apply command. */
export interface ApplyOptions {
  /** The revision that the change replaces; by default the revision in force. */
  expect?: number
  /** The id of an earlier change whose answer was lost; sending it again shows whether that change took effect. */
  changeId?: string
}

/** Checks a document file locally, without sending a request. */
export function validate (path: string, output: Output): number {
  const document = readDocument(path)
  output.show({ outcome: 'valid' }, [`valid: ${document.services.length} services, ${document.zones.length} zones`])
  return EXIT.done
}

/** Options of the check command. */
export interface CheckOptions {
  /** Whether findings count as errors. */
  strict: boolean
}

/**
 * Checks a file before it is sent: errors, what is declared in vain or in contradiction, and, with a client, what differs from the
 * revision in force. Returns exit code 1 for errors, and for findings if they are strict.
 */
export async function check (client: OperatorClient | undefined, path: string, { strict }: CheckOptions, output: Output): Promise<number> {
  const wanted = readDocument(path)
  const findings = reviewDocument(wanted)
  const inForce = await client?.configuration()
  const delta = inForce && deltaBetween(currentDocument(inForce, wanted), wanted)
  const deltaText = delta ? deltaLines(delta) : []
  const summary = inForce && `${deltaText.length > 0 ? 'differs' : 'does not differ'} from revision ${inForce.revision}`
  output.show({ findings, revision: inForce?.revision, delta }, [
    findings.length === 0 ? 'nothing is declared in vain or in contradiction' : 'findings:',
    ...faultLines(findings),
    ...(summary === undefined ? [] : [summary]),
    ...deltaText
  ])
  return strict && findings.length > 0 ? EXIT.refused : EXIT.done
}

/** Shows what applying a file would change; returns exit code 1 when there is a difference. */
export async function diff (client: OperatorClient, path: string, output: Output): Promise<number> {
  const wanted = readDocument(path)
  const inForce = await client.configuration()
  const delta = deltaBetween(currentDocument(inForce, wanted), wanted)
  const lines = deltaLines(delta)
  output.show({ revision: inForce.revision, delta }, lines.length > 0 ? lines : [`no difference from revision ${inForce.revision}`])
  return lines.length > 0 ? EXIT.refused : EXIT.done
}

/** Replaces the configuration document by the document of a file. */
export async function apply (client: OperatorClient, path: string, options: ApplyOptions, output: Output): Promise<number> {
  const document = readDocument(path)
  const expected = options.expect ?? (await client.configuration()).revision
  return await sendDocument(client, document, expected, options.changeId, output)
}

/** Takes an availability zone out of service, or puts it back into service. */
export async function zone (client: OperatorClient, name: string, state: 'in' | 'out', output: Output): Promise<number> {
  const { revision, document } = await client.configuration()
  const found = document?.zones.find((item) => item.name === name)
  if (!document || !found) throw new CommandError(EXIT.refused, `the configuration declares no zone '${name}'`)
  if (found.state === state) {
    output.show({ outcome: 'unchanged', revision }, [`zone ${name} is already ${state}`])
    return EXIT.done
  }
  const next = { ...document, zones: document.zones.map((item) => item.name === name ? { ...item, state } : item) }
  return await sendDocument(client, validateDocument(next), revision, undefined, output)
}

async function sendDocument (
  client: OperatorClient, document: Document, expected: number, changeId: string | undefined, output: Output
): Promise<number> {
  const sentChangeId = changeId ?? randomBytes(12).toString('hex')
  const answer = await client.change(JSON.stringify(document), expected, sentChangeId)
  output.show({ ...answer, changeId: sentChangeId }, resultLines(answer, sentChangeId))
  if (answer.outcome === 'accepted') return EXIT.done
  return answer.outcome === 'refused' ? EXIT.refused : EXIT.unavailable
}

function resultLines (answer: ChangeResult, changeId: string): string[] {
  switch (answer.outcome) {
    case 'accepted': return [`accepted as revision ${answer.revision}`]
    case 'refused': return ['refused:', ...faultLines(answer.faults ?? [])]
    default: return [`${answer.outcome}: ${answer.error ?? ''}`, `repeat with --change-id ${changeId} to see whether it took effect`]
  }
}

function faultLines (faults: ConfigurationFault[]): string[] {
  return faults.map((fault) => `  ${fault.path || 'document'}: ${fault.reason}`)
}

function readDocument (path: string): Document {
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    throw new CommandError(EXIT.usage, `cannot read ${path}: ${(error as Error).message}`)
  }
  try {
    return parseDocument(text)
  } catch (error) {
    if (!(error instanceof ConfigurationError)) throw error
    throw new CommandError(EXIT.refused, [`${path} refused:`, ...faultLines(error.faults)].join('\n'))
  }
}

function currentDocument (inForce: CurrentConfiguration, wanted: Document): Document {
  return inForce.document ?? { zones: [], services: [], routes: [], policies: wanted.policies }
}

function deltaLines (delta: Delta): string[] {
  return [
    ...delta.removedZones.map((name) => `- zone ${name}`),
    ...delta.zones.map((item) => `~ zone ${item.name}: ${item.state}, region ${item.region}`),
    ...delta.removedServices.map((name) => `- service ${name}`),
    ...delta.services.map((item) => `~ service ${item.name}: ${JSON.stringify(item)}`),
    ...delta.removedRoutes.map((name) => `- route ${name}`),
    ...delta.routes.map((item) => `~ route ${item.name}: ${JSON.stringify(item)}`),
    ...delta.removedCustomers.map((name) => `- customer ${name}`),
    ...delta.customers.map((item) => `~ customer ${item.name}: ${JSON.stringify(item)}`),
    ...(delta.policies ? [`~ policies: ${JSON.stringify(delta.policies)}`] : [])
  ]
}
