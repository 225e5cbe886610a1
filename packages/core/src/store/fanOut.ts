/** Sends one message to all members, through some of them where there are many. */
import type { Member } from '../members/member.js'

/** A member and those that it passes the message on to. */
export interface Branch {
  to: Member
  relay: string[]
}

/** Members that one sender tells by itself. */
const MOST_DIRECT = 24

/** Splits the members so that none sends to more than a few. Members of one zone come together, so that few branches cross zones. */
export function fanOut (members: readonly Member[]): Branch[] {
  if (members.length <= MOST_DIRECT) return members.map((to) => ({ to, relay: [] }))
  const sorted = [...members].sort((a, b) => a.zone === b.zone ? (a.instance < b.instance ? -1 : 1) : (a.zone < b.zone ? -1 : 1))
  const size = Math.ceil(sorted.length / MOST_DIRECT)
  const branches: Branch[] = []
  for (let start = 0; start < sorted.length; start += size) {
    const [to, ...rest] = sorted.slice(start, start + size)
    branches.push({ to: to!, relay: rest.map((member) => member.instance) })
  }
  return branches
}
