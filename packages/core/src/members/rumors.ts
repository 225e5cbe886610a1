/** Membership updates that still have to be sent with pings, those with the fewest sends first. */
import type { MemberUpdate } from './member.js'

/** This many sends reach most members; the remaining members receive the update when member lists are compared. */
const SENDS_PER_UPDATE = 4

/** Counts how often each update has been sent. */
export class PendingUpdates {
  private readonly _sendsLeft = new Map<string, number>()

  /** Marks the update about a member as one that has to be sent. */
  add (instance: string): void {
    this._sendsLeft.set(instance, SENDS_PER_UPDATE)
  }

  /** Returns the updates to send now and counts them as sent. */
  next (limit: number, updateOf: (instance: string) => MemberUpdate | undefined): MemberUpdate[] {
    if (this._sendsLeft.size === 0) return []
    const leastSent = [...this._sendsLeft].sort((a, b) => b[1] - a[1]).slice(0, limit)
    const updates: MemberUpdate[] = []
    for (const [instance, sendsLeft] of leastSent) {
      if (sendsLeft <= 1) this._sendsLeft.delete(instance)
      else this._sendsLeft.set(instance, sendsLeft - 1)
      const update = updateOf(instance)
      if (update) updates.push(update)
    }
    return updates
  }
}
