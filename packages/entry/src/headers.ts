/** Parses and forwards HTTP headers. */
import { validateHeaderName, validateHeaderValue, type IncomingHttpHeaders } from 'node:http'

const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding',
  'upgrade', 'expect'
])

/** Returns a header's value; the first one if Node returns a list. */
export function singleHeader (headers: IncomingHttpHeaders, name: string | undefined): string | undefined {
  if (name === undefined) return undefined
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Parses a non-negative integer of at most 9 digits; returns undefined for any other text. */
export function parseNonNegativeInteger (text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,9}$/.test(text) ? Number(text) : undefined
}

/** Returns the headers to forward, as alternating names and values. Keeps repeated headers and drops hop-by-hop headers. */
export function forwardedHeaders (rawHeaders: readonly string[], omit: (name: string) => boolean): string[] {
  const named = connectionSpecificNames(rawHeaders)
  const forwarded: string[] = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase()
    if (HOP_BY_HOP.has(name) || named?.has(name) || omit(name)) continue
    forwarded.push(rawHeaders[index]!, rawHeaders[index + 1]!)
  }
  return forwarded
}

/**
 * Returns why header lines, as received, are not valid HTTP, or undefined if they are. Node's parser accepts some names that Node refuses
 * to send.
 */
export function headerFault (rawHeaders: readonly string[]): string | undefined {
  try {
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
      validateHeaderName(rawHeaders[index]!)
      validateHeaderValue(rawHeaders[index]!, rawHeaders[index + 1]!)
    }
  } catch (error) {
    return (error as NodeJS.ErrnoException).code
  }
  return undefined
}

/** Size of a header section as received, in bytes. */
export function headerSectionBytes (rawHeaders: readonly string[]): number {
  let bytes = 0
  for (const part of rawHeaders) bytes += part.length + 2
  return bytes
}

/** Returns the names of headers that the `connection` header declares as hop-by-hop. */
function connectionSpecificNames (rawHeaders: readonly string[]): Set<string> | undefined {
  let named: Set<string> | undefined
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() !== 'connection') continue
    for (const name of rawHeaders[index + 1]!.split(',')) {
      named ??= new Set()
      named.add(name.trim().toLowerCase())
    }
  }
  return named
}
