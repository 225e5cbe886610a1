/** JSON answers of our own interfaces. */
import type { ServerResponse } from 'node:http'

/** Sends a JSON answer. */
export function json (response: ServerResponse, status: number, value: unknown): void {
  const text = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}
