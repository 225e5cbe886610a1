/** The product's own cores on the load model: one holder for each server. */
import {
  changeTransaction, configurationRows, EntryCore, LEASE_TIMES, readConfiguration, SeededRandom, ThrowingWatcher,
  type Effect, type Event, type PeerChoice, type PeerChoiceContext, type RequestSpec
} from '@gooseberryspan/core'
import { TableEngine } from '@gooseberryspan/standins'
import type { ModelServer } from '../model/modelServer.js'
import type { ModelCall } from '../model/scenario.js'
import { NoPeer, ReportedPeer, type RoomReports } from './peerChoices.js'
import { CALLER_HOP_MS, hopMs, type Policy, type World } from './policy.js'

/** What became of a request at one entry. */
type Ended = (outcome: 'answered' | 'not-run' | 'unknown', busy: boolean) => void

const TICK_MS = 10
const TABLE_MS = 1
const SETTLE_MS = 6000
const REPORT_MS = 50

/** The way in use, or another that is weighed against it. */
export type HolderVariant = 'drawn' | 'no-forward' | 'by-report' | 'even-addresses'

/** One entry of the model. */
class ModelEntry {
  readonly ended = new Map<number, { call: ModelCall, end: Ended }>()
  requests = 0

  constructor (readonly core: EntryCore, readonly zone: string) {}
}

/** Runs real cores; nothing fails but what the scenario says. */
export class HolderPolicy implements Policy, RoomReports {
  private readonly _world: World
  private readonly _table = new TableEngine()
  private readonly _entries = new Map<string, ModelEntry>()
  private readonly _servers: Map<string, ModelServer>
  private readonly _kept = new Map<string, { addresses: string[], until: number }>()
  private _changes = 0
  private _over = false

  private readonly _rooms = new Map<string, number>()
  private readonly _variant: HolderVariant

  constructor (world: World, variant: HolderVariant = 'drawn') {
    this._world = world
    this._variant = variant
    this._servers = new Map(world.servers.map((server) => [server.id, server]))
  }

  /** Starts the cores and lets them settle before the first request; virtual time begins after that. */
  prepare (): void {
    const { scenario, random, time } = this._world
    this._change((document) => document)
    for (const zone of scenario.document.zones) {
      for (let index = 0; index < scenario.entriesPerZone; index++) {
        const instance = `${zone.name}-${index}`
        const identity = { instance, zone: zone.name, region: zone.region, host: 'h', port: 1, peerPort: 2 }
        const core = new EntryCore({
          identity,
          times: LEASE_TIMES,
          random: new SeededRandom(Math.floor(random.next() * 2 ** 32)),
          watcher: new ThrowingWatcher(),
          peerChoice: this._peerChoice()
        })
        const entry = new ModelEntry(core, zone.name)
        this._entries.set(instance, entry)
        this._give(entry, { kind: 'listed', change: this._list() })
        this._tick(entry)
      }
    }
    if (this._variant === 'by-report') this._report()
    time.runUntil(time.now + SETTLE_MS)
    this._warmAll()
  }

  zone (name: string, state: 'in' | 'out'): void {
    this._change((document) => ({
      ...document, zones: document.zones.map((zone) => zone.name === name ? { ...zone, state } : zone)
    }))
  }

  call (call: ModelCall): void {
    const { time, recorder } = this._world
    const entry = this._entries.get(this._address(call))!
    time.after(CALLER_HOP_MS, () => this._arrive(entry, call, 0, call.kind.deadlineMs, (outcome) => {
      time.after(CALLER_HOP_MS, () => {
        if (outcome === 'answered') recorder.answered(call, time.now)
        else recorder.refused(call, time.now)
      })
    }))
  }

  /** Ends the ticks, so that the run can end. */
  finish (): void {
    this._over = true
  }

  private _peerChoice (): ((context: PeerChoiceContext) => PeerChoice) | undefined {
    switch (this._variant) {
      case 'no-forward': return () => new NoPeer()
      case 'by-report': return (context) => new ReportedPeer(context, this)
      default: return undefined
    }
  }

  /** Room at a holder when the last reports went out. */
  roomOf (instance: string, service: string): number {
    return this._rooms.get(`${instance}/${service}`) ?? 0
  }

  private _report (): void {
    if (this._over) return
    for (const [instance, entry] of this._entries) {
      for (const [service, holder] of entry.core.holdings.holders) {
        let room = -holder.queue.length
        for (const server of holder.servers.values()) room += server.room(this._now(), holder.meanMs)
        this._rooms.set(`${instance}/${service}`, room)
      }
    }
    this._world.time.after(REPORT_MS, () => this._report())
  }

  /** Measured servers are warm at the start, for every policy; the cores have learned so from earlier answers. */
  private _warmAll (): void {
    for (const entry of this._entries.values()) {
      for (const server of entry.core.holdings.servers.values()) {
        server.takeOver({ id: server.place.id, inFlightMs: [], limit: this._servers.get(server.place.id)!.slots }, this._now())
      }
    }
  }

  private _now (): number {
    return this._world.time.now
  }

  private _list () {
    const servers = this._world.servers.map((server) => ({
      id: server.id, service: server.service, zone: server.zone, host: 'h', port: 1, state: 'live' as const
    }))
    return { whole: true, servers, removed: [] }
  }

  private _change (edit: (document: World['scenario']['document']) => World['scenario']['document']): void {
    const rows = configurationRows(this._table.run(readConfiguration()))
    const accepted = rows.document.value as { document: World['scenario']['document'] } | undefined
    this._changes += 1
    this._table.run(changeTransaction(rows, edit(accepted?.document ?? this._world.scenario.document), `change-${this._changes}`))
  }

  /** Callers keep an address answer for its time, each its own draw. */
  private _address (call: ModelCall): string {
    const key = `${call.caller}/${call.service.name}`
    const kept = this._kept.get(key)
    if (kept && this._now() < kept.until) return kept.addresses[0]!
    const any = [...this._entries.values()][call.caller % this._entries.size]!
    const addresses = (any.core.addressesOf(call.service.name) ?? []).map((address) => address.instance)
    if (this._variant === 'even-addresses') addresses.sort(() => this._world.random.next() - 0.5)
    const keepMs = this._world.scenario.document.policies.addressKeepMs * (0.5 + this._world.random.next())
    this._kept.set(key, { addresses, until: this._now() + keepMs })
    return addresses[0]!
  }

  private _tick (entry: ModelEntry): void {
    if (this._over) return
    this._give(entry, { kind: 'tick' })
    this._world.time.after(TICK_MS, () => this._tick(entry))
  }

  private _give (entry: ModelEntry, event: Event): void {
    for (const effect of entry.core.handle(event, this._now())) this._perform(entry, effect)
  }

  private _arrive (entry: ModelEntry, call: ModelCall, hops: number, leftMs: number, end: Ended): void {
    entry.requests += 1
    entry.ended.set(entry.requests, { call, end })
    const request: RequestSpec = {
      id: entry.requests,
      service: call.service.name,
      kind: call.kind.name,
      idempotent: call.kind.idempotent,
      replayable: true,
      weight: call.kind.weight,
      deadlineAt: this._now() + leftMs,
      depth: 0,
      retrySpent: false,
      caller: String(call.caller),
      hops,
      claims: 'local'
    }
    this._give(entry, { kind: 'request-arrived', request })
  }

  private _perform (entry: ModelEntry, effect: Effect): void {
    const { time } = this._world
    switch (effect.kind) {
      case 'dispatch': return this._dispatch(entry, effect)
      case 'forward': return this._forward(entry, effect)
      case 'answer': return this._end(entry, effect.request, 'answered')
      case 'refuse': return this._end(entry, effect.request, effect.outcome)
      case 'transact':
        return time.after(TABLE_MS, () => {
          const results = effect.transactions.map((transaction) => this._table.run(transaction))
          this._give(entry, { kind: 'transacted', id: effect.id, results })
        })
      case 'send':
        return time.after(hopMs(entry.zone, effect.to.zone), () => {
          const peer = this._entries.get(effect.to.instance)!
          const from = entry.core.membership.identity.instance
          this._give(peer, { kind: 'received', from, incarnation: entry.core.membership.incarnation, message: effect.message })
        })
      case 'probe':
        this._world.recorder.measuringMessages += 1
    }
  }

  private _end (entry: ModelEntry, request: number, outcome: 'answered' | 'not-run' | 'unknown'): void {
    const known = entry.ended.get(request)
    entry.ended.delete(request)
    known?.end(outcome, entry.core.isBusy(known.call.service.name))
  }

  private _dispatch (entry: ModelEntry, effect: Extract<Effect, { kind: 'dispatch' }>): void {
    const { time } = this._world
    const server = this._servers.get(effect.server.id)!
    const { call } = entry.ended.get(effect.request)!
    const sentAt = this._now()
    const wayMs = hopMs(entry.zone, server.zone)
    time.after(wayMs, () => server.take({
      workMs: call.workMs,
      done: (report) => time.after(wayMs, () => {
        const end = { outcome: 'answered' as const, latencyMs: this._now() - sentAt, status: 200, report }
        this._give(entry, { kind: 'attempt-ended', attempt: effect.attempt, end })
      })
    }))
  }

  private _forward (entry: ModelEntry, effect: Extract<Effect, { kind: 'forward' }>): void {
    const { time } = this._world
    const peer = this._entries.get(effect.to.instance)!
    const { call } = entry.ended.get(effect.request)!
    const wayMs = hopMs(entry.zone, peer.zone)
    time.after(wayMs, () => this._arrive(peer, call, 1, effect.leftMs, (outcome, busy) => {
      time.after(wayMs, () => this._give(entry, { kind: 'forward-ended', attempt: effect.attempt, end: { outcome, busy } }))
    }))
  }
}
