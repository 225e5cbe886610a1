/** Decides which entries read the store, when they read it, and how long a read may wait for changes. */
import { hash } from '../hash.js'
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
  /** How long the store may delay its answer to the entry that confirms the replicas of all, while there are no changes (long polling). */
  waitMs: number
  /** How long it may delay its answers to the other followers. */
  standbyWaitMs: number
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
  standbyWaitMs: 700,
  takeoverAgeMs: 1000,
  outageAgeMs: 2000,
  heartbeatPeriodMs: 250,
  maxRetryPauseMs: 800,
  retriesOneTable: false
}
/**
 * Two followers in two zones. A follower that the store no longer answers does not know, so all entries rely on confirmations that are
 * younger than the time in which a change has to be in force, less the time of a takeover.
 */
const LARGE_CLUSTER_TIMING: StoreTiming = {
  followers: 2,
  waitMs: 1000,
  standbyWaitMs: 2500,
  takeoverAgeMs: 1300,
  outageAgeMs: 4400,
  heartbeatPeriodMs: 500,
  maxRetryPauseMs: 1500,
  retriesOneTable: true
}
/** Number of highest-ranked members that retry often. */
const PREFERRED_READERS = 3
/** Number of entries that read in quick succession when replicas are overdue: enough to include one that the store still answers. */
const QUICK_CANDIDATES = 10
/** Delay between the reads of successive candidates, so that one of them reads and the others receive its changes. */
const CANDIDATE_STAGGER_MS = 50
/** While none of the candidates succeeds, one more entry reads each time. */
const FURTHER_CANDIDATE_DELAY_MS = 5000
/** How long a starting entry waits for replicas from other entries before it reads the store itself. */
const PREFERRED_READER_JOIN_WAIT_MS = 900
const JOIN_STAGGER_MS = 60
const OTHER_ENTRY_JOIN_WAIT_MS = 5000
const INITIAL_RETRY_PAUSE_MS = 80
const MIN_WAIT_MS = 100
/** Entries that are not preferred readers pause this many times longer between attempts to read an unreachable store. */
const OTHER_ENTRY_PAUSE_FACTOR = 3

/** Decides for this entry, based on its rank among the members. */
export class StoreAccess {
  private readonly _options: StoreAccessOptions
  private _substitutes = false
  /** Whether a read is under way with which this entry takes over. */
  private _takesOver = false

  constructor (options: StoreAccessOptions) {
    this._options = options
  }

  get timing (): StoreTiming {
    return this._options.roster.isLarge ? LARGE_CLUSTER_TIMING : SMALL_CLUSTER_TIMING
  }

  /** Whether this entry is meant to read changes continuously on behalf of all entries. */
  get isFollower (): boolean {
    return this._rank < this.timing.followers
  }

  /** Whether this entry is a follower that reads only in case the leader fails. */
  get isStandby (): boolean {
    return this._rank > 0 && this.isFollower
  }

  /** Begins a read of a replica that is known here. Returns whether this entry takes over from followers that do not confirm it. */
  readBegan (): boolean {
    this._takesOver = !this.isFollower && !this._substitutes
    return this._takesOver
  }

  /** Whether this entry may read the store now, given the age of its replica; `version` is what all entries know of the store. */
  mayRead (ageMs: number, version: number | undefined): boolean {
    if (this.isFollower || this._substitutes) return true
    const overdueMs = ageMs - this.timing.takeoverAgeMs
    return overdueMs > 0 && overdueMs > this._takeoverDelayMs(String(version))
  }

  /** Records a successful read. After a takeover, this entry goes on reading until another entry confirms the replicas. */
  readSucceeded (): void {
    if (this._takesOver) this._substitutes = true
    this._takesOver = false
  }

  /** Records a failed read, which ends a takeover. */
  readFailed (): void {
    this._substitutes = false
    this._takesOver = false
  }

  /** Records that another entry has confirmed the replicas. One of the entries that substitute for the followers goes on. */
  confirmedBy (reader: string): void {
    const { watchers, leaderRank } = this._options.roles
    const rank = watchers.findIndex(({ instance }) => instance === reader)
    const isStandby = rank > 0 && rank < this.timing.followers
    if (rank < 0 || rank >= leaderRank || isStandby) return
    this._substitutes = false
    this._takesOver = false
  }

  /** Whether this entry, which has no replica yet, may read the store after it has waited `waitedMs` for other entries. */
  mayReadInitially (waitedMs: number): boolean {
    if (this._rank < PREFERRED_READERS) return waitedMs > PREFERRED_READER_JOIN_WAIT_MS + this._rank * JOIN_STAGGER_MS
    return waitedMs > OTHER_ENTRY_JOIN_WAIT_MS
  }

  /** How long the store may delay its answer to a read, given the latency of the previous read. */
  waitMs (latencyMs: number): number {
    if (!this.isFollower && !this._substitutes) return 0
    const { waitMs, standbyWaitMs } = this.timing
    return Math.max(MIN_WAIT_MS, Math.round((this.isStandby ? standbyWaitMs : waitMs) - latencyMs))
  }

  /** Pause before the next read after this number of consecutive failures. */
  pauseMs (failures: number): number {
    const { maxRetryPauseMs } = this.timing
    const maxPauseMs = this._rank < PREFERRED_READERS ? maxRetryPauseMs : maxRetryPauseMs * OTHER_ENTRY_PAUSE_FACTOR
    return Math.min(maxPauseMs, INITIAL_RETRY_PAUSE_MS * 2 ** Math.min(10, failures))
  }

  /**
   * Delay of this entry's takeover. The order of the candidates differs for each version and has nothing to do with the ranks, so that it
   * includes entries that the store answers whichever entries it no longer answers.
   */
  private _takeoverDelayMs (seed: string): number {
    const { roster } = this._options
    const ownHash = hash(`${seed}|${roster.self.instance}`)
    let position = 0
    for (const { instance } of roster.alive) if (hash(`${seed}|${instance}`) < ownHash) position += 1
    const waitsBehind = Math.max(0, position - QUICK_CANDIDATES + 1)
    return (position - waitsBehind) * CANDIDATE_STAGGER_MS + waitsBehind * FURTHER_CANDIDATE_DELAY_MS
  }

  private get _rank (): number {
    return Math.max(0, this._options.roles.leaderRank)
  }
}
