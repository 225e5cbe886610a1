/** The row of the store in which the change-feed leader registers the entries. */
import type { AddressBook } from '@gooseberryspan/core'
import * as z from 'zod'
import { addressSchema, parseHostPort } from '../settings.js'

/** Where the registered entries are kept, for entries that start while no seed is reachable. */
export const ADDRESS_BOOK_ROW = { table: 'watchers', key: 'current' } as const

/** An entry of an earlier version registers only the change-feed leader. */
const rowSchema = z.object({
  host: z.string(),
  port: z.int(),
  entries: z.array(addressSchema).default([]),
  count: z.int().min(1).default(1)
})

export function encodeAddressBook ({ addresses, entryCount }: AddressBook): string {
  const [leader] = addresses
  return JSON.stringify({ ...leader, entries: addresses.map(({ host, port }) => `${host}:${port}`), count: entryCount })
}

/** Returns undefined if the row is malformed. */
export function decodeAddressBook (value: string): AddressBook | undefined {
  let row: unknown
  try {
    row = JSON.parse(value)
  } catch {
    return undefined
  }
  const result = rowSchema.safeParse(row)
  if (!result.success) return undefined
  const { host, port, entries, count } = result.data
  const others = entries.map(parseHostPort).filter((entry) => entry.host !== host || entry.port !== port)
  return { addresses: [{ host, port }, ...others], entryCount: count }
}
