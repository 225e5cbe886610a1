/** The set of entries at one version, and who watches whom in it. */
import { rendezvous } from '../hash.js'
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
 * The members that watch one: from the first two groups that have any, in this order: the next region,
 * the other zones of its own region in turn, its own zone, the other regions. A holder that loses both
 * the table and a whole zone beside its own thus loses consent too, and cannot miss a change for long.
 * A member that joins or goes only changes the watchers of those for whom it is a watcher itself;
 * the proof that nobody is evicted too early rests on that.
 */
export function watchersOf (members: readonly Member[], watched: Member): Member[] {
  const groups = groupsOf(members, watched)
  const found: Member[] = []
  for (const group of groups) {
    const member = best(group, watched, undefined)
    if (member) found.push(member)
    if (found.length === WATCHERS) return found
  }
  const second = groups[0] && best(groups[0], watched, found[0])
  return second ? [...found, second] : found
}

/** Entries that watch one entry's lease. */
export const WATCHERS = 2

/** Members whose consent the holder needs when it cannot renew: its watchers, with and without joining ones. */
export function promisorsOf (view: View, watched: Member): Member[] {
  const found = watchersOf(evictors(view), watched)
  for (const member of watchersOf(view.members, watched)) {
    if (!found.includes(member)) found.push(member)
  }
  return found
}

/** The members that one may evict: those whose watcher it is. */
export function watchedBy (view: View, watcher: Member): Member[] {
  const able = evictors(view)
  return able.filter((member) => {
    if (member.instance === watcher.instance) return false
    return watchersOf(able, member).some((other) => other.instance === watcher.instance)
  })
}

function groupsOf (members: readonly Member[], watched: Member): Member[][] {
  const others = members.filter((member) => member.instance !== watched.instance)
  const regions = after(others.map((member) => member.region), watched.region)
  const near = others.filter((member) => member.region === watched.region)
  const zones = after(near.map((member) => member.zone), watched.zone)
  const inRegion = (region: string): Member[] => others.filter((member) => member.region === region)
  const inZone = (zone: string): Member[] => near.filter((member) => member.zone === zone)
  const [nextRegion, ...farRegions] = regions
  const groups = [...zones.map(inZone), inZone(watched.zone), ...farRegions.map(inRegion)]
  if (nextRegion !== undefined) groups.unshift(inRegion(nextRegion))
  return groups.filter((group) => group.length > 0)
}

/** The distinct names other than one's own, in a circle that starts after it. */
function after (names: string[], own: string): string[] {
  const distinct = [...new Set(names)].filter((name) => name !== own).sort()
  return [...distinct.filter((name) => name > own), ...distinct.filter((name) => name < own)]
}

function best (members: readonly Member[], watched: Member, other: Member | undefined): Member | undefined {
  return rendezvous(watched.instance, members.filter((member) => member !== other), (member) => member.instance)
}
