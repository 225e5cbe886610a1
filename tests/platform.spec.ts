/** The adapter to the users' platform: what it reads and writes, and that nothing else knows its names. */
import { expect } from 'chai'
import { createHash } from 'node:crypto'
import { readdirSync, readFileSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { parse } from 'yaml'
import { checkSettings } from '@gooseberryspan/entry'
import { PlatformDialect, PlatformProtocol, PlatformRowReader } from '@gooseberryspan/platform'

const ROOT = new URL('../../', import.meta.url).pathname
const base64 = (value: unknown): string => Buffer.from(JSON.stringify(value)).toString('base64')

const CONFIG = {
  config_version: '0000001a',
  routes: [
    {
      name: 'r1',
      host: 'Hulo84.example',
      prefix: '/a/',
      route_type: 'safe',
      timeout_ms: 800,
      target_latency_ms: 200,
      priority: 2,
      weighted_split: [{ service: 's1', weight: 90 }, { service: 's2', weight: 10 }],
      max_attempts: 2
    },
    {
      name: 'r2',
      host: 'h',
      prefix: '/b/',
      route_type: 'upload',
      timeout_ms: 900,
      target_latency_ms: 300,
      priority: 1,
      service: 's2',
      max_attempts: 1
    }
  ],
  services: [{ name: 's1', health_path: '/health', max_connections: 220, protocol: 'h1', tls: false, warmup_s: 3.0, warmup_per_s: 6.7 }],
  limits: { max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
}
const SERVER = {
  service: 's1',
  address: '10.128.0.9:8080',
  zone: 'z',
  config_version: 'v1',
  slots: 2,
  state: 'ready',
  warmup_left_ms: 40,
  sequence: 4,
  born: 1768123340169
}

describe('platform rows', () => {
  const reader = new PlatformRowReader()
  const row = (key: string, value: unknown) => ({ key, version: 7, value: JSON.stringify(value) })

  it('should read a configuration into the product\'s own types', () => {
    const declaration = reader.declaration(row('config', CONFIG))
    if (declaration?.kind !== 'gateway') return expect.fail('no gateway')
    const { gateway } = declaration
    expect(gateway.revision).to.equal(26)
    expect(gateway.routes[0]).to.deep.equal({
      name: 'r1',
      host: 'hulo84.example',
      prefix: '/a/',
      shares: CONFIG.routes[0]!.weighted_split,
      repeatable: true,
      timeoutMs: 800,
      targetMs: 200,
      priority: 2,
      attempts: 2,
      open: false
    })
    expect(gateway.routes[1]).to.deep.include({ repeatable: false, shares: [{ service: 's2', weight: 1 }], attempts: 1 })
    expect(gateway.services[0]).to.deep.include({ probePath: '/health', coldMs: 3000, coldPerSecond: 6.7 })
    expect(gateway.limits).to.include({ headerBytes: 16384, bodyBytes: 67108864, headerMs: 3000, idleMs: 15000 })
  })

  it('should read zones taken out, and pass over rows about something else', () => {
    expect(reader.declaration(row('evacuate/colombo', {}))).to.deep.equal({ kind: 'zone-out', zone: 'colombo' })
    expect(reader.declaration(row('note', {}))).to.deep.equal({ kind: 'other' })
    expect(reader.declaration(row('config', { ...CONFIG, routes: [{}] }))).to.equal(undefined)
  })

  it('should read an order of a roll-out, and name its status in the users\' words', () => {
    const order = { service: 's1', target: 'v2', duration_s: 12 }
    expect(reader.declaration(row('rollout/s1', order))).to.deep.equal({
      kind: 'rollout', order: { service: 's1', target: 'v2', durationMs: 12_000 }
    })
    expect(reader.declaration(row('rollout/s1', { ...order, duration_s: -1 }))).to.equal(undefined)
    expect(new PlatformProtocol().rolloutStatusRow('s1', { status: 'rolled-back', target: 'v2' })).to.deep.equal({
      table: 'status', key: 'rollout/s1', value: '{"state":"rolled_back","target":"v2"}'
    })
  })

  it('should read customers without their keys, and refuse a key that two of them hold', () => {
    const tenants = [{ name: 'a', api_keys: ['k1', 'k2'], priority: 1, rate_per_s: 5, burst: 6 }, { name: 'b', api_keys: ['k3'] }]
    const declaration = reader.declaration(row('config', { ...CONFIG, tenants }))
    if (declaration?.kind !== 'gateway') return expect.fail('no gateway')
    expect(declaration.gateway.customers?.[0]).to.deep.include({ name: 'a', priority: 1, ratePerSecond: 5, burst: 6 })
    expect(declaration.gateway.customers?.[0]?.keyDigests[0]).to.equal(createHash('sha256').update('k1').digest('hex'))
    expect(JSON.stringify(declaration)).to.not.include('k3')
    const shared = [...tenants, { name: 'c', api_keys: ['k1'] }]
    expect(reader.declaration(row('config', { ...CONFIG, tenants: shared }))).to.equal(undefined)
  })

  it('should read a registration', () => {
    expect(reader.server(row('i-7', SERVER))).to.deep.equal({
      id: 'i-7',
      incarnation: '1768123340169',
      service: 's1',
      host: '10.128.0.9',
      port: 8080,
      zone: 'z',
      slots: 2,
      state: 'ready',
      coldMs: 40,
      version: 7,
      sequence: 4,
      softwareVersion: 'v1',
      bornAt: 1768123340169
    })
  })

  for (const [title, value] of [
    ['without a service', { ...SERVER, service: undefined }],
    ['with a number for a service', { ...SERVER, service: 7 }],
    ['in an unknown state', { ...SERVER, state: 'resting' }],
    ['with a broken address', { ...SERVER, address: 'nowhere' }],
    // These guard against a row of another writer that ends each entry that reads it.
    ['with a port above 65535', { ...SERVER, address: '10.128.0.9:78410' }],
    ['with port 0', { ...SERVER, address: '10.128.0.9:0' }],
    ['with an octet above 255', { ...SERVER, address: '10.128.0.900:8080' }],
    ['with more slots than a process can have', { ...SERVER, slots: Number.MAX_SAFE_INTEGER }],
    ['with an endless warm-up', { ...SERVER, warmup_left_ms: 1e300 }],
    ['with a number of slots beyond a double', JSON.parse(JSON.stringify(SERVER).replace('"slots":2', '"slots":1e400'))],
    ['without slots', { ...SERVER, slots: 0 }],
    ['with a text for its start', { ...SERVER, born: 'yesterday' }],
    ['that is a list', []]
  ] as Array<[string, unknown]>) {
    it(`should name no server for a registration ${title}`, () => {
      expect(reader.server(row('i-7', value))).to.equal(undefined)
    })
  }

  // Guards against an id that cannot be sent in a header.
  it('should name no server whose id has other characters than visible ASCII', () => {
    for (const id of ['a\nb', 'i-\u00fc', 'i 7', '']) expect(reader.server(row(id, SERVER))).to.equal(undefined)
  })

  it('should name no server for bytes that cannot be read', () => {
    expect(reader.server({ key: 'k', version: 1, value: '\u0000{' })).to.equal(undefined)
  })
})

describe('platform store protocol', () => {
  const protocol = new PlatformProtocol()

  it('should ask for rows and changes', () => {
    expect(protocol.rows('declarations', { from: 'k', limit: 1 }).path).to.equal('/-/rows-get?table=op&part=&from=k&limit=1')
    expect(protocol.changes('servers', 530, 700).path).to.equal('/-/rows-feed?table=servers&after=530&wait_ms=700')
  })

  it('should read rows, removed ones too', () => {
    const text = JSON.stringify({
      rows: [{ table: 'op', part: '', key: 'a', value: base64({ x: 1 }), ver: 4 }, { table: 'op', part: '', key: 'b', removed: true }],
      truncated: true,
      ver: 9,
      now_ms: 3
    })
    expect(protocol.readPage(text)).to.deep.equal({
      rows: [{ key: 'a', version: 4, value: '{"x":1}' }, { key: 'b', version: 9, value: undefined }], version: 9, more: true
    })
  })

  it('should refuse an answer of another shape', () => {
    expect(() => protocol.readPage('{"rows":7}')).to.throw()
    expect(() => protocol.readPage('nothing')).to.throw()
  })

  it('should write a transaction', () => {
    const call = protocol.transact({
      conditions: [
        { table: 'my', key: 'k', version: 0 }
      ],
      puts: [{ table: 'my', key: 'k', value: 'v' }],
      removes: [{ table: 'declarations', key: 'x' }]
    })
    expect(JSON.parse(call.body!)).to.deep.equal({
      expected_rev: [{ table: 'my', part: '', key: 'k', ver: 0 }],
      puts: [{ table: 'my', part: '', key: 'k', value: Buffer.from('v').toString('base64') }],
      remove: [{ table: 'op', part: '', key: 'x' }]
    })
  })

  it('should tell refusals, conflicts and lost history apart', () => {
    expect([200, 412, 410, 403, 429, 503].map((status) => protocol.meaningOf(status)))
      .to.deep.equal(['done', 'conflict', 'history-lost', 'refused', 'unavailable', 'unavailable'])
  })
})

describe('platform dialect', () => {
  const dialect = new PlatformDialect()

  it('should read a load, with and without a pace', () => {
    expect(dialect.parseLoadReport('3,1,8,400', 'probe')).to.deep.equal({ running: 3, waiting: 1, slots: 8, pace: 4 })
    expect(dialect.parseLoadReport('3,0,8', 'probe')).to.deep.equal({ running: 3, waiting: 0, slots: 8, pace: 1 })
    for (const text of ['busy', '', '1,0,0', '1,0,2,0', `${'9'.repeat(400)},0,2`, `1,0,${'9'.repeat(400)}`, '1,0,2,1234567', '-1,0,2']) {
      expect(dialect.parseLoadReport(text, 'probe'), text).to.equal(undefined)
    }
  })

  it('should not count the request that an answer belongs to', () => {
    expect(dialect.parseLoadReport('1,0,2,100', 'answer')).to.include({ running: 0 })
    expect(dialect.parseLoadReport('0,0,2,100', 'answer')).to.include({ running: 0 })
  })

  it('should name addresses with the time they may be kept', () => {
    const member = { host: '10.1.0.15', port: 8641 } as Parameters<PlatformDialect['formatAddressAnswer']>[0][number]
    expect(dialect.formatAddressAnswer([member], 2)).to.deep.equal({ addresses: ['10.1.0.15:8641'], ttl_s: 2 })
  })
})

describe('platform deployment', () => {
  /** What the platform fills in for the placeholders of the settings template. */
  const FIELDS: Record<string, unknown> = {
    node_name: 'front-a-1',
    ip: '10.1.0.15',
    zone: 'a',
    'limits.cpu_share': 0.54,
    'listen.front': '10.1.0.15:8641',
    'listen.ready': '10.1.0.15:8640',
    'listen.control': '10.1.0.15:8649',
    'listen.directory': '10.1.0.15:8644',
    seeds: ['10.1.0.15:8649'],
    'platform_config.address': '10.200.1.7:8642',
    'bounds.retry_budget_ratio': 0.2,
    'bounds.retry_budget_slack': 56,
    'bounds.budget_window_s': 10,
    'bounds.warmup_overage': 1.5,
    'bounds.warmup_slack': 5,
    'bounds.grace_s': 6
  }
  const template = readFileSync(join(ROOT, 'deploy/entry.yaml'), 'utf8')

  function filled (fields: Record<string, unknown>): string {
    return template.replace(/\{\{([a-z_.]+)(\|json)?\}\}/g, (_, name: string, json: string | undefined) => {
      const value = fields[name]
      if (value === undefined) return ''
      return json ? JSON.stringify(value) : String(value)
    })
  }

  it('should have a settings template that the product accepts', () => {
    const settings = checkSettings(parse(filled(FIELDS)))
    expect(settings.store.url).to.equal('http://10.200.1.7:8642')
    expect(settings.peers.seeds).to.deep.equal(['10.1.0.15:8649'])
    expect(settings.metrics.address).to.equal('10.1.0.15:9464')
    expect(settings.tolerances).to.include({ retryRatio: 0.2, retrySlack: 56, retryWindowSeconds: 10 })
  })

  // Guards against an entry that starts on the first lines of a settings file and without its tolerances.
  it('should have a settings template of which no part is taken for the whole', () => {
    const text = filled(FIELDS).trimEnd()
    for (let length = 0; length < text.length; length++) {
      expect(() => checkSettings(parse(text.slice(0, length))), `${length} characters`).to.throw()
    }
  })

  it('should do without what a deployment does not state', () => {
    const { seeds, 'bounds.warmup_slack': slack, 'bounds.grace_s': grace, ...rest } = FIELDS
    expect([seeds, slack, grace]).to.have.length(3)
    expect(checkSettings(parse(filled(rest))).peers.seeds).to.deep.equal([])
  })

  it('should be the only place that knows the platform\'s names', () => {
    const names = [
      'config_version', 'route_type', 'target_latency_ms', 'max_attempts', 'weighted_split', 'warmup_', 'rows-get', 'rows-feed', 'rows-tx',
      'blob-', 'not-executed', 'server-stamp', 'expected_rev', '/-/'
    ]
    const found = sources(join(ROOT, 'packages')).filter((path) => {
      const text = readFileSync(path, 'utf8').toLowerCase()
      return names.some((name) => text.includes(name))
    })
    expect(found).to.deep.equal([])
  })
})

function sources (folder: string): string[] {
  return readdirSync(folder).filter((name) => name !== 'node_modules' && name !== 'dist').flatMap((name) => {
    const path = join(folder, name)
    if (statSync(path).isDirectory()) return sources(path)
    return path.endsWith('.ts') ? [path] : []
  })
}
