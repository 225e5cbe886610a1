/** A bare pass-through on Node's http: the least that any entry has to do. The path is measured against it. */
import { Agent, createServer, request } from 'node:http'

/** Passes every request to one backend server and its whole answer back. */
export function passThrough (backendHost: string, backendPort: number) {
  const agent = new Agent({ keepAlive: true, maxFreeSockets: 256 })
  return createServer((incoming, response) => {
    const { method, url, headers } = incoming
    const call = request({ host: backendHost, port: backendPort, method, path: url, headers, agent }, (answer) => {
      const parts: Buffer[] = []
      answer.on('data', (part: Buffer) => parts.push(part))
      answer.on('end', () => {
        response.writeHead(answer.statusCode ?? 502, answer.headers)
        response.end(Buffer.concat(parts))
      })
    })
    call.on('error', () => response.destroy())
    incoming.pipe(call)
  })
}
