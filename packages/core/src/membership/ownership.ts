/** Which shards this entry may dispatch for: one row each in the table, taken by conditional write. */
import type { Outbox } from '../effects.js'
import type { ServerHandover } from '../limits/backendServer.js'
import type { Membership } from './membership.js'
import type { Release, ReleaseRequest } from './messages.js'
import { shardKey, shardOfKey, type Placement, type Shard } from './placement.js'
import { rowOf, type Member, type Row, type ShardRow, type Transaction, type TransactionResult } from './tables.js'
import type { Transactions } from './transactions.js'
import { hasIncarnation, memberOf } from './view.js'

/** How far this entry is with a shard that it should hold. */
type Progress = 'reading' | 'asking' | 'claiming' | 'active'

/** One shard on its way here, or here. */
interface Holding {
  shard: Shard
  progress: Progress
  /** Version of the row that the progress rests on. */
  version: number
  nextAt: number
  /** Kept until the claim is known to have succeeded, since its answer may be lost. */
  origin: Origin
  servers: ServerHandover[]
}

/** A release that was given, kept in case its message was lost. */
interface Given {
  version: number
  servers: ServerHandover[]
  until: number
}

/** How a shard came here. */
export type Origin = 'fresh' | 'handover' | 'crash'

/** Told of shards that come and go. */
export interface OwnershipListener {
  shardGained (shard: Shard, origin: Origin, servers: ServerHandover[], now: number): void
  /** Stops all dispatching for the shard and tells what is in flight, to the next holder if there is one. */
  shardLost (shard: Shard, to: Member | undefined, now: number): ServerHandover[]
}

/** What the ownership is built from. */
export interface OwnershipOptions {
  membership: Membership
  transactions: Transactions
  outbox: Outbox
  listener: OwnershipListener
}

const RETRY_MS = 200
const REREAD_MS = 1000
const KEEP_RELEASE_MS = 30_000
const SHARDS_AT_ONCE = 100

/** Takes the shards that the placement names, and gives up those it names for others. */
export class Ownership {
  private readonly _holdings = new Map<string, Holding>()
  private readonly _given = new Map<string, Given>()
  private readonly _options: OwnershipOptions

  constructor (options: OwnershipOptions) {
    this._options = options
  }

  /** Whether this entry may dispatch for the shard, as long as its lease is valid. */
  isActive (key: string): boolean {
    return this._holdings.get(key)?.progress === 'active'
  }

  /** Whether the shard is on its way here from an entry that is alive. */
  isComing (key: string): boolean {
    const progress = this._holdings.get(key)?.progress
    return progress !== undefined && progress !== 'active'
  }

  get active (): Shard[] {
    return [...this._holdings.values()].filter((holding) => holding.progress === 'active').map((holding) => holding.shard)
  }

  /** Compares what is held with what should be: after each new view, document or while something is pending. */
  step (wanted: readonly Shard[], now: number): void {
    const keys = new Set(wanted.map(shardKey))
    for (const [key, holding] of this._holdings) {
      if (!keys.has(key) && holding.progress !== 'active') this._holdings.delete(key)
    }
    const missing = wanted.filter((shard) => !this._holdings.has(shardKey(shard)))
    for (const shard of missing) {
      this._holdings.set(shardKey(shard), { shard, progress: 'reading', version: 0, nextAt: now, origin: 'fresh', servers: [] })
    }
    for (const [key, given] of this._given) {
      if (now >= given.until) this._given.delete(key)
    }
    this._readDue(now)
  }

  /** Whether anything is on its way. */
  get pending (): boolean {
    for (const holding of this._holdings.values()) {
      if (holding.progress !== 'active') return true
    }
    return false
  }

  /** The lease is lost for good: nothing is held any more. */
  loseAll (now: number): void {
    for (const holding of this._holdings.values()) {
      if (holding.progress === 'active') this._options.listener.shardLost(holding.shard, undefined, now)
    }
    this._holdings.clear()
    this._given.clear()
  }

  /** Gives up everything in good order: nothing of this entry is in flight, so the rows may go. */
  surrender (now: number): void {
    const active = [...this._holdings.values()].filter((holding) => holding.progress === 'active')
    this.loseAll(now)
    for (let start = 0; start < active.length; start += SHARDS_AT_ONCE) {
      const deletions = active.slice(start, start + SHARDS_AT_ONCE).map(deletionOf)
      this._options.transactions.submit(deletions, () => {})
    }
  }

  /** The placement's new holder asks for a shard. */
  answerRelease (from: Member, request: ReleaseRequest, placement: Placement, now: number): void {
    const { membership, outbox } = this._options
    if (request.view !== placement.view.version || request.incarnation !== membership.incarnation) return
    const target = placement.holderOf(shardOfKey(request.shard))
    if (target?.instance !== from.instance || target.incarnation !== from.incarnation) return
    const servers = this._release(request, from, now)
    outbox.put({
      kind: 'send',
      to: from,
      message: { kind: 'release', shard: request.shard, version: request.version, view: request.view, servers }
    })
  }

  /** The former holder has stopped: the row may be taken. */
  takeRelease (release: Release, now: number): void {
    const holding = this._holdings.get(release.shard)
    if (holding?.progress !== 'asking' || holding.version !== release.version) return
    holding.origin = 'handover'
    holding.servers = release.servers
    this._claim([holding], now)
  }

  private _release (request: ReleaseRequest, to: Member, now: number): ServerHandover[] {
    const holding = this._holdings.get(request.shard)
    const given = this._given.get(request.shard)
    this._holdings.delete(request.shard)
    if (holding?.progress === 'active') {
      const servers = this._options.listener.shardLost(holding.shard, to, now)
      this._given.set(request.shard, { version: request.version, servers, until: now + KEEP_RELEASE_MS })
      this._options.outbox.log({ decision: 'shard-released', shard: request.shard, view: request.view, figure: servers.length })
      return servers
    }
    if (given && given.version === request.version && now < given.until) return given.servers
    return []
  }

  private _readDue (now: number): void {
    const due: Holding[] = []
    for (const holding of this._holdings.values()) {
      const waits = holding.progress === 'reading' || holding.progress === 'asking'
      if (waits && now >= holding.nextAt) due.push(holding)
    }
    for (let start = 0; start < due.length; start += SHARDS_AT_ONCE) {
      this._read(due.slice(start, start + SHARDS_AT_ONCE), now)
    }
  }

  private _read (holdings: Holding[], now: number): void {
    for (const holding of holdings) holding.nextAt = now + REREAD_MS
    const reads = holdings.map((holding) => ({ kind: 'row' as const, table: 'shards' as const, key: shardKey(holding.shard) }))
    this._options.transactions.submit([{ conditions: [], writes: [], reads }], (results, settledAt) => {
      const result = results?.[0]
      if (result) this._decide(holdings, result, settledAt)
    })
  }

  private _decide (holdings: Holding[], result: TransactionResult, now: number): void {
    const rows = new Map(result.rows.map((row) => [row.key, row]))
    const free: Holding[] = []
    for (const holding of holdings) {
      const key = shardKey(holding.shard)
      const row = rows.get(key)
      if (!row || this._holdings.get(key) !== holding) continue
      if (holding.progress !== 'reading' && holding.progress !== 'asking') continue
      if (this._mayClaim(holding, row, now)) free.push(holding)
    }
    if (free.length > 0) this._claim(free, now)
  }

  /** A row without a living holder may be claimed; a living holder is asked to stop first. */
  private _mayClaim (holding: Holding, row: Row, now: number): boolean {
    const { membership, outbox } = this._options
    holding.version = row.version
    const owner = row.value as ShardRow | undefined
    if (!owner || owner.incarnation === membership.incarnation) return true
    if (!hasIncarnation(membership.view, owner.instance, owner.incarnation)) {
      holding.origin = 'crash'
      holding.servers = []
      return true
    }
    holding.progress = 'asking'
    holding.nextAt = now + RETRY_MS
    outbox.put({
      kind: 'send',
      to: memberOf(membership.view, owner.instance)!,
      message: {
        kind: 'release-request',
        shard: shardKey(holding.shard),
        incarnation: owner.incarnation,
        version: row.version,
        view: membership.view.version
      }
    })
    return false
  }

  private _claim (holdings: Holding[], now: number): void {
    const { membership, transactions } = this._options
    if (membership.viewRowVersion === 0) return
    const value: ShardRow = { instance: membership.self?.instance ?? '', incarnation: membership.incarnation }
    for (const holding of holdings) {
      holding.progress = 'claiming'
      holding.nextAt = now + REREAD_MS
    }
    const incarnation = membership.incarnation
    const claims = holdings.map((holding) => claimTransaction(holding, value, membership.viewRowVersion))
    transactions.submit(claims, (results, settledAt) => {
      for (const [index, holding] of holdings.entries()) {
        const result = membership.incarnation === incarnation ? results?.[index] : undefined
        this._claimed(holding, result, settledAt)
      }
    })
  }

  private _claimed (holding: Holding, result: TransactionResult | undefined, now: number): void {
    const { outbox, listener, membership } = this._options
    const key = shardKey(holding.shard)
    if (this._holdings.get(key) !== holding) return
    if (!result?.committed) {
      holding.progress = 'reading'
      holding.nextAt = now + RETRY_MS
      return
    }
    holding.progress = 'active'
    holding.version = rowOf(result, 'shards', key).version
    this._given.delete(key)
    outbox.log({ decision: 'shard-taken', shard: key, reason: holding.origin, view: membership.view.version })
    listener.shardGained(holding.shard, holding.origin, holding.servers, now)
    holding.servers = []
  }
}

/** Holds only while this entry's view is the current one and the row is as it was read. */
function claimTransaction (holding: Holding, value: ShardRow, viewRowVersion: number): Transaction {
  const key = shardKey(holding.shard)
  return {
    conditions: [
      { table: 'view', key: 'current', version: viewRowVersion },
      { table: 'shards', key, version: holding.version }
    ],
    writes: [{ table: 'shards', key, value }],
    reads: [{ kind: 'row', table: 'shards', key }]
  }
}

function deletionOf (holding: Holding): Transaction {
  const key = shardKey(holding.shard)
  return { conditions: [{ table: 'shards', key, version: holding.version }], writes: [{ table: 'shards', key }], reads: [] }
}
