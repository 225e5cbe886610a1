/** Reading and passing on headers. */
import type { IncomingHttpHeaders } from 'node:http'

const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding',
  'upgrade', 'expect'
])

/** The header's value when it was given once. */
export function single (headers: IncomingHttpHeaders, name: string | undefined): string | undefined {
  if (name === undefined) return undefined
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** A header's value as a whole number from 0 up, or undefined when it is not one. */
export function wholeNumber (text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,9}$/.test(text) ? Number(text) : undefined
}

/** Headers that are passed on, as name and value in turn; repeated ones stay repeated. Those that concern one connection do not go on. */
export function passedOn (raw: readonly string[], leaveOut: (name: string) => boolean): string[] {
  const named = namedByConnection(raw)
  const kept: string[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!.toLowerCase()
    if (HOP_BY_HOP.has(name) || named?.has(name) || leaveOut(name)) continue
    kept.push(raw[index]!, raw[index + 1]!)
  }
  return kept
}

/** Bytes of a header section, as they came. */
export function headerBytes (raw: readonly string[]): number {
  let bytes = 0
  for (const part of raw) bytes += part.length + 2
  return bytes
}

/** Further headers that the connection header names as its own. */
function namedByConnection (raw: readonly string[]): Set<string> | undefined {
  let named: Set<string> | undefined
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]!.toLowerCase() !== 'connection') continue
    for (const name of raw[index + 1]!.split(',')) {
      named ??= new Set()
      named.add(name.trim().toLowerCase())
    }
  }
  return named
}
