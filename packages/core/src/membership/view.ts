/** The set of entries at one version, and who watches whom in it. */
import { hash } from '../hash.js'
import type { Member, Split } from './tables.js'

/** All entries at one point in the table service's history. Views are totally ordered by version. */
export interface View {
  version: number
  members: Member[]
  splits: Split[]
}

/** The view before anything was read. */
export const EMPTY_VIEW: View = { version: 0, members: [], splits: [] }

/** The member of that instance, if any. */
export function memberOf (view: View, instance: string): Member | undefined {
  for (const member of view.members) {
    if (member.instance === instance) return member
  }
  return undefined
}

/** Whether that very incarnation is in the view. */
export function hasIncarnation (view: View, instance: string, incarnation: string): boolean {
  return memberOf(view, instance)?.incarnation === incarnation
}

/** Number of holders a service has in each zone. */
export function holdersOf (view: View, service: string): number {
  return view.splits.find((split) => split.service === service)?.holders ?? 1
}

/** Members that may evict: those that every earlier member knows of. */
export function evictors (view: View): Member[] {
  return view.members.filter((member) => member.state !== 'joining')
}

/**
 * The two members that watch one: the first from another region if there is one, the second from
 * another zone of its own. A member that joins or goes only changes the watchers of those for whom
 * it is a watcher itself; the proof that nobody is evicted too early rests on that.
 */
export function watchersOf (members: readonly Member[], watched: Member): Member[] {
  const first = best(members, watched, undefined, farRank)
  if (!first) return []
  const second = best(members, watched, first, nearRank)
  return second ? [first, second] : [first]
}

/** Members whose consent the holder needs when it cannot renew: its watchers, with and without joining ones. */
export function promisorsOf (view: View, watched: Member): Member[] {
  const found = watchersOf(evictors(view), watched)
  for (const member of watchersOf(view.members, watched)) {
    if (!found.includes(member)) found.push(member)
  }
  return found
}

type Rank = (member: Member, watched: Member) => number

function farRank (member: Member, watched: Member): number {
  if (member.region !== watched.region) return 2
  return member.zone === watched.zone ? 0 : 1
}

function nearRank (member: Member, watched: Member): number {
  if (member.region !== watched.region) return 0
  return member.zone === watched.zone ? 1 : 2
}

function best (members: readonly Member[], watched: Member, other: Member | undefined, rank: Rank): Member | undefined {
  let found: Member | undefined
  let foundRank = -1
  let foundScore = -1
  for (const member of members) {
    if (member.instance === watched.instance || member === other) continue
    const memberRank = rank(member, watched)
    if (memberRank < foundRank) continue
    const score = hash(`${watched.instance}>${member.instance}`)
    if (memberRank === foundRank && score <= foundScore) continue
    found = member
    foundRank = memberRank
    foundScore = score
  }
  return found
}
