/** Where the servers and holders of each service are, for forwarding and for address answers. */
import type { Revisions } from '../configuration/revisions.js'
import type { ServerPlace } from '../limits/backendServer.js'
import { shardKey, shardOfServer, type Placement, type Shard } from '../membership/placement.js'
import type { Member } from '../membership/tables.js'
import type { Random } from '../random.js'

/** A backend server in the platform's instance list. */
export interface ListedServer extends ServerPlace {
  state: 'live' | 'leaving'
}

/** What changed in the instance list since it was last read. */
export interface ListChange {
  /** Whether this is the whole list. */
  whole: boolean
  servers: ListedServer[]
  removed: string[]
}

/** A holder of some of a service's servers. */
export interface Target {
  member: Member
  /** Live servers it holds for the service, in zones that may receive work. */
  servers: number
}

/** One address that a caller may use. */
export interface Address {
  instance: string
  host: string
  port: number
  zone: string
}

/** Joins the instance list, the placement and the declared zones. */
export class Directory {
  private readonly _servers = new Map<string, ListedServer>()
  private readonly _byService = new Map<string, ListedServer[]>()
  private readonly _targets = new Map<string, Target[]>()
  private readonly _revisions: Revisions
  private _placement: Placement

  constructor (revisions: Revisions, placement: Placement) {
    this._revisions = revisions
    this._placement = placement
  }

  get placement (): Placement {
    return this._placement
  }

  /** The view changed: holders may have moved. */
  replace (placement: Placement): void {
    this._placement = placement
    this._targets.clear()
  }

  /** Declared zones or services changed. */
  refresh (): void {
    this._targets.clear()
  }

  /** Takes a change of the instance list; returns the services it touches. */
  update (change: ListChange): Set<string> {
    const touched = new Set<string>()
    if (change.whole) {
      const named = new Set(change.servers.map((server) => server.id))
      for (const id of [...this._servers.keys()]) {
        if (!named.has(id)) this._remove(id, touched)
      }
    }
    for (const id of change.removed) this._remove(id, touched)
    for (const server of change.servers) {
      this._remove(server.id, touched)
      this._servers.set(server.id, server)
      this._listOf(server.service).push(server)
      touched.add(server.service)
    }
    for (const service of touched) this._targets.delete(service)
    return touched
  }

  serversOf (service: string): readonly ListedServer[] {
    return this._byService.get(service) ?? []
  }

  shardOf (server: ServerPlace): Shard {
    return shardOfServer(server.service, server.zone, server.id)
  }

  /** Holders of a service's servers in zones that may receive work. */
  targetsOf (service: string): readonly Target[] {
    const known = this._targets.get(service)
    if (known) return known
    const targets = new Map<string, Target>()
    for (const server of this.serversOf(service)) {
      if (server.state !== 'live' || !this._revisions.zoneIsIn(server.zone)) continue
      const member = this._placement.holderOf(this.shardOf(server))
      if (!member) continue
      const target = targets.get(member.instance)
      if (target) target.servers += 1
      else targets.set(member.instance, { member, servers: 1 })
    }
    const list = [...targets.values()]
    this._targets.set(service, list)
    return list
  }

  /** Shards with listed servers of declared services that this instance should hold. */
  shardsOf (instance: string): Shard[] {
    const found = new Map<string, Shard>()
    for (const service of this._revisions.services) {
      for (const server of this.serversOf(service.name)) {
        const shard = this.shardOf(server)
        if (this._placement.holderOf(shard)?.instance === instance) found.set(shardKey(shard), shard)
      }
    }
    return [...found.values()]
  }

  /**
   * Addresses for a service, drawn by the number of servers behind each, so that callers who
   * keep an answer spread as the capacity does. Entries in a zone that is out are not named.
   */
  addressesOf (service: string, random: Random): Address[] {
    const named = this.targetsOf(service).filter((target) => this._revisions.zoneIsIn(target.member.zone))
    return shuffled(named.length > 0 ? named : this._anyTargets(), random).map((target) => addressOf(target.member))
  }

  private _anyTargets (): Target[] {
    const confirmed = this._placement.view.members.filter((member) => member.state === 'confirmed')
    const usable = confirmed.filter((member) => this._revisions.zoneIsIn(member.zone))
    return usable.map((member) => ({ member, servers: 1 }))
  }

  private _remove (id: string, touched: Set<string>): void {
    const server = this._servers.get(id)
    if (!server) return
    this._servers.delete(id)
    this._byService.set(server.service, this._listOf(server.service).filter((other) => other.id !== id))
    touched.add(server.service)
  }

  private _listOf (service: string): ListedServer[] {
    let list = this._byService.get(service)
    if (!list) {
      list = []
      this._byService.set(service, list)
    }
    return list
  }
}

function addressOf (member: Member): Address {
  return { instance: member.instance, host: member.host, port: member.port, zone: member.zone }
}

/** A random order in which a target with more servers tends to come sooner. */
function shuffled (targets: readonly Target[], random: Random): Target[] {
  const keyed = targets.map((target) => ({ target, order: -Math.log(1 - random.next()) / target.servers }))
  keyed.sort((a, b) => a.order - b.order)
  return keyed.map(({ target }) => target)
}
