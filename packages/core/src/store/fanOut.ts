/** Broadcast tree: sends one message to all members, relayed by some of them in a large cluster. */
import { MAX_DIRECT_PEERS, type Member } from '../members/member.js'
import type { RelayRange } from '../members/peerMessages.js'
import { draw, type Random } from '../random.js'

/** A member that receives the message, and the range of members that it relays the message to. */
export interface Branch {
  to: Member
  relay?: RelayRange
}

/** Maximum number of members that one sender sends to, when there are more than `FEW_OTHERS` members. */
const MAX_BRANCHES = 5

/**
 * Splits the members into branches so that each sender sends to only a few members. Members are sorted by availability zone, so few
 * branches cross zones. The relay of each branch is chosen at random for each message: when a relay has just failed, the other
 * members of its branch miss one message only.
 */
export function fanOut (members: readonly Member[], random: Random): Branch[] {
  if (members.length <= MAX_DIRECT_PEERS) return members.map((to) => ({ to }))
  return splitIntoBranches(sortByZone(members), random)
}

/** Splits the range that a relay forwards a message to, without the relay itself. */
export function fanOutRange (members: readonly Member[], { from, to }: RelayRange, self: string, random: Random): Branch[] {
  const inRange = sortByZone(members).filter((member) => {
    const sortKey = sortKeyOf(member)
    return sortKey >= from && sortKey <= to && member.instance !== self
  })
  return splitIntoBranches(inRange, random)
}

function splitIntoBranches (members: readonly Member[], random: Random): Branch[] {
  const size = Math.ceil(members.length / MAX_BRANCHES)
  if (size <= 1) return members.map((to) => ({ to }))
  const branches: Branch[] = []
  for (let start = 0; start < members.length; start += size) {
    const part = members.slice(start, start + size)
    const to = draw(part, random)!
    if (part.length === 1) branches.push({ to })
    else branches.push({ to, relay: { from: sortKeyOf(part[0]!), to: sortKeyOf(part.at(-1)!) } })
  }
  return branches
}

/** Caches the sorted members for as long as the same list of members is in use. */
const sortedByList = new WeakMap<readonly Member[], Member[]>()

function sortByZone (members: readonly Member[]): Member[] {
  let byZone = sortedByList.get(members)
  if (!byZone) {
    byZone = [...members].sort((a, b) => sortKeyOf(a) < sortKeyOf(b) ? -1 : 1)
    sortedByList.set(members, byZone)
  }
  return byZone
}

function sortKeyOf ({ zone, instance }: Member): string {
  return `${zone}/${instance}`
}
