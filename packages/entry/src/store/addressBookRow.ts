/** The row of the store in which the change-feed leader registers the entries. */
import { portSchema, type AddressBook } from '@gooseberryspan/core'
import * as z from 'zod'

/** Where the registered entries are kept, for entries that start while no seed is reachable. */
export const ADDRESS_BOOK_ROW = { table: 'watchers', key: 'current' } as const

const addressSchema = z.object({ host: z.string(), port: portSchema })
/** The address of the change-feed leader and, unless an entry of an earlier version has written the row, those of other entries. */
const rowSchema = addressSchema.extend({
  entries: z.array(addressSchema).default([]), count: z.int().min(1).default(1), fleetCount: z.int().min(1).optional()
})

export function encodeAddressBook ({ addresses, entryCount, fleetCount }: AddressBook): string {
  const [leader, ...entries] = addresses
  return JSON.stringify({ ...leader, entries, count: entryCount, fleetCount })
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
  const { host, port, entries, count, fleetCount } = result.data
  const book = { addresses: [{ host, port }, ...entries], entryCount: count }
  return fleetCount === undefined ? book : { ...book, fleetCount }
}
