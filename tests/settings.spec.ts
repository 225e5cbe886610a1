/** Settings that a platform may give an entry, and settings files that are incomplete when an entry starts. */
import { expect } from 'chai'
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { awaitSettings, checkSettings, usableSettings } from '@gooseberryspan/entry'

const LEAST = { instance: 'west-1', zone: 'west', store: { url: 'http://127.0.0.1:1' } }
const PROGRAM = new URL('../../packages/entry/dist/bin/entry.js', import.meta.url).pathname
/** A platform that replaces a file takes less. */
const WRITE_MS = 200

describe('settings', () => {
  // Guards against an entry that ends at each start (code 2) because of a value that makes sense.
  for (const [title, changes] of [
    ['a name with an underscore', { instance: 'front_1' }],
    ['a name of 100 characters', { instance: 'f'.repeat(100) }],
    ['no time for a planned stop', { stop: { graceSeconds: 0 } }],
    ['cold servers that get less than their rate', { tolerances: { coldOverage: 0.5 } }],
    ['many further attempts', { tolerances: { retryRatio: 12, retrySlack: 0 } }],
    ['no tolerances', { tolerances: { retryRatio: null, retrySlack: null, retryWindowSeconds: null, coldOverage: null, coldSlack: null } }],
    ['no seeds', { peers: { seeds: [] } }]
  ] as Array<[string, object]>) {
    it(`should accept ${title}`, () => {
      expect(usableSettings({ ...LEAST, ...changes }).leftOut).to.deep.equal([])
    })
  }

  for (const [title, changes, name] of [
    ['a metrics address without a host', { metrics: { address: ':9464' } }, 'metrics.address'],
    ['a metrics address with the host null', { metrics: { address: 'null:9464' } }, 'metrics.address'],
    ['a StatsD port that is none', { metrics: { statsd: { port: 70_000 } } }, 'metrics.statsd.port'],
    ['a seed that is no address', { peers: { seeds: ['', '10.0.0.1:8081'] } }, 'peers.seeds.0'],
    ['seeds that are no list', { peers: { seeds: 'none' } }, 'peers.seeds'],
    ['a number of descriptors that is none', { limits: { descriptors: 'many' } }, 'limits.descriptors']
  ] as Array<[string, object, string]>) {
    it(`should leave out ${title}, say so, and keep the rest`, () => {
      const { settings, leftOut } = usableSettings({ ...LEAST, ...changes })
      expect(settings).to.include({ instance: 'west-1', zone: 'west' })
      expect(settings.metrics).to.deep.equal({})
      expect(leftOut).to.have.length(1)
      expect(leftOut[0]).to.match(new RegExp(`^${name}: `))
      expect(() => checkSettings({ ...LEAST, ...changes })).to.throw(name)
    })
  }

  it('should keep the seeds that are addresses', () => {
    const { settings } = usableSettings({ ...LEAST, peers: { seeds: ['nowhere', '10.0.0.1:8081', null] } })
    expect(settings.peers.seeds).to.deep.equal(['10.0.0.1:8081'])
  })

  for (const [title, changes, name] of [
    ['a port that is none', { callers: { address: '127.0.0.1:65536' } }, 'callers.address'],
    ['an IP number that is none', { callers: { address: '127.0.0.256:80' } }, 'callers.address'],
    ['no address for callers', { callers: { address: null } }, 'callers.address'],
    ['one address for callers and for other entries', { callers: { address: '127.0.0.1:80' }, peers: { address: '127.0.0.1:80' } }, 'same'],
    ['a mistyped name', { tolerances: { retryRatios: 1 } }, 'retryRatios'],
    ['an unusable part beside a mistyped name', { metrics: { address: ':9464' }, store: { URL: 'x' } }, 'store.url']
  ] as Array<[string, object, string]>) {
    it(`should refuse ${title}`, () => {
      expect(() => usableSettings({ ...LEAST, ...changes })).to.throw(name)
    })
  }
})

describe('settings file at a start', () => {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'))
  const path = join(folder, 'entry.yaml')
  const text = JSON.stringify({
    ...LEAST, callers: { address: '127.0.0.1:0' }, peers: { address: '127.0.0.1:0' }, operators: { address: '127.0.0.1:0' }
  })
  let child: ChildProcess | undefined
  let output = ''

  afterEach(() => {
    child?.kill('SIGKILL')
    rmSync(path, { force: true })
  })

  after(() => rmSync(folder, { recursive: true }))

  function start (...options: string[]): Promise<unknown[]> {
    output = ''
    child = spawn(process.execPath, [PROGRAM, '--settings', path, ...options], { stdio: ['ignore', 'pipe', 'pipe'] })
    for (const stream of [child.stdout!, child.stderr!]) stream.on('data', (part) => { output += part })
    return once(child, 'exit')
  }

  // Guards against an entry that ends because the platform replaces its settings file at the moment of a start.
  for (const [title, content] of [
    ['missing', undefined], ['empty', ''], ['half written', text.slice(0, text.length / 2)], ['lacking its last lines', 'instance: w\n']
  ] as const) {
    it(`should be read again when it is ${title}`, async () => {
      if (content !== undefined) writeFileSync(path, content)
      const reading = awaitSettings(path)
      await pause(WRITE_MS)
      writeFileSync(path, text)
      expect((await reading).settings).to.include({ instance: 'west-1' })
    })
  }

  it('should be awaited by an entry that starts', async () => {
    const ended = start()
    await pause(700)
    writeFileSync(path, text)
    while (!output.includes('"started"') && child!.exitCode === null) await pause(10)
    expect(child!.exitCode).to.equal(null)
    child!.kill('SIGTERM')
    expect(await ended).to.deep.equal([0, null])
  })

  it('should end the start with code 2 and a clear error when it stays wrong', async () => {
    writeFileSync(path, JSON.stringify({ ...LEAST, tolerances: { retryRatios: 1 } }))
    expect(await start()).to.deep.equal([2, null])
    expect(output).to.match(/^settings refused: tolerances: .*retryRatios/)
  })

  it('should be checked at once and in whole when only a check is asked for', async () => {
    writeFileSync(path, JSON.stringify({ ...LEAST, metrics: { address: ':9464' } }))
    expect(await start('--check')).to.deep.equal([2, null])
    expect(output).to.match(/^settings refused: metrics.address: /)
  })
})
