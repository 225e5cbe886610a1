/** Repairs member lists that differ: for each differing group, both entries send the updates that the other one lacks. */
import { TokenBucket } from '../budgets/tokenBucket.js'
import { groupOf } from './digest.js'
import type { Member, MemberUpdate } from './member.js'
import type { MemberTable } from './memberTable.js'
import type { Compare, PeerMessage, Want } from './peerMessages.js'

/** Dependencies of list repair. */
export interface ListRepairOptions {
  table: MemberTable
  send: (to: Member, message: PeerMessage) => void
}

/** Maximum number of updates in one datagram. */
export const MAX_UPDATES_PER_MESSAGE = 14
/** Maximum number of members in one comparison message, at ten bytes each. */
const MAX_COMPARED_MEMBERS = 100
/** Limits the repair messages that this entry sends, because many entries may ask one seed at the same time. */
const MAX_REPAIR_MESSAGES_PER_SECOND = 120
/** Minimum time between two comparisons that this entry starts. */
const MIN_COMPARE_INTERVAL_MS = 120

/** Compares the member list of this entry with that of another entry. */
export class ListRepair {
  private readonly _options: ListRepairOptions
  private readonly _repairBudget = new TokenBucket(MAX_REPAIR_MESSAGES_PER_SECOND, MAX_REPAIR_MESSAGES_PER_SECOND, 0)
  private _nextCompareAt = 0

  constructor (options: ListRepairOptions) {
    this._options = options
  }

  /** Sends the member states of the differing groups. Returns false if no group differs or the last comparison was too recent. */
  compare (to: Member, theirs: readonly number[], now: number): boolean {
    const groups = this._options.table.digest.differingGroups(theirs)
    if (groups.length === 0 || now < this._nextCompareAt) return false
    this._nextCompareAt = now + MIN_COMPARE_INTERVAL_MS
    let message = newCompare()
    for (const group of groups) {
      const states = this._options.table.statesInGroup(group)
      if (message.keys.length > 0 && message.keys.length + states.size > MAX_COMPARED_MEMBERS) {
        this._options.send(to, message)
        message = newCompare()
      }
      message.groups.push(group)
      message.keys.push(...states.keys())
      message.states.push(...states.values())
    }
    this._options.send(to, message)
    return true
  }

  /** Sends updates within the rate limit. The receiver requests the remaining updates again with its next comparison. */
  sendUpdates (to: Member, news: readonly MemberUpdate[], now: number): void {
    for (let start = 0; start < news.length; start += MAX_UPDATES_PER_MESSAGE) {
      if (!this._repairBudget.take(now)) return
      this._options.send(to, { kind: 'gossip', news: news.slice(start, start + MAX_UPDATES_PER_MESSAGE) })
    }
  }

  /** Handles the member states of another entry: sends the updates that it lacks and requests those that this entry lacks. */
  handleCompare (from: Member, { groups, keys, states }: Compare, now: number): void {
    const receivedStates = new Map<number, number>()
    for (const [index, key] of keys.entries()) receivedStates.set(key, states[index] ?? 0)
    const updates: MemberUpdate[] = []
    const wantedKeys: number[] = []
    for (const group of groups) {
      for (const [key, state] of this._options.table.statesInGroup(group)) {
        if (receivedStates.get(key) !== state) updates.push(this._options.table.updateForKey(key)!)
      }
    }
    for (const [key, state] of receivedStates) {
      const ownStates = this._options.table.statesInGroup(groupOf(key))
      if (ownStates.get(key) === state) continue
      wantedKeys.push(key)
      const deadUpdate = ownStates.has(key) ? undefined : this._options.table.updateForKey(key)
      if (deadUpdate) updates.push(deadUpdate)
    }
    this.sendUpdates(from, updates, now)
    if (wantedKeys.length > 0) this._options.send(from, { kind: 'want', keys: wantedKeys })
  }

  /** Sends the updates that another entry requests. */
  handleWant (from: Member, { keys }: Want, now: number): void {
    const updates: MemberUpdate[] = []
    for (const key of keys) {
      const update = this._options.table.updateForKey(key)
      if (update) updates.push(update)
    }
    this.sendUpdates(from, updates, now)
  }
}

function newCompare (): Compare {
  return { kind: 'compare', groups: [], keys: [], states: [] }
}
