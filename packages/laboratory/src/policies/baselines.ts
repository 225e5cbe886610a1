/** Policies in which every entry decides alone. */
import type { ModelServer } from '../model/modelServer.js'
import type { ModelCall } from '../model/scenario.js'
import { CALLER_HOP_MS, hopMs, type Policy, type World } from './policy.js'

/** How an entry chooses among a service's servers. */
export interface Choice {
  /** Chooses for one entry. */
  choose (entry: number, servers: ModelServer[]): ModelServer
  /** Told of each dispatch and its end at one entry. */
  began (entry: number, server: ModelServer): void
  ended (entry: number, server: ModelServer): void
  /** Messages sent to learn of loads. */
  readonly messages: number
}

/** Any server, evenly. */
export class RandomChoice implements Choice {
  readonly messages = 0
  protected readonly _world: World

  constructor (world: World) {
    this._world = world
  }

  choose (_entry: number, servers: ModelServer[]): ModelServer {
    return servers[Math.floor(this._world.random.next() * servers.length)]!
  }

  began (): void {}

  ended (): void {}
}

/** Each server in turn, at each entry. */
export class RoundRobinChoice implements Choice {
  readonly messages = 0
  private readonly _next = new Map<string, number>()
  private readonly _world: World

  constructor (world: World) {
    this._world = world
  }

  choose (entry: number, servers: ModelServer[]): ModelServer {
    const key = `${entry}/${servers[0]!.service}`
    const next = this._next.get(key) ?? Math.floor(this._world.random.next() * servers.length)
    this._next.set(key, next + 1)
    return servers[next % servers.length]!
  }

  began (): void {}

  ended (): void {}
}

/** The server with the fewest requests of the entry's own. */
export class LeastInFlightChoice implements Choice {
  readonly messages = 0
  private readonly _own = new Map<string, number>()
  private readonly _world: World

  constructor (world: World) {
    this._world = world
  }

  choose (entry: number, servers: ModelServer[]): ModelServer {
    let best = servers[0]!
    let bestLoad = Infinity
    for (const server of servers) {
      const load = (this._own.get(`${entry}/${server.id}`) ?? 0) + this._world.random.next()
      if (load >= bestLoad) continue
      best = server
      bestLoad = load
    }
    return best
  }

  began (entry: number, server: ModelServer): void {
    this._add(entry, server, 1)
  }

  ended (entry: number, server: ModelServer): void {
    this._add(entry, server, -1)
  }

  private _add (entry: number, server: ModelServer, by: number): void {
    const key = `${entry}/${server.id}`
    this._own.set(key, (this._own.get(key) ?? 0) + by)
  }
}

/** The better of two by load reports that are some time old. */
export class TwoChoices implements Choice {
  messages = 0
  private readonly _reported = new Map<string, number>()
  private readonly _world: World

  constructor (world: World, ageMs: number, entries: number) {
    this._world = world
    const report = (): void => {
      for (const server of world.servers) this._reported.set(server.id, server.load)
      this.messages += world.servers.length * entries
      if (world.time.now < world.scenario.warmUpMs + world.scenario.runMs) world.time.after(ageMs, report)
    }
    report()
  }

  choose (_entry: number, servers: ModelServer[]): ModelServer {
    const draw = (): ModelServer => servers[Math.floor(this._world.random.next() * servers.length)]!
    const first = draw()
    const second = draw()
    return (this._reported.get(second.id) ?? 0) < (this._reported.get(first.id) ?? 0) ? second : first
  }

  began (): void {}

  ended (): void {}
}

/** Entries that all send to all servers, with no queue of their own. */
export class BaselinePolicy implements Policy {
  private readonly _world: World
  private readonly _choice: Choice
  private readonly _zonesOut = new Set<string>()
  private readonly _byService = new Map<string, ModelServer[]>()

  constructor (world: World, choice: Choice) {
    this._world = world
    this._choice = choice
  }

  prepare (): void {
    this._index()
  }

  zone (name: string, state: 'in' | 'out'): void {
    if (state === 'out') this._zonesOut.add(name)
    else this._zonesOut.delete(name)
    this._index()
  }

  call (call: ModelCall): void {
    const { time, random, recorder, scenario } = this._world
    const zones = scenario.document.zones
    const entry = Math.floor(random.next() * zones.length * scenario.entriesPerZone)
    const zone = zones[entry % zones.length]!.name
    time.after(CALLER_HOP_MS, () => {
      const server = this._choice.choose(entry, this._byService.get(call.service.name)!)
      this._choice.began(entry, server)
      const wayMs = hopMs(zone, server.zone)
      time.after(wayMs, () => server.take({
        workMs: call.workMs,
        done: () => time.after(wayMs, () => {
          this._choice.ended(entry, server)
          time.after(CALLER_HOP_MS, () => {
            recorder.measuringMessages = this._choice.messages
            recorder.answered(call, time.now)
          })
        })
      }))
    })
  }

  private _index (): void {
    for (const service of this._world.scenario.document.services) {
      this._byService.set(service.name, this._world.servers.filter((server) => {
        return server.service === service.name && !this._zonesOut.has(server.zone)
      }))
    }
  }
}
