/** The backend servers this entry holds, kept in step with the shards, the instance list and the document. */
import type { Service } from './configuration/document.js'
import type { Revisions } from './configuration/revisions.js'
import type { Outbox } from './effects.js'
import type { ProbedEvent } from './events.js'
import type { Invariants } from './invariants.js'
import { BackendServer, type ServerHandover, type ServerPlace } from './limits/backendServer.js'
import { Prober } from './measuring/prober.js'
import type { LeaseTimes } from './membership/lease.js'
import type { Origin, Ownership, OwnershipListener } from './membership/ownership.js'
import type { Member } from './membership/tables.js'
import { shardKey, type Shard } from './membership/placement.js'
import type { Random } from './random.js'
import type { Directory, ListChange, ListedServer } from './routing/directory.js'
import type { Holdings as RouterHoldings, Router } from './routing/router.js'
import { ServiceHolder } from './routing/serviceHolder.js'

/** What the holdings are built from. */
export interface HoldingsOptions {
  directory: Directory
  revisions: Revisions
  invariants: Invariants
  outbox: Outbox
  random: Random
  times: LeaseTimes
  mayDispatch: (now: number) => boolean
}

/** What is known of a server before its first dispatch here. */
interface Inheritance {
  handover?: ServerHandover
  /** Until when a crashed holder's requests may still run, on this entry's clock. */
  crashedUntil?: number
}

/** Adds, removes and replaces backend servers, each under exactly one shard of this entry. */
export class Holdings implements OwnershipListener, RouterHoldings {
  private readonly _holders = new Map<string, ServiceHolder>()
  private readonly _servers = new Map<string, BackendServer>()
  private readonly _retired = new Map<string, BackendServer>()
  private readonly _inherited = new Map<string, Inheritance>()
  private readonly _nextHolders = new Map<string, Member>()
  private readonly _crashedShards = new Map<string, number>()
  private readonly _prober: Prober
  private readonly _options: HoldingsOptions
  private _ownership!: Ownership
  private _router!: Router

  constructor (options: HoldingsOptions) {
    this._options = options
    this._prober = new Prober(options.outbox, options.invariants)
  }

  /** Joined after construction, since each knows the other. */
  connect (ownership: Ownership, router: Router): void {
    this._ownership = ownership
    this._router = router
  }

  get holders (): ReadonlyMap<string, ServiceHolder> {
    return this._holders
  }

  /** A server held now, or one still ending its requests. */
  server (id: string): BackendServer | undefined {
    return this._servers.get(id) ?? this._retired.get(id)
  }

  get servers (): ReadonlyMap<string, BackendServer> {
    return this._servers
  }

  holderOf (service: string): ServiceHolder | undefined {
    return this._holders.get(service)
  }

  isComing (service: string): boolean {
    for (const server of this._options.directory.serversOf(service)) {
      if (this._ownership.isComing(shardKey(this._options.directory.shardOf(server)))) return true
    }
    return false
  }

  mayDispatch (now: number): boolean {
    return this._options.mayDispatch(now)
  }

  shardGained (shard: Shard, origin: Origin, servers: ServerHandover[], now: number): void {
    for (const handover of servers) this._inherited.set(handover.id, { handover })
    const service = this._options.revisions.service(shard.service)
    if (origin === 'crash' && service) this._crashedShards.set(shardKey(shard), this._crashEnds(service, now))
    this._match(shard.service, now)
  }

  shardLost (shard: Shard, to: Member | undefined, now: number): ServerHandover[] {
    const handovers: ServerHandover[] = []
    for (const server of [...this._servers.values()]) {
      if (shardKey(this._options.directory.shardOf(server.place)) !== shardKey(shard)) continue
      if (server.place.service !== shard.service) continue
      handovers.push(server.handOver((attempt) => this._router.deadlineOf(attempt), now))
      this._drop(server)
      if (to && server.inFlight > 0) this._nextHolders.set(server.place.id, to)
    }
    this._replaceQueue(shard.service, now)
    return handovers
  }

  /** An attempt at a server ended: its next holder may use the slot. */
  attemptEnded (server: BackendServer): void {
    const to = this._nextHolders.get(server.place.id)
    if (!to) return
    if (server.inFlight === 0) this._nextHolders.delete(server.place.id)
    this._options.outbox.put({ kind: 'send', to, message: { kind: 'ended', server: server.place.id, left: server.inFlight } })
  }

  /** The former holder's requests at a server have ended, but for some. */
  formerEnded (id: string, left: number, now: number): void {
    const server = this._servers.get(id)
    if (!server) return
    server.formerEnded(left, now)
    this._router.drain(server.place.service, now)
  }

  /** The instance list changed. */
  listed (change: ListChange, now: number): void {
    for (const service of this._options.directory.update(change)) this._match(service, now)
  }

  /** The document changed: limits, services and zones. */
  reconfigure (now: number): void {
    for (const [name, holder] of this._holders) {
      const service = this._options.revisions.service(name)
      if (service && service !== holder.service) holder.reconfigure(service)
    }
    const names = new Set([...this._holders.keys(), ...[...this._options.revisions.services].map((service) => service.name)])
    for (const name of names) this._match(name, now)
  }

  probed (event: ProbedEvent, now: number): void {
    const server = this._servers.get(event.server)
    if (!server) return
    server.probed(event.healthy, event.report, now)
    this._router.drain(server.place.service, now)
  }

  /** Ends what is overdue and gives out what has become free. */
  tick (now: number): void {
    for (const [name, holder] of this._holders) {
      if (holder.queue.length === 0) continue
      this._router.expireQueued(holder, now)
      if (!this.mayDispatch(now)) this._router.replace(holder, now)
      else this._router.drain(name, now)
    }
    for (const [id, server] of this._retired) {
      if (server.occupied(now) === 0) this._retired.delete(id)
    }
  }

  /** Lets the prober look at each server. */
  probe (now: number): void {
    if (!this.mayDispatch(now)) return
    for (const server of this._servers.values()) {
      const service = this._options.revisions.service(server.place.service)
      if (service) this._prober.consider(server, service, now)
    }
  }

  /** Brings the servers of one service in line with what may be dispatched to. */
  private _match (name: string, now: number): void {
    const service = this._options.revisions.service(name)
    const wanted = new Map<string, ListedServer>()
    if (service) {
      for (const server of this._options.directory.serversOf(name)) {
        if (this._isUsable(server)) wanted.set(server.id, server)
      }
    }
    for (const server of [...this._servers.values()]) {
      if (server.place.service === name && !wanted.has(server.place.id)) this._drop(server)
    }
    if (service) {
      for (const server of wanted.values()) this._add(server, service, now)
      this._router.drain(name, now)
    }
    this._replaceQueue(name, now)
  }

  private _isUsable (server: ListedServer): boolean {
    if (server.state !== 'live' || !this._options.revisions.zoneIsIn(server.zone)) return false
    return this._ownership.isActive(shardKey(this._options.directory.shardOf(server)))
  }

  private _add (listed: ListedServer, service: Service, now: number): void {
    const known = this._servers.get(listed.id)
    if (known && isSamePlace(known.place, listed)) return
    if (known) this._drop(known)
    const retired = known ? undefined : this._retired.get(listed.id)
    const server = retired ?? new BackendServer(listed, service, now, this._options.invariants)
    this._retired.delete(listed.id)
    if (retired) retired.restore(now)
    else this._inherit(server, service, now)
    this._servers.set(listed.id, server)
    this._holder(service).servers.set(listed.id, server)
    this._options.outbox.log({ decision: 'server-added', server: listed.id, service: service.name, figure: server.limit })
  }

  private _inherit (server: BackendServer, service: Service, now: number): void {
    const inherited = this._inherited.get(server.place.id)
    this._inherited.delete(server.place.id)
    if (inherited?.handover) return server.takeOver(inherited.handover, now)
    const until = this._crashedShards.get(shardKey(this._options.directory.shardOf(server.place)))
    if (until !== undefined && now < until) server.assume(service.slots, until)
  }

  private _drop (server: BackendServer): void {
    const { id, service } = server.place
    server.drain()
    this._servers.delete(id)
    this._holders.get(service)?.servers.delete(id)
    this._prober.forget(id)
    if (server.inFlight > 0) this._retired.set(id, server)
    this._options.outbox.log({ decision: 'server-removed', server: id, service, figure: server.inFlight })
    this._options.outbox.put({ kind: 'disconnect', server: server.place })
  }

  private _replaceQueue (name: string, now: number): void {
    const holder = this._holders.get(name)
    if (holder && holder.servers.size === 0 && holder.queue.length > 0) this._router.replace(holder, now)
  }

  private _holder (service: Service): ServiceHolder {
    let holder = this._holders.get(service.name)
    if (!holder) {
      holder = new ServiceHolder(service, this._options.random)
      this._holders.set(service.name, holder)
    }
    return holder
  }

  /** A crashed holder's last dispatch was before its lease ended, which was a margin ago at least. */
  private _crashEnds (service: Service, now: number): number {
    const longestMs = Math.max(...service.kinds.map((kind) => kind.deadlineMs))
    return now + longestMs - this._options.times.marginMs
  }
}

function isSamePlace (a: ServerPlace, b: ServerPlace): boolean {
  return a.host === b.host && a.port === b.port && a.zone === b.zone && a.service === b.service
}
