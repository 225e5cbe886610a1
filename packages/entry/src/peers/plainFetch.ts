/** The part of `fetch` that tRPC needs, over Node's http: the global one loads a second HTTP client of several megabytes. */
import { Agent, request, type IncomingMessage } from 'node:http'

/** What tRPC reads of an answer. */
interface PlainResponse {
  ok: boolean
  status: number
  json (): Promise<unknown>
  text (): Promise<string>
}

/** What tRPC gives with a request. */
interface PlainInit {
  method?: string
  headers?: unknown
  body?: unknown
  signal?: AbortSignal | null
}

const agent = new Agent({ keepAlive: false })

/** Sends one request and reads the whole answer. */
export function plainFetch (url: string | URL | { url: string }, init: PlainInit = {}): Promise<PlainResponse> {
  const target = typeof url === 'object' && 'url' in url ? url.url : url
  return new Promise((resolve, reject) => {
    const headers = init.headers as Record<string, string> | undefined
    const call = request(target, { method: init.method ?? 'GET', headers, agent, signal: init.signal ?? undefined }, (answer) => {
      readText(answer).then((text) => resolve(responseOf(answer.statusCode ?? 0, text)), reject)
    })
    call.on('error', reject)
    call.end(init.body as string | undefined)
  })
}

function responseOf (status: number, text: string): PlainResponse {
  return { ok: status >= 200 && status < 300, status, json: async () => JSON.parse(text), text: async () => text }
}

function readText (answer: IncomingMessage): Promise<string> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = []
    answer.on('data', (part: Buffer) => parts.push(part))
    answer.on('error', reject)
    answer.on('close', () => {
      if (answer.complete) resolve(Buffer.concat(parts).toString('utf8'))
      else reject(new Error('the answer was cut off'))
    })
  })
}
