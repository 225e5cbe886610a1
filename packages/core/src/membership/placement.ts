/** Which entry should hold which servers, computed alike by every entry from the view alone. */
import { hash, rendezvous } from '../hash.js'
import type { Member } from './tables.js'
import { holdersOf, type View } from './view.js'

/** Parts that the servers of a service in one zone are divided into, however many holders share them. */
export const SHARDS_PER_ZONE = 16

/** A part of a service's servers in one zone; it has one holder. */
export interface Shard {
  service: string
  zone: string
  index: number
}

/** The row key of a shard. */
export function shardKey (shard: Shard): string {
  return `${shard.service}/${shard.zone}/${shard.index}`
}

/** The shard that a row key names. */
export function shardOfKey (key: string): Shard {
  const [service = '', zone = '', index = '0'] = key.split('/')
  return { service, zone, index: Number(index) }
}

/** Places shards on the entries of one view. */
export class Placement {
  readonly view: View
  private readonly _all: Member[]
  private readonly _byZone = new Map<string, Member[]>()
  private readonly _holders = new Map<string, Member | undefined>()

  constructor (view: View) {
    this.view = view
    this._all = view.members.filter((member) => member.state === 'confirmed')
    for (const member of this._all) {
      const list = this._byZone.get(member.zone)
      if (list) list.push(member)
      else this._byZone.set(member.zone, [member])
    }
  }

  /** The entry that should hold a shard: one of its zone, or any when the zone has none. */
  holderOf (shard: Shard): Member | undefined {
    const seat = shard.index % holdersOf(this.view, shard.service)
    const key = `${shard.service}/${shard.zone}/${seat}`
    if (this._holders.has(key)) return this._holders.get(key)
    const candidates = this._byZone.get(shard.zone) ?? this._all
    const holder = rendezvous(key, candidates, (member) => member.instance)
    this._holders.set(key, holder)
    return holder
  }
}

/** The shard a server belongs to; it never changes, whatever the document or the view says. */
export function shardOfServer (service: string, zone: string, server: string): Shard {
  return { service, zone, index: hash(server) % SHARDS_PER_ZONE }
}
