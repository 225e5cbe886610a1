/** Counts the bytes that this entry exchanges with other availability zones, by what they are for. */
import type { PeerMessage } from '@gooseberryspan/core'

/** What bytes between zones are for. */
export type TrafficPurpose = 'requests' | 'placement' | 'membership' | 'tables' | 'quotas' | 'roll-outs'

const PURPOSES: Record<PeerMessage['kind'], TrafficPurpose> = {
  ping: 'membership',
  'ping-answer': 'membership',
  gossip: 'membership',
  compare: 'membership',
  want: 'membership',
  'watch-beat': 'tables',
  rows: 'tables',
  place: 'placement',
  granted: 'placement',
  queued: 'placement',
  refused: 'placement',
  'cell-load': 'placement',
  report: 'placement',
  withdraw: 'placement',
  waiting: 'placement',
  unknown: 'placement',
  'server-leaving': 'placement',
  'quota-ask': 'quotas',
  'quota-answer': 'quotas',
  'quota-refund': 'quotas',
  'quota-collect': 'quotas',
  'quota-lend': 'quotas',
  'quota-return': 'quotas',
  'quota-claim': 'quotas',
  'quota-handover': 'quotas',
  'rollout-report': 'roll-outs',
  'rollout-verdict': 'roll-outs'
}

/** Bytes to and from other zones since the process started. */
export class ZoneTraffic {
  private readonly _zone: string
  private readonly _bytes = new Map<TrafficPurpose, number>()

  /** `zone` is that of this entry. */
  constructor (zone: string) {
    this._zone = zone
  }

  /** The counts by purpose. */
  get bytes (): ReadonlyMap<TrafficPurpose, number> {
    return this._bytes
  }

  /** Counts the messages that were sent to an entry together; each counts for an equal part of the bytes. */
  sent (zone: string, messages: readonly PeerMessage[], bytes: number): void {
    if (zone === this._zone) return
    for (const { kind } of messages) this._add(PURPOSES[kind], bytes / messages.length)
  }

  /** Counts what a request to a backend server has sent and received. */
  exchanged (zone: string, bytes: number): void {
    if (zone !== this._zone) this._add('requests', bytes)
  }

  private _add (purpose: TrafficPurpose, bytes: number): void {
    this._bytes.set(purpose, (this._bytes.get(purpose) ?? 0) + bytes)
  }
}
