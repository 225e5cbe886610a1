/** Broadcasts changed rows and heartbeats of this entry's replicas to the other entries, and relays the broadcasts of others. */
import type { Outbox } from '../effects.js'
import type { RowsMessage, ReplicaStatus, LeaderHeartbeat } from '../members/peerMessages.js'
import type { Roster } from '../members/roster.js'
import type { Random } from '../random.js'
import { isLater, type Position } from '../position.js'
import { fanOut, fanOutRange, type Branch } from './fanOut.js'
import type { StoredRow, TableName } from './row.js'
import type { OutageReport } from './storeOutage.js'

export interface ChangePublisherOptions {
  roster: Roster
  outbox: Outbox
  random: Random
}

/** All changes of a table after version `from`, up to and including version `to`. */
export interface TableChanges extends OutageReport {
  table: TableName
  from: number
  to: number
  /** Era of the store that the versions belong to. */
  era: number
  rows: StoredRow[]
}

/** A standby follower waits this long, because the change-feed leader usually publishes the same changes first. */
const STANDBY_PUBLISH_DELAY_MS = 40

/** Sends change broadcasts and heartbeats to all members: directly in a small cluster, through relays in a large one. */
export class ChangePublisher {
  private readonly _options: ChangePublisherOptions
  private readonly _published = new Map<TableName, Position>()
  private _delayed: Array<TableChanges & { dueAt: number }> = []

  constructor (options: ChangePublisherOptions) {
    this._options = options
  }

  /** Broadcasts changes. A standby follower does so after a delay, unless others have published them by then. */
  publish (changes: TableChanges, isStandby: boolean, now: number): void {
    if (isStandby) this._delayed.push({ ...changes, dueAt: now + STANDBY_PUBLISH_DELAY_MS })
    else this._send(changes)
  }

  /** Time at which the next broadcast is due. */
  get dueAt (): number {
    return this._delayed[0]?.dueAt ?? Infinity
  }

  /** Broadcasts a heartbeat; `reader` is this entry if a read of the store is the reason for it. */
  sendHeartbeat (tables: ReplicaStatus[], reader: string | undefined, report: OutageReport): void {
    const { outbox } = this._options
    for (const { to, relay } of this._allBranches()) outbox.send(to, { kind: 'watch-beat', tables, relay, reader, ...report })
  }

  /** Forwards a broadcast from another entry to the members of its relay range, if it has one. */
  relay (message: LeaderHeartbeat | RowsMessage): void {
    if (message.kind === 'rows') this._notePublished(message.table, { era: message.era, version: message.to })
    if (!message.relay) return
    const { roster, random, outbox } = this._options
    for (const { to, relay } of fanOutRange(roster.alive, message.relay, roster.self.instance, random)) {
      outbox.send(to, { ...message, relay })
    }
  }

  tick (now: number): void {
    if (this._delayed.length === 0) return
    const due = this._delayed.filter(({ dueAt }) => now >= dueAt)
    this._delayed = this._delayed.filter(({ dueAt }) => now < dueAt)
    for (const changes of due) {
      const published = this._published.get(changes.table)
      if (!published || isLater({ era: changes.era, version: changes.to }, published)) this._send(changes)
    }
  }

  private _notePublished (table: TableName, position: Position): void {
    const published = this._published.get(table)
    if (!published || isLater(position, published)) this._published.set(table, position)
  }

  private _send ({ table, from, to: version, era, rows, recoveredMs }: TableChanges): void {
    for (const { to, relay } of this._allBranches()) {
      this._options.outbox.send(to, { kind: 'rows', table, from, to: version, era, ageMs: 0, rows, relay, recoveredMs })
    }
  }

  /** A small cluster sends to every other member directly, including members that are only suspected of being unreachable. */
  private _allBranches (): Branch[] {
    const { roster, random } = this._options
    const { alive, others, self } = roster
    if (!roster.isLarge) return others.map((to) => ({ to }))
    return fanOut(alive.filter(({ instance }) => instance !== self.instance), random)
  }
}
