/** Registers the entries in the store while this entry is change-feed leader, for entries that start while no seed answers. */
import type { Outbox } from '../effects.js'
import type { Random } from '../random.js'
import { isOutdated, newAddressBook, type AddressBook } from './addressBook.js'
import type { Roles } from './roles.js'
import type { Roster } from './roster.js'

/** Dependencies of a registration. */
export interface RegistrationOptions {
  roster: Roster
  roles: Roles
  outbox: Outbox
  random: Random
}

/** An entry that has been change-feed leader for this long registers the entries. */
const REGISTRATION_DELAY_MS = 1500
/** How often the leader checks for another registered leader, because entries may have split into two groups. */
const CHECK_INTERVAL_MS = 5000

/** The registration of the entries in the store. */
export class Registration {
  private readonly _options: RegistrationOptions
  private _leaderSince: number | undefined
  private _registeredAt = -Infinity

  constructor (options: RegistrationOptions) {
    this._options = options
  }

  /** Whether this entry is change-feed leader. */
  get isLeader (): boolean {
    return this._leaderSince !== undefined
  }

  /** Runs periodic work; `mayLead` tells whether this entry could be leader as far as its own state is concerned. */
  tick (mayLead: boolean, now: number): void {
    const { roles, outbox } = this._options
    if (!mayLead || roles.leaderRank !== 0) {
      this._leaderSince = undefined
      return
    }
    if (this._leaderSince === undefined) {
      this._leaderSince = now
      this._registeredAt = -Infinity
      outbox.log({ decision: 'watching' })
    }
    if (now - this._leaderSince < REGISTRATION_DELAY_MS || now - this._registeredAt < CHECK_INTERVAL_MS) return
    if (this._registeredAt > -Infinity) outbox.put({ kind: 'find-entries' })
    else this._register(now)
    this._registeredAt = now
  }

  /** Whether a registered book names this entry as leader. */
  namesSelf ({ addresses: [leader] }: AddressBook): boolean {
    const { host, peerPort } = this._options.roster.self
    return leader?.host === host && leader.port === peerPort
  }

  /**
   * Registers the entries again if the store names another leader, too many entries that are gone, or another number of entries. To be
   * called on the leader.
   */
  check (book: AddressBook, now: number): void {
    const { roster } = this._options
    if (!this.namesSelf(book) || isOutdated(book, roster) || book.fleetCount !== roster.fleet.countAt(now)) this._register(now)
  }

  private _register (now: number): void {
    const { outbox, roster, random } = this._options
    outbox.put({ kind: 'register-entries', book: newAddressBook(roster, roster.fleet.countAt(now), random) })
  }
}
