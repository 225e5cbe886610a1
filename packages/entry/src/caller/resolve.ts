/** Validation of a caller's request, once, at the edge. */
import type { IncomingMessage } from 'node:http'
import { kindOf, type Kind, type RequestSpec, type Revisions, type Service } from '@gooseberryspan/core'
import { BadRequest } from '../errors.js'
import { single, type HeaderNames } from '../headers.js'
import { unpackForward, type ForwardFacts } from '../peers/forwardHeader.js'

/** What a request is resolved with. */
export interface ResolveContext {
  revisions: Revisions
  names: HeaderNames
  now: number
  nextId: () => number
}

const LONGEST_KEY = 255
const LONGEST_CALLER = 128

/** The request as the core sees it; throws `BadRequest` naming the field that is wrong. */
export function resolveRequest (message: IncomingMessage, context: ResolveContext): RequestSpec {
  const { revisions, names } = context
  const service = serviceOf(message, revisions, names)
  const kind = kindOf(service, message.method ?? 'GET', single(message.headers, names.kind))
  if (!kind) throw new BadRequest(405, names.kind, `service '${service.name}' declares no such kind for ${message.method}`)
  return {
    id: context.nextId(),
    service: service.name,
    kind: kind.name,
    idempotent: kind.idempotent,
    replayable: true,
    weight: kind.weight,
    deadlineAt: context.now + deadlineMs(message, kind, names),
    depth: depthOf(message, names),
    retrySpent: single(message.headers, names.retry) === 'spent',
    caller: callerOf(message, names),
    idempotencyKey: kind.idempotent ? undefined : keyOf(message),
    hops: 0,
    hedgeAfterMs: kind.hedgeAfterMs,
    claims: kind.claims
  }
}

/** A request that another entry sent on; its key is claimed there already. */
export function resolveForwarded (message: IncomingMessage, context: ResolveContext): RequestSpec {
  const facts = unpackForward(single(message.headers, context.names.forward) ?? '')
  if (!facts) throw new BadRequest(400, context.names.forward, 'malformed')
  const service = context.revisions.service(facts.service)
  const kind = service && kindOf(service, message.method ?? 'GET', facts.kind)
  if (!kind) throw new BadRequest(503, context.names.forward, `service '${facts.service}' or its kind '${facts.kind}' is not known here`)
  return specOf(facts, kind, context)
}

function specOf (facts: ForwardFacts, kind: Kind, context: ResolveContext): RequestSpec {
  return {
    id: context.nextId(),
    service: facts.service,
    kind: facts.kind,
    idempotent: kind.idempotent,
    replayable: true,
    weight: kind.weight,
    deadlineAt: context.now + facts.leftMs,
    depth: facts.depth,
    retrySpent: facts.retrySpent,
    caller: facts.caller,
    hops: facts.hops,
    hedgeAfterMs: kind.hedgeAfterMs,
    claims: kind.claims
  }
}

function serviceOf (message: IncomingMessage, revisions: Revisions, names: HeaderNames): Service {
  const named = single(message.headers, names.service)
  const service = named === undefined ? revisions.serviceOfPath(message.url ?? '/') : revisions.service(named)
  if (service) return service
  if (named !== undefined) throw new BadRequest(404, names.service, `no service '${named}'`)
  throw new BadRequest(404, 'path', `no service has this path; name one in ${names.service}`)
}

function deadlineMs (message: IncomingMessage, kind: Kind, names: HeaderNames): number {
  const text = single(message.headers, names.deadline)
  if (text === undefined) return kind.deadlineMs
  if (!/^\d{1,9}$/.test(text) || text === '0') throw new BadRequest(400, names.deadline, 'must be a whole number of milliseconds above 0')
  return Math.min(Number(text), kind.deadlineMs)
}

function depthOf (message: IncomingMessage, names: HeaderNames): number {
  const text = single(message.headers, names.depth)
  if (text === undefined) return 0
  if (!/^\d{1,4}$/.test(text)) throw new BadRequest(400, names.depth, 'must be a whole number of calls')
  return Number(text)
}

function keyOf (message: IncomingMessage): string | undefined {
  const key = single(message.headers, 'idempotency-key')
  if (key === undefined) return undefined
  if (key.length === 0 || key.length > LONGEST_KEY) throw new BadRequest(400, 'idempotency-key', `must have 1 to ${LONGEST_KEY} characters`)
  return key
}

function callerOf (message: IncomingMessage, names: HeaderNames): string {
  const named = single(message.headers, names.caller)
  return named === undefined ? message.socket.remoteAddress ?? 'unknown' : named.slice(0, LONGEST_CALLER)
}
