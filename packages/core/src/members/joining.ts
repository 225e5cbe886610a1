/** Finds the other entries after a start. */
import type { Outbox } from '../effects.js'
import { shuffled, type Random } from '../random.js'
import type { Roster } from './roster.js'

/** An address at which another entry may listen. */
export interface PeerAddress {
  host: string
  port: number
}

/** Dependencies of `Joining`. */
export interface JoiningOptions {
  roster: Roster
  seeds: readonly PeerAddress[]
  outbox: Outbox
  random: Random
  /** Whether the whole cluster starts for the first time, so that the store names no entries yet; false by default. */
  isFirstStart?: boolean
}

const INITIAL_RETRY_DELAY_MS = 30
const MAX_RETRY_DELAY_MS = 1000
/** Time without an answer from a seed, several round trips between zones, after which the entry asks the store for other entries. */
const STORE_LOOKUP_DELAY_MS = 40
/** Spreads these lookups, because an entry that another one has found meanwhile needs none. */
const STORE_LOOKUP_SPREAD_MS = 60
/** At the first start of the cluster, the lookup only helps entries whose seeds stay away. */
const FIRST_START_LOOKUP_DELAY_MS = 500
const STORE_LOOKUP_INTERVAL_MS = 2000
/** Number of entries in the store's address book that are pinged at once. */
const MAX_INTRODUCTIONS = 12
const SEED_CHECK_INTERVAL_MS = 3000
/** Above this number of entries, each entry lengthens its seed check interval in proportion. */
const MAX_ENTRIES_AT_FULL_CHECK_RATE = 12

/**
 * Pings the seeds until another entry is known. If no seed answers, it also pings the entries that the store names.
 * Entries that started during a network partition may have found only some of the others, so this entry keeps pinging the
 * seeds that are not in its member list, at a longer interval.
 */
export class Joining {
  private readonly _options: JoiningOptions
  private _nextAttemptAt = 0
  private _retryDelayMs = INITIAL_RETRY_DELAY_MS
  private _nextStoreLookupAt: number | undefined
  private _registered: PeerAddress[] = []
  /** A seed asks the store once in any case, because the seeds may know each other but not the entries that started before them. */
  private _seedLookupIsPending: boolean

  constructor (options: JoiningOptions) {
    this._options = options
    this._seedLookupIsPending = !options.isFirstStart && options.seeds.some((seed) => this._isOwn(seed))
  }

  tick (now: number): void {
    this._nextStoreLookupAt ??= now + this._lookupDelayMs()
    if (this._options.roster.others.length > 0 && !this._seedLookupIsPending) {
      if (now >= this._nextAttemptAt) this._introduceToUnknownSeeds(now)
      return
    }
    if (now >= this._nextStoreLookupAt) {
      this._nextStoreLookupAt = now + STORE_LOOKUP_INTERVAL_MS
      this._seedLookupIsPending = false
      this._options.outbox.put({ kind: 'find-entries' })
    }
    if (now < this._nextAttemptAt) return
    this._nextAttemptAt = now + this._retryDelayMs
    this._retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, this._retryDelayMs * 1.5)
    for (const seed of this._options.seeds) this._introduceTo(seed)
    this._introduceToRegistered()
  }

  /** Handles the addresses of entries that the store names. */
  entriesFound (addresses: readonly PeerAddress[]): void {
    this._registered = addresses.filter((address) => !this._isOwn(address))
    this._introduceToRegistered()
  }

  private _lookupDelayMs (): number {
    const { isFirstStart, random } = this._options
    if (isFirstStart) return FIRST_START_LOOKUP_DELAY_MS
    return this._seedLookupIsPending ? 0 : STORE_LOOKUP_DELAY_MS + random.next() * STORE_LOOKUP_SPREAD_MS
  }

  private _introduceToUnknownSeeds (now: number): void {
    const alive = this._options.roster.alive
    this._nextAttemptAt = now + SEED_CHECK_INTERVAL_MS * Math.max(1, alive.length / MAX_ENTRIES_AT_FULL_CHECK_RATE)
    this._retryDelayMs = INITIAL_RETRY_DELAY_MS
    const known = new Set(alive.map(({ host, peerPort }) => `${host}:${peerPort}`))
    for (const seed of this._options.seeds) {
      if (!known.has(`${seed.host}:${seed.port}`)) this._introduceTo(seed)
    }
  }

  /** Pings some of the entries that the store names, others each time, because some of them may be down. */
  private _introduceToRegistered (): void {
    for (const address of shuffled(this._registered, this._options.random).slice(0, MAX_INTRODUCTIONS)) this._introduceTo(address)
  }

  private _isOwn ({ host, port }: PeerAddress): boolean {
    const { self } = this._options.roster
    return host === self.host && port === self.peerPort
  }

  /** Sends an introduction ping to an address. The answer starts the exchange of member lists. */
  private _introduceTo ({ host, port }: PeerAddress): void {
    this._options.outbox.put({ kind: 'greet', host, port, message: this._options.roster.introductionPing() })
  }
}
