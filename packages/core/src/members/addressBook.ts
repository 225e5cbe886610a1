/**
 * The entries that the change-feed leader registers in the store. When all entries start at once, as after a power failure, their
 * seeds may start last or not at all; entries then find each other through these addresses.
 */
import { shuffled, type Random } from '../random.js'
import type { PeerAddress } from './joining.js'
import type { Roster } from './roster.js'

/** Entries that were alive when the book was written. */
export interface AddressBook {
  /** Peer addresses of some of them, the change-feed leader's first. */
  addresses: PeerAddress[]
  /** Number of all of them. */
  entryCount: number
  /** Number of entries that may be running, with those that could not be reached; absent in books of earlier versions. */
  fleetCount?: number
}

/** The book that stands for a missing or unreadable row. */
export const EMPTY_ADDRESS_BOOK: AddressBook = { addresses: [], entryCount: 0 }

/** Keeps the row small in a cluster of hundreds; a starting entry needs only a few addresses that answer. */
const MAX_ADDRESSES = 48
/** The book is written again when fewer of the registered or of the present entries than this fraction are in both. */
const MIN_VALID_FRACTION = 0.5

/** The book that this entry registers as change-feed leader. */
export function newAddressBook (roster: Roster, fleetCount: number, random: Random): AddressBook {
  const { self, alive } = roster
  const others = shuffled(alive.filter((member) => member.instance !== self.instance), random)
  const addresses = [self, ...others].slice(0, MAX_ADDRESSES).map(({ host, peerPort }) => ({ host, port: peerPort }))
  return { addresses, entryCount: alive.length, fleetCount }
}

/** Whether too much of a registered book is no longer true. */
export function isOutdated (book: AddressBook, roster: Roster): boolean {
  const { alive } = roster
  if (Math.min(book.entryCount, alive.length) < Math.max(book.entryCount, alive.length) * MIN_VALID_FRACTION) return true
  const present = new Set(alive.map(({ host, peerPort }) => `${host}:${peerPort}`))
  const valid = book.addresses.filter(({ host, port }) => present.has(`${host}:${port}`))
  return valid.length < book.addresses.length * MIN_VALID_FRACTION
}
