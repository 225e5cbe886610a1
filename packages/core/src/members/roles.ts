/** Who does what for all: the same at every entry that knows the same members. */
import { ranked } from '../hash.js'
import type { Member } from './member.js'
import type { Roster } from './roster.js'

/** Orders of members by role, worked out once for each change of the roster. */
export class Roles {
  private readonly _roster: Roster
  private readonly _schedulers = new Map<string, Member[]>()
  private _watchers: Member[] | undefined

  constructor (roster: Roster) {
    this._roster = roster
  }

  /** The roster changed. */
  refresh (): void {
    this._schedulers.clear()
    this._watchers = undefined
  }

  /** Who schedules a service, the first choice first. */
  schedulersOf (service: string): Member[] {
    let order = this._schedulers.get(service)
    if (!order) {
      order = ranked(`scheduler ${service}`, this._ready(), (member) => member.instance, (member) => member.cores)
      this._schedulers.set(service, order)
    }
    return order
  }

  /** Who watches the store for all, the first choice first. Those that cannot reach it come last. */
  get watchers (): Member[] {
    if (!this._watchers) {
      const order = ranked('watcher', this._present(), (member) => member.instance, (member) => member.cores)
      this._watchers = [...order.filter((member) => member.reachesStore), ...order.filter((member) => !member.reachesStore)]
    }
    return this._watchers
  }

  /** This entry's place among the watchers, 0 for the one that watches. */
  get watcherRank (): number {
    return this.watchers.findIndex((member) => member.instance === this._roster.self.instance)
  }

  private _present (): Member[] {
    return this._roster.alive.filter((member) => member.phase !== 'leaving')
  }

  /** Entries that are not ready yet schedule only where there is none that is. */
  private _ready (): Member[] {
    const ready = this._roster.alive.filter((member) => member.phase === 'ready')
    return ready.length > 0 ? ready : this._present()
  }
}
