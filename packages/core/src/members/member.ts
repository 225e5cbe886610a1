/** The description of an entry process that entries share with each other. */
import { hash } from '../hash.js'

/** Lifecycle phase that an entry reports about itself. */
export type Phase = 'starting' | 'ready' | 'leaving'

/** Liveness of a member as other members judge it. For the same sequence, a later value overrides an earlier one. */
export type Standing = 'alive' | 'suspect' | 'dead'

/** An entry process. */
export interface Member {
  instance: string
  /**
   * Start time of the process, in milliseconds since 1970, or a higher number if the clock was set back. A higher incarnation
   * replaces a lower one.
   */
  incarnation: number
  zone: string
  host: string
  /** Port on which callers connect. */
  port: number
  /** Port on which other entries send messages. */
  peerPort: number
  /** Processor capacity of the process, in cores. */
  cores: number
  phase: Phase
  /** Whether the entry can reach the platform's store. */
  reachesStore: boolean
  /** Whether the entry has warmed up since its start, so that it can schedule for others. */
  isWarm: boolean
  /** The process increments this number with each change to its own description. */
  sequence: number
}

/** A membership update: a member and its standing as judged by another member. */
export interface MemberUpdate {
  member: Member
  standing: Standing
}

/** Up to this number of other members, an entry sends a broadcast to each of them directly. Above it, receivers forward it. */
export const MAX_DIRECT_PEERS = 24

const STANDING_RANK: Record<Standing, number> = { alive: 0, suspect: 1, dead: 2 }

/**
 * Whether an update is newer than the current one. A process that learns that others consider it dead increments its sequence
 * and counts as alive again. A process that has ended cannot do that.
 */
export function supersedes (update: MemberUpdate, current: MemberUpdate): boolean {
  if (update.member.incarnation !== current.member.incarnation) return update.member.incarnation > current.member.incarnation
  if (update.member.sequence !== current.member.sequence) return update.member.sequence > current.member.sequence
  return STANDING_RANK[update.standing] > STANDING_RANK[current.standing]
}

/** Returns the number that identifies a member in digests. */
export function keyOf (instance: string): number {
  return hash(instance)
}

/** Returns a hash of the parts of an update that decide which update is newer. */
export function stateOf ({ member, standing }: MemberUpdate): number {
  return hash(`${member.instance}|${member.incarnation}|${member.sequence}|${standing}`)
}
