/** The operator's configuration and other rows of the store, and changes of them. */
import { setTimeout as pause } from 'node:timers/promises'
import type { Change } from './plan.js'
import type { PlatformStore } from './platformStore.js'

/** Services of the run; each has a route of its own kind. */
export const SERVICES = ['checks', 'orders', 'sheets'] as const
export const ZONES = ['a', 'b', 'c'] as const

const MANY_ROUTES = 400
const SERIES = 12
const SERIES_GAP_MS = 60
const EVACUATION_MS = 3000
const LIMITS = { max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
const ODD_ROWS = [
  '', 'no JSON', '[]', '['.repeat(20_000), '{"service":7,"address":null,"state":{},"born":"now"}', '\u0000\uffff',
  '{"service":"checks","address":"127.0.0.1:99999","slots":2,"state":"ready","zone":"a","born":1}',
  '{"service":"checks","address":"127.0.0.1:9","slots":1e400,"state":"ready","zone":"a","born":1}',
  '{"service":"__proto__","address":"1.2.3.4:80","zone":"constructor"}'
]

/** Writes configurations to the store. */
export class Gateway {
  private readonly _store: PlatformStore
  private _version = 0
  private _extraRoutes = 0
  private _timeoutMs = 1200
  private _isSplit = false

  constructor (store: PlatformStore) {
    this._store = store
  }

  /** Writes the configuration with a new version. */
  write (): void {
    this._version += 3
    const common = { host: 'a.example', timeout_ms: this._timeoutMs, target_latency_ms: 300, priority: 1, max_attempts: 2 }
    const route = (name: string, prefix: string, type: string, target: object): object => ({
      name, prefix, route_type: type, ...common, ...target
    })
    const split = { weighted_split: [{ service: 'checks', weight: 70 }, { service: 'orders', weight: 30 }] }
    const extra = Array.from({ length: this._extraRoutes }, (_, index) => route(`x${index}`, `/x${index}/`, 'safe', { service: 'checks' }))
    this._store.rows.put('op', 'config', JSON.stringify({
      config_version: this._version.toString(16).padStart(8, '0'),
      routes: [
        route('check', '/check/', 'safe', this._isSplit ? split : { service: 'checks' }),
        route('order', '/order/', 'unsafe', { service: 'orders' }),
        route('sheet', '/sheet/', 'upload', { service: 'sheets' }),
        ...extra
      ],
      services: SERVICES.map((name) => ({
        name, health_path: '/health', max_connections: 220, protocol: 'h1', tls: false, warmup_s: 3, warmup_per_s: 6.7
      })),
      limits: LIMITS
    }))
  }

  /** Makes one change, or a series of them. */
  async change (how: Change): Promise<void> {
    switch (how) {
      case 'many-routes': this._extraRoutes = MANY_ROUTES; break
      case 'few-routes': this._extraRoutes = 0; break
      case 'timeouts': this._timeoutMs = this._timeoutMs === 1200 ? 800 : 1200; break
      case 'split': this._isSplit = !this._isSplit; break
      case 'zone-out': return await this._evacuate()
      case 'odd-rows': return ODD_ROWS.forEach((value, index) => this._store.rows.put('servers', `odd-${index}`, value))
      case 'series':
        for (let index = 0; index < SERIES; index++) {
          this._extraRoutes = index % 2 === 0 ? MANY_ROUTES : 0
          this.write()
          await pause(SERIES_GAP_MS)
        }
    }
    this.write()
  }

  private async _evacuate (): Promise<void> {
    this._store.rows.put('op', `evacuate/${ZONES[0]}`, '{}')
    await pause(EVACUATION_MS)
    this._store.rows.remove('op', `evacuate/${ZONES[0]}`)
  }
}
