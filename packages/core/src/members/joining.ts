/** Finds the other entries after a start. */
import type { Outbox } from '../effects.js'
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
}

const INITIAL_RETRY_DELAY_MS = 60
const MAX_RETRY_DELAY_MS = 1000
/** Time without an answer from a seed after which the entry asks the store for the address of the change-feed leader. */
const STORE_LOOKUP_DELAY_MS = 500
const STORE_LOOKUP_INTERVAL_MS = 2000
const SEED_CHECK_INTERVAL_MS = 3000
/** Above this number of entries, each entry lengthens its seed check interval in proportion. */
const MAX_ENTRIES_AT_FULL_CHECK_RATE = 12

/**
 * Pings the seeds until another entry is known. If no seed answers, it also pings the change-feed leader that the store names.
 * Entries that started during a network partition may have found only some of the others, so this entry keeps pinging the
 * seeds that are not in its member list, at a longer interval.
 */
export class Joining {
  private readonly _options: JoiningOptions
  private _startedAt: number | undefined
  private _nextAttemptAt = 0
  private _retryDelayMs = INITIAL_RETRY_DELAY_MS
  private _nextStoreLookupAt = 0

  constructor (options: JoiningOptions) {
    this._options = options
  }

  tick (now: number): void {
    this._startedAt ??= now
    if (now < this._nextAttemptAt) return
    if (this._options.roster.others.length > 0) return this._introduceToUnknownSeeds(now)
    this._nextAttemptAt = now + this._retryDelayMs
    this._retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, this._retryDelayMs * 1.5)
    for (const seed of this._options.seeds) this._introduceTo(seed)
    if (now - this._startedAt < STORE_LOOKUP_DELAY_MS || now < this._nextStoreLookupAt) return
    this._nextStoreLookupAt = now + STORE_LOOKUP_INTERVAL_MS
    this._options.outbox.put({ kind: 'find-watcher' })
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

  /** Sends an introduction ping to an address. The answer starts the exchange of member lists. */
  private _introduceTo ({ host, port }: PeerAddress): void {
    this._options.outbox.put({ kind: 'greet', host, port, message: this._options.roster.introductionPing() })
  }

  /** Handles the store's answer to the lookup of the change-feed leader. */
  leaderFound ({ host, port }: PeerAddress): void {
    const { self } = this._options.roster
    if (host === self.host && port === self.peerPort) return
    this._introduceTo({ host, port })
  }
}
