/** JSON answers of the entry's own HTTP interfaces. */
import type { ServerResponse } from 'node:http'

/** Sends `value` as a JSON answer. */
export function sendJson (response: ServerResponse, status: number, value: unknown): void {
  const text = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}
