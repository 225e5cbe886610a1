/** Decides which entries read the store, when they read it, and how long a read may wait for changes. */
import type { Roles } from '../members/roles.js'
import type { Roster } from '../members/roster.js'

export interface StoreAccessOptions {
  roster: Roster
  roles: Roles
}

/** Settings that depend on the number of entries. */
interface StoreTiming {
  /** Number of entries that continuously read changes from the store. */
  followers: number
  /** How long the store may delay its answer while there are no changes (long polling). */
  waitMs: number
  /** When its replicas are older than this, an entry that is not a follower may read the store itself. */
  takeoverAgeMs: number
  /** When a replica was older than this before an update, the store counts as having been unreachable. */
  outageAgeMs: number
  heartbeatPeriodMs: number
  /** Longest pause between two attempts to read a store that does not answer. */
  maxRetryPauseMs: number
  /** Whether such attempts read only one table. */
  retriesOneTable: boolean
}

/** One follower with short waits, because calls are cheap in a small cluster. */
const SMALL_CLUSTER_TIMING: StoreTiming = {
  followers: 1,
  waitMs: 700,
  takeoverAgeMs: 1000,
  outageAgeMs: 2000,
  heartbeatPeriodMs: 250,
  maxRetryPauseMs: 800,
  retriesOneTable: false
}
/** Two followers in two zones: with long waits, a follower may notice only at the end of a wait that the store is unreachable. */
const LARGE_CLUSTER_TIMING: StoreTiming = {
  followers: 2,
  waitMs: 4000,
  takeoverAgeMs: 5000,
  outageAgeMs: 4400,
  heartbeatPeriodMs: 500,
  maxRetryPauseMs: 1500,
  retriesOneTable: true
}
/** Number of highest-ranked members that may read first when replicas are old; the highest-ranked member of each zone comes next. */
const PREFERRED_READERS = 3
/** Delay between the reads of successive ranks, so that one of them reads and the others receive its changes. */
const READER_STAGGER_MS = 60
/** The second-ranked member of each zone may read when its replica is overdue by more than this. */
const SECOND_IN_ZONE_DELAY_MS = 3000
/** How long a starting entry waits for replicas from other entries before it reads the store itself. */
const PREFERRED_READER_JOIN_WAIT_MS = 900
const OTHER_ENTRY_JOIN_WAIT_MS = 5000
const INITIAL_RETRY_PAUSE_MS = 80
const MIN_WAIT_MS = 100
/** Entries that are not preferred readers pause this many times longer between attempts to read an unreachable store. */
const OTHER_ENTRY_PAUSE_FACTOR = 3

/** Decides for this entry, based on its rank among the members. */
export class StoreAccess {
  private readonly _options: StoreAccessOptions

  constructor (options: StoreAccessOptions) {
    this._options = options
  }

  get timing (): StoreTiming {
    return this._options.roster.isLarge ? LARGE_CLUSTER_TIMING : SMALL_CLUSTER_TIMING
  }

  /** Whether this entry continuously reads changes from the store on behalf of all entries. */
  get isFollower (): boolean {
    return this._rank < this.timing.followers
  }

  /** Whether this entry may read the store now, given the age of its replica. */
  mayRead (ageMs: number): boolean {
    if (this.isFollower) return true
    const { takeoverAgeMs } = this.timing
    const overdueMs = ageMs - takeoverAgeMs
    if (overdueMs <= 0) return false
    if (this._rank < PREFERRED_READERS) return overdueMs > this._rank * READER_STAGGER_MS
    const zoneRank = this._options.roles.leaderRankInZone
    return zoneRank === 0 ? overdueMs > PREFERRED_READERS * READER_STAGGER_MS : zoneRank === 1 && overdueMs > SECOND_IN_ZONE_DELAY_MS
  }

  /** Whether this entry, which has no replica yet, may read the store after it has waited `waitedMs` for other entries. */
  mayReadInitially (waitedMs: number): boolean {
    if (this._rank < PREFERRED_READERS) return waitedMs > PREFERRED_READER_JOIN_WAIT_MS + this._rank * READER_STAGGER_MS
    return waitedMs > OTHER_ENTRY_JOIN_WAIT_MS
  }

  /** How long the store may delay its answer to a read, given the latency of the previous read. */
  waitMs (latencyMs: number): number {
    if (!this.isFollower) return 0
    const { waitMs } = this.timing
    return Math.max(MIN_WAIT_MS, Math.round(waitMs - latencyMs))
  }

  /** Pause before the next read after this number of consecutive failures. */
  pauseMs (failures: number): number {
    const { maxRetryPauseMs } = this.timing
    const maxPauseMs = this._rank < PREFERRED_READERS ? maxRetryPauseMs : maxRetryPauseMs * OTHER_ENTRY_PAUSE_FACTOR
    return Math.min(maxPauseMs, INITIAL_RETRY_PAUSE_MS * 2 ** Math.min(10, failures))
  }

  private get _rank (): number {
    return Math.max(0, this._options.roles.leaderRank)
  }
}
