/** Simulates hundreds of member lists in virtual time. They exchange messages over a simulated network with the real codec. */
import {
  Joining, Outbox, Roster, SeededRandom, type Member, type MemberUpdate, type PeerMessage
} from '@gooseberryspan/core'
import { decodeDatagram, encodeDatagrams } from '@gooseberryspan/entry'
import type { VirtualTime } from '../model/virtualTime.js'

/** Options of a model. */
export interface MemberModelOptions {
  members: number
  zones: number
  seed: number
  /** Number of seed members that are not running at the start. */
  stoppedSeeds?: number
  /** All members start within this time, in milliseconds. */
  startWithinMs?: number
}

/** How far the member lists of the running members differ from the facts. */
export interface Agreement {
  /** Fraction of the pairs of running members in which the first does not list the second with its current incarnation. */
  missing: number
  /** Fraction of the pairs of a running and an ended member in which the first still lists the second as alive. */
  ghosts: number
}

interface MemberProcess {
  index: number
  zone: string
  incarnation: number
  alive: boolean
  roster: Roster
  joining: Joining
  outbox: Outbox
  bytes: number
}

const SEED_COUNT = 3
const IN_ZONE_DELAY_MS = 0.2
const CROSS_ZONE_DELAY_MS = 0.9
const START_UP_MS = 800
/** The IP and UDP headers of a datagram. */
const DATAGRAM_HEADER_BYTES = 28
const PEER_PORT = 8649
const MAX_TICK_INTERVAL_MS = 100

/** A set of simulated processes that exchange only datagrams. */
export class MemberModel {
  readonly processes: MemberProcess[] = []
  readonly time: VirtualTime
  /** Number of datagrams sent so far. */
  datagrams = 0
  private readonly _random: SeededRandom
  private readonly _isolatedZones = new Set<string>()

  constructor (options: MemberModelOptions, time: VirtualTime) {
    this.time = time
    this._random = new SeededRandom(options.seed)
    const { members, zones, startWithinMs = 300, stoppedSeeds = 0 } = options
    for (let index = 0; index < members; index++) {
      const process = this._createProcess(index, `zone-${index % zones}`, 1)
      this.processes.push(process)
      if (index < stoppedSeeds) process.alive = false
      else this.time.after(this._random.next() * startWithinMs, () => this._startProcess(process))
    }
  }

  /** Ends a random fraction of all processes at once. */
  killFraction (fraction: number): void {
    for (const process of this.processes) if (this._random.next() < fraction) process.alive = false
  }

  /** Starts all processes that are not running again, each with a new incarnation. */
  restartKilled (startWithinMs = 300): void {
    for (const { index, zone, incarnation, alive } of [...this.processes]) {
      if (alive) continue
      const process = this._createProcess(index, zone, incarnation + 1)
      this.processes[index] = process
      this.time.after(this._random.next() * startWithinMs, () => this._startProcess(process))
    }
  }

  /** Cuts the network between a zone and all others, or restores it. */
  setZoneIsolated (zone: string, cut: boolean): void {
    if (cut) this._isolatedZones.add(zone)
    else this._isolatedZones.delete(zone)
  }

  /** Makes a fraction of the running members lose or regain access to the store. */
  setStoreLost (fraction: number, lost: boolean): void {
    for (const process of this.living()) {
      if (process.index % Math.round(1 / fraction) !== 0) continue
      process.roster.announce({ reachesStore: !lost }, this.time.now)
      this._flush(process)
    }
  }

  living (): MemberProcess[] {
    return this.processes.filter(({ alive }) => alive)
  }

  /** Compares the member lists of the running members with the actual state of all members. */
  agreement (): Agreement {
    const living = this.living()
    const present = new Map(this.processes.map(({ alive, incarnation, index }) => [instanceName(index), alive ? incarnation : -1]))
    let missing = 0
    let ghosts = 0
    for (const { roster, index } of living) {
      const known = new Map(roster.alive.map((member) => [member.instance, member.incarnation]))
      for (const [name, incarnation] of present) {
        if (name === instanceName(index)) continue
        if (incarnation >= 0 && known.get(name) !== incarnation) missing += 1
        if (incarnation < 0 && known.has(name)) ghosts += 1
      }
    }
    const dead = this.processes.length - living.length
    return {
      missing: missing / Math.max(1, living.length * (living.length - 1)),
      ghosts: ghosts / Math.max(1, living.length * dead)
    }
  }

  /** Returns the number of bytes that each member sent since the last call. */
  takeSentBytes (): number[] {
    return this.processes.map((process) => {
      const { bytes } = process
      process.bytes = 0
      return bytes
    })
  }

  private _createProcess (index: number, zone: string, incarnation: number): MemberProcess {
    const outbox = new Outbox()
    const self: Member = {
      instance: instanceName(index),
      incarnation,
      zone,
      host: hostOf(index),
      port: PEER_PORT - 1,
      peerPort: PEER_PORT,
      cores: 1,
      phase: 'starting',
      reachesStore: true,
      isWarm: false,
      sequence: 1
    }
    const random = new SeededRandom(Math.floor(this._random.next() * 2 ** 31))
    const roster = new Roster({
      self,
      random,
      send: (to, message) => outbox.send(to, message),
      changed: () => {},
      standingChanged: (_news: MemberUpdate) => {},
      entriesExpected: () => {}
    })
    const seeds = Array.from({ length: SEED_COUNT }, (_, seed) => ({ host: hostOf(seed), port: PEER_PORT }))
    const joining = new Joining({ roster, seeds, outbox, random })
    return { index, zone, incarnation, alive: true, roster, joining, outbox, bytes: 0 }
  }

  private _startProcess (process: MemberProcess): void {
    this.time.after(START_UP_MS, () => {
      process.roster.announce({ phase: 'ready' }, this.time.now)
      this._flush(process)
    })
    this._tick(process)
  }

  private _tick (process: MemberProcess): void {
    if (!process.alive || this.processes[process.index] !== process) return
    const { now } = this.time
    process.roster.tick(now)
    process.joining.tick(now)
    this._flush(process)
    this.time.after(Math.max(2, Math.min(MAX_TICK_INTERVAL_MS, process.roster.dueAt - now)), () => this._tick(process))
  }

  /** Sends the messages in the outbox, batched by receiver as the datagram port does. */
  private _flush (process: MemberProcess): void {
    const batches = new Map<string, PeerMessage[]>()
    for (const effect of process.outbox.take()) {
      if (effect.kind === 'greet') this._sendDatagrams(process, effect.host, [effect.message])
      if (effect.kind !== 'send') continue
      const batch = batches.get(effect.to.host)
      if (batch) batch.push(effect.message)
      else batches.set(effect.to.host, [effect.message])
    }
    for (const [host, messages] of batches) this._sendDatagrams(process, host, messages)
  }

  private _sendDatagrams (from: MemberProcess, host: string, messages: PeerMessage[]): void {
    for (const data of encodeDatagrams(from.roster.self, messages, undefined)) this._deliver(from, host, data)
  }

  private _deliver (from: MemberProcess, host: string, data: Buffer): void {
    this.datagrams += 1
    from.bytes += data.length + DATAGRAM_HEADER_BYTES
    const to = this.processes[indexOfHost(host)]!
    if (to.zone !== from.zone && (this._isolatedZones.has(to.zone) || this._isolatedZones.has(from.zone))) return
    const networkDelayMs = (to.zone === from.zone ? IN_ZONE_DELAY_MS : CROSS_ZONE_DELAY_MS) * (1 + 0.2 * this._random.next())
    this.time.after(networkDelayMs, () => this._receive(this.processes[to.index]!, data))
  }

  private _receive (process: MemberProcess, data: Buffer): void {
    if (!process.alive) return
    const envelope = decodeDatagram(data, undefined)!
    for (const message of envelope.messages) process.roster.received(envelope.from, envelope.incarnation, message, this.time.now)
    this._flush(process)
  }
}

function instanceName (index: number): string {
  return `front-zone-${index}`
}

function hostOf (index: number): string {
  return `10.1.${index >> 8}.${index & 255}`
}

function indexOfHost (host: string): number {
  const [, , high, low] = host.split('.')
  return Number(high) * 256 + Number(low)
}
