/** Prometheus metrics of an entry: decision counts, request durations and gauges. */
import type { DecisionLine, RolloutProgress } from '@gooseberryspan/core'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { countDescriptors } from './processState.js'
import type { DecisionObserver } from '../runtime/entryNode.js'
import type { PortState } from '../runtime/ports.js'

/** Functions that return the current gauge values; called when metrics are collected. */
export interface GaugeSource {
  openRequests: () => number
  copyAgeMs: () => number
  members: () => number
  listedServers: () => number
  revision: () => number
  droppedLogLines: () => number
  storeRequests: () => number
  peerMessages: () => number
  callerConnections: () => number
  connectionsClosed: () => number
  portStates: () => PortState[]
  rollouts: () => RolloutProgress[]
  zoneBytes: () => Iterable<[string, number]>
  heldBytes: () => number
  notHeld: () => number
}

const REQUEST_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8]
const PLACEMENT_BUCKETS_SECONDS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1]
const BYTES_PER_KILOBYTE = 1024

/** The metrics of one process. */
export class PrometheusMetrics implements DecisionObserver {
  readonly registry = new Registry()
  private readonly _decisions: Counter
  private readonly _requests: Histogram
  private readonly _placements: Histogram

  constructor (source: GaugeSource) {
    const registers = [this.registry]
    this._decisions = new Counter({
      name: 'gooseberryspan_decisions_total', help: 'Decisions by name and reason.', labelNames: ['decision', 'reason'], registers
    })
    this._requests = new Histogram({
      name: 'gooseberryspan_request_seconds',
      help: 'Time from a request\'s arrival to its answer or refusal.',
      labelNames: ['service', 'outcome'],
      buckets: REQUEST_BUCKETS_SECONDS,
      registers
    })
    this._placements = new Histogram({
      name: 'gooseberryspan_placement_seconds',
      help: 'Time that a scheduler here took to grant a server.',
      labelNames: ['service'],
      buckets: PLACEMENT_BUCKETS_SECONDS,
      registers
    })
    this._addGauge('open_requests', 'Requests without an answer.', source.openRequests)
    this._addGauge('copy_age_seconds', 'Age of the oldest copy of the store\'s tables.', () => source.copyAgeMs() / 1000)
    this._addGauge('members', 'Entries thought to be alive.', source.members)
    this._addGauge('listed_servers', 'Registered backend servers.', source.listedServers)
    this._addGauge('configuration_revision', 'Revision in force.', source.revision)
    this._addGauge('log_lines_dropped', 'Log lines dropped since start, for want of a reader.', source.droppedLogLines)
    this._addGauge('store_requests', 'Requests to the store since start.', source.storeRequests)
    this._addGauge('peer_messages', 'Messages to other entries since start.', source.peerMessages)
    this._addGauge('caller_connections', 'Open connections of callers.', source.callerConnections)
    this._addGauge('connections_closed', 'Connections closed or refused since start to save descriptors.', source.connectionsClosed)
    this._addPorts(source.portStates)
    this._addRollouts(source.rollouts)
    this._addZoneTraffic(source.zoneBytes)
    this._addGauge('held_bytes', 'Bytes of bodies and answers held for callers.', source.heldBytes)
    this._addGauge('not_held', 'Requests and answers not held since start, for want of memory or since too many are open.', source.notHeld)
    this._addGauge('resident_bytes', 'Resident memory of the process.', () => process.memoryUsage.rss())
    this._addGauge('peak_resident_bytes', 'Highest resident memory since start.', () => process.resourceUsage().maxRSS * BYTES_PER_KILOBYTE)
    this._addGauge('heap_bytes', 'Heap in use.', () => process.memoryUsage().heapUsed)
    this._addGauge('open_descriptors', 'Open descriptors.', () => countDescriptors() ?? NaN)
    this._addGauge('uptime_seconds', 'Time since the process started.', () => process.uptime())
  }

  onDecision (line: DecisionLine): void {
    this._decisions.inc({ decision: line.decision, reason: line.reason ?? '' })
    const { service, tookMs } = line
    if (service === undefined || tookMs === undefined) return
    if (line.decision === 'answered') this._requests.observe({ service, outcome: 'answered' }, tookMs / 1000)
    else if (line.decision === 'refused') this._requests.observe({ service, outcome: line.reason ?? 'refused' }, tookMs / 1000)
    else if (line.decision === 'granted') this._placements.observe({ service }, tookMs / 1000)
  }

  private _addPorts (read: () => PortState[]): void {
    const gauge: Gauge = new Gauge({
      name: 'gooseberryspan_port_closed_seconds',
      help: 'Time for which a port has not listened; 0 while it does.',
      labelNames: ['port'],
      registers: [this.registry],
      collect: () => {
        for (const { name, closedMs } of read()) gauge.set({ port: name }, closedMs / 1000)
      }
    })
  }

  private _addZoneTraffic (read: () => Iterable<[string, number]>): void {
    const gauge: Gauge = new Gauge({
      name: 'gooseberryspan_zone_bytes',
      help: 'Bytes exchanged with other availability zones since start.',
      labelNames: ['purpose'],
      registers: [this.registry],
      collect: () => {
        for (const [purpose, bytes] of read()) gauge.set({ purpose }, bytes)
      }
    })
  }

  private _addRollouts (read: () => RolloutProgress[]): void {
    const gauge: Gauge = new Gauge({
      name: 'gooseberryspan_rollout_requests',
      help: 'Requests that schedulers of this entry gave to servers of either version during a roll-out.',
      labelNames: ['service', 'side'],
      registers: [this.registry],
      collect: () => {
        gauge.reset()
        for (const { service, requests, targetRequests } of read()) {
          gauge.set({ service, side: 'target' }, targetRequests)
          gauge.set({ service, side: 'former' }, Math.max(0, requests - targetRequests))
        }
      }
    })
  }

  private _addGauge (name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({ name: `gooseberryspan_${name}`, help, registers: [this.registry], collect: () => gauge.set(read()) })
  }
}
