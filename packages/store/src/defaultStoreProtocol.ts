/** The default store protocol, described in `docs/store-contract.md`. */
import type { RolloutStatus } from '@gooseberryspan/core'
import * as z from 'zod'
import type { RowPage, StatusMeaning, StoreCall, StoreProtocol } from './protocol.js'
import type { RowName, Transaction } from './store.js'

const pageSchema = z.object({
  rows: z.array(z.object({ key: z.string(), version: z.number(), value: z.string().optional() })),
  version: z.number(),
  more: z.boolean().default(false)
})
const versionSchema = z.object({ version: z.number() })

const STATUS_MEANINGS: Partial<Record<number, StatusMeaning>> = {
  200: 'done', 201: 'done', 404: 'missing', 409: 'conflict', 410: 'history-lost', 400: 'refused', 403: 'refused'
}

/** Encodes calls and decodes responses as JSON over HTTP. */
export class DefaultStoreProtocol implements StoreProtocol {
  readonly eraHeader = 'store-era'

  rows (table: string, { from, limit }: { from?: string, limit?: number }): StoreCall {
    const query = new URLSearchParams({ table })
    if (from !== undefined) query.set('from', from)
    if (limit !== undefined) query.set('limit', String(limit))
    return { method: 'GET', path: `/v2/rows?${query}` }
  }

  changes (table: string, after: number, waitMs: number): StoreCall {
    return { method: 'GET', path: `/v2/changes?${new URLSearchParams({ table, after: String(after), waitMs: String(waitMs) })}` }
  }

  transact (transaction: Transaction): StoreCall {
    return { method: 'POST', path: '/v2/transactions', body: JSON.stringify(transaction) }
  }

  putObject (name: string, text: string): StoreCall {
    return { method: 'PUT', path: objectPath(name), body: text }
  }

  getObject (name: string): StoreCall {
    return { method: 'GET', path: objectPath(name) }
  }

  rolloutStatusRow (service: string, status: RolloutStatus): RowName & { value: string } {
    return { table: 'status', key: `rollout/${service}`, value: JSON.stringify(status) }
  }

  meaningOf (status: number): StatusMeaning {
    return STATUS_MEANINGS[status] ?? 'unavailable'
  }

  readPage (text: string): RowPage {
    return pageSchema.parse(JSON.parse(text))
  }

  readVersion (text: string): number {
    return versionSchema.parse(JSON.parse(text)).version
  }
}

function objectPath (name: string): string {
  return `/v2/objects/${encodeURIComponent(name)}`
}
