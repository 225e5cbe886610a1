/** Which entries may count for the groups of customers. */
import { isLimited, type Customer, type GatewayConfiguration } from '../configuration/gateway.js'
import type { Declarations } from '../configuration/declarations.js'
import { hash } from '../hash.js'
import type { Member } from '../members/member.js'
import type { MemberOrder, Roles } from '../members/roles.js'
import type { Roster } from '../members/roster.js'

/**
 * Customers are divided among this many holders. Each of them exchanges messages with all entries, which costs bytes between zones; one
 * counts some thousand requests a second.
 */
export const QUOTA_GROUPS = 1

export interface QuotaCandidatesOptions {
  declarations: Declarations
  roster: Roster
  roles: Roles
}

/** The group of a customer. */
export function quotaGroupOf (customer: string): number {
  return hash(customer) % QUOTA_GROUPS
}

export class QuotaCandidates {
  private readonly _options: QuotaCandidatesOptions
  private _gateway: GatewayConfiguration | undefined
  private _limitedGroups: ReadonlySet<number> = new Set()

  constructor (options: QuotaCandidatesOptions) {
    this._options = options
  }

  /** Entries that may count for a group, the preferred one first. */
  of (group: number): MemberOrder {
    return this._options.roles.keepersOf(`quota ${group}`)
  }

  /** Whether this entry is the preferred one. */
  isFirst (group: number): boolean {
    return this.of(group)[0]?.instance === this._options.roster.self.instance
  }

  /** Whether another entry is preferred to this one. */
  precedes (group: number, other: Member): boolean {
    const order = this.of(group).map(({ instance }) => instance)
    const own = order.indexOf(this._options.roster.self.instance)
    const rank = order.indexOf(other.instance)
    return rank >= 0 && (own < 0 || rank < own)
  }

  /** Customers of a group that have a limit. */
  limitedCustomers (group: number): Customer[] {
    const customers = this._options.declarations.gateway?.customers ?? []
    return customers.filter((customer) => isLimited(customer) && quotaGroupOf(customer.name) === group)
  }

  /** The groups that have customers with a limit. */
  get limitedGroups (): ReadonlySet<number> {
    const { gateway } = this._options.declarations
    if (gateway !== this._gateway) {
      this._gateway = gateway
      this._limitedGroups = new Set(gateway?.customers?.filter(isLimited).map(({ name }) => quotaGroupOf(name)))
    }
    return this._limitedGroups
  }
}
