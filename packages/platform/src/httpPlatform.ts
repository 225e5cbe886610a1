/** The platform's services over HTTP, as `docs/platform-contract.md` describes them. */
import type { Transaction, TransactionResult } from '@gooseberryspan/core'
import { z } from 'zod'
import { PlatformUnavailable } from './errors.js'
import { HttpClient, type HttpAnswer, type HttpClientOptions } from './httpClient.js'
import type { InstanceList, ListReading, ObjectStore, Platform, TableService } from './services.js'

const row = z.object({ table: z.string(), key: z.string(), version: z.number(), value: z.unknown().optional() })
const transactResult = z.object({
  results: z.array(z.object({ committed: z.boolean(), sequence: z.number(), rows: z.array(row) }))
})
const listed = z.object({
  id: z.string(),
  service: z.string(),
  zone: z.string(),
  host: z.string(),
  port: z.number(),
  state: z.enum(['live', 'leaving'])
})
const listReading = z.object({
  version: z.number(),
  change: z.object({ whole: z.boolean(), servers: z.array(listed), removed: z.array(z.string()) })
})

/** Builds clients for all three services on one pool. */
export class HttpPlatform implements Platform {
  readonly client: HttpClient
  readonly tables: TableService
  readonly objects: ObjectStore
  readonly instances: InstanceList

  constructor (options: HttpClientOptions) {
    this.client = new HttpClient(options)
    this.tables = new HttpTableService(this.client)
    this.objects = new HttpObjectStore(this.client)
    this.instances = new HttpInstanceList(this.client)
  }

  close (): void {
    this.client.close()
  }
}

class HttpTableService implements TableService {
  private readonly _client: HttpClient

  constructor (client: HttpClient) {
    this._client = client
  }

  async transact (transactions: Transaction[]): Promise<TransactionResult[]> {
    const answer = await this._client.send('POST', '/v1/tables/transactions', JSON.stringify({ transactions }))
    const { results } = parsed(answer, transactResult)
    if (results.length !== transactions.length) {
      throw new PlatformUnavailable('%d results for %d transactions', results.length, transactions.length)
    }
    return results as TransactionResult[]
  }
}

class HttpObjectStore implements ObjectStore {
  private readonly _client: HttpClient

  constructor (client: HttpClient) {
    this._client = client
  }

  async put (key: string, text: string): Promise<void> {
    const answer = await this._client.send('PUT', objectPath(key), text)
    if (answer.status >= 300) throw new PlatformUnavailable('object store answered %d', answer.status)
  }

  async get (key: string): Promise<string | undefined> {
    const answer = await this._client.send('GET', objectPath(key))
    if (answer.status === 404) return undefined
    if (answer.status !== 200) throw new PlatformUnavailable('object store answered %d', answer.status)
    return answer.text
  }
}

class HttpInstanceList implements InstanceList {
  private readonly _client: HttpClient

  constructor (client: HttpClient) {
    this._client = client
  }

  async read (since: number): Promise<ListReading> {
    return parsed(await this._client.send('GET', `/v1/instances?since=${since}`), listReading)
  }
}

function objectPath (key: string): string {
  return `/v1/objects/${encodeURIComponent(key)}`
}

function parsed<T> (answer: HttpAnswer, schema: z.ZodType<T>): T {
  if (answer.status !== 200) throw new PlatformUnavailable('the platform answered %d', answer.status)
  let raw: unknown
  try {
    raw = JSON.parse(answer.text)
  } catch {
    throw new PlatformUnavailable('the platform answered with no JSON')
  }
  const result = schema.safeParse(raw)
  if (!result.success) throw new PlatformUnavailable('the platform answered with another shape: %s', result.error.message)
  return result.data
}
