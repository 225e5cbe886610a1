/** Entries whose ports are taken, and what callers and other entries see meanwhile. */
import { expect } from 'chai'
import { spawn, type ChildProcess } from 'node:child_process'
import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { pino } from 'pino'
import { hash } from '@gooseberryspan/core'
import type { EntryProcess } from '@gooseberryspan/entry'
import { type Deployment, HOST, OPERATOR_TOKEN, send, smallDocument, useDeployment, waitUntil } from './fixtures/deployment.js'

type Release = () => Promise<void>

/** Takes a TCP port as another process would; the system chooses it if it is 0. */
async function holdTcp (port = 0, host = HOST): Promise<{ port: number, release: Release }> {
  const server = createServer((socket) => socket.destroy()).listen(port, host)
  await once(server, 'listening')
  return {
    port: (server.address() as AddressInfo).port,
    release: async () => {
      server.close()
      await once(server, 'close')
    }
  }
}

async function holdUdp (port: number): Promise<Release> {
  const socket = createSocket('udp4')
  socket.bind(port, HOST)
  await once(socket, 'listening')
  return async () => {
    socket.close()
    await once(socket, 'close')
  }
}

async function freePorts (count: number): Promise<number[]> {
  const held = []
  for (let index = 0; index < count; index++) held.push(await holdTcp())
  for (const { release } of held) await release()
  return held.map(({ port }) => port)
}

const PORT_NAMES = ['callers', 'peers-tcp', 'peers-udp', 'directory', 'ready', 'operators', 'metrics'] as const
type PortName = typeof PORT_NAMES[number]
const NEEDED: PortName[] = ['callers', 'peers-tcp', 'peers-udp']
const READY_PATH = '/readyz'
/** Longer than an entry takes to become ready after a start. */
const OBSERVED_MS = 1200

type Numbers = Record<PortName, number>

async function drawNumbers (): Promise<Numbers> {
  const [callers, peers, directory, ready, operators, metrics] = await freePorts(6) as [number, number, number, number, number, number]
  return { callers, 'peers-tcp': peers, 'peers-udp': peers, directory, ready, operators, metrics }
}

function settingsFor (numbers: Numbers, seeds: string[] = []): Record<string, unknown> {
  const at = (name: PortName): string => `${HOST}:${numbers[name]}`
  return {
    callers: { address: at('callers') },
    directory: { address: at('directory'), readyAddress: at('ready'), keepSeconds: 0.1 },
    peers: { address: at('peers-tcp'), token: 'peers-secret', seeds },
    operators: { address: at('operators'), token: OPERATOR_TOKEN },
    metrics: { address: at('metrics') }
  }
}

describe('ports that are taken', () => {
  let deployment: Deployment
  let releases: Release[]
  let lines: Array<Record<string, unknown>>

  useDeployment((each) => {
    deployment = each
    releases = []
    lines = []
  })

  afterEach(async () => {
    for (const release of releases) await release()
  })

  async function hold (name: PortName, numbers: Numbers): Promise<Release> {
    const release = name === 'peers-udp' ? await holdUdp(numbers[name]) : (await holdTcp(numbers[name])).release
    releases.push(release)
    return async () => {
      releases.splice(releases.indexOf(release), 1)
      await release()
    }
  }

  /** Starts an entry beside one that is ready. */
  async function startLate (numbers: Numbers, name = 'late'): Promise<EntryProcess> {
    const [first] = deployment.entries
    const log = pino({ level: 'info' }, { write: (line) => lines.push(JSON.parse(line)) })
    return deployment.startEntry(name, 'a', { changes: settingsFor(numbers, [`${HOST}:${first!.ports.peers}`]), log })
  }

  function namedByFirst (): boolean {
    return deployment.entries[0]!.node.core.addressesFor('a').some(({ instance }) => instance === 'late')
  }

  function closedLines (name: PortName): Array<Record<string, unknown>> {
    return lines.filter(({ decision, port }) => decision === 'port-closed' && port === name)
  }

  for (const name of NEEDED) {
    // Guards against an entry that ends at each start while a port is taken, or that callers are sent to meanwhile.
    it(`should not be ready while its ${name} port is taken, and be when it is free`, async () => {
      await deployment.start(smallDocument(), [{}], ['a'])
      const numbers = await drawNumbers()
      const release = await hold(name, numbers)
      const late = await startLate(numbers)
      await pause(OBSERVED_MS)
      expect(late.node.ready).to.equal(false)
      expect(namedByFirst()).to.equal(false)
      expect((await send(numbers.ready, 'GET', READY_PATH)).status).to.equal(503)
      expect((await send(numbers.metrics, 'GET', '/metrics')).text).to.match(
        new RegExp(`gooseberryspan_port_closed_seconds\\{port="${name}"\\} [1-9]`)
      )
      expect(closedLines(name)).to.have.length(1)
      expect(closedLines(name)[0]).to.include({ reason: 'EADDRINUSE', address: `${HOST}:${numbers[name]}` })
      await release()
      await waitUntil(() => late.node.ready && namedByFirst())
      expect(lines.filter(({ decision, port }) => decision === 'port-open' && port === name)).to.have.length(1)
      expect((await send(numbers.callers, 'GET', '/orders')).status).to.equal(200)
      expect((await send(numbers.ready, 'GET', READY_PATH)).status).to.equal(200)
    })

    it(`should stop when asked to while its ${name} port is taken`, async () => {
      await deployment.start(smallDocument(), [{}], ['a'])
      const numbers = await drawNumbers()
      await hold(name, numbers)
      const late = await startLate(numbers)
      expect(await late.stop()).to.equal(true)
      await late.ended
    })
  }

  for (const name of PORT_NAMES.filter((each) => !NEEDED.includes(each))) {
    // Guards against an entry that ends, or serves nothing, for want of a port that requests do not need.
    it(`should serve while its ${name} port is taken, and open it when it is free`, async () => {
      await deployment.start(smallDocument(), [{}], ['a'])
      const numbers = await drawNumbers()
      const release = await hold(name, numbers)
      const late = await startLate(numbers)
      await waitUntil(() => late.node.ready && namedByFirst())
      expect((await send(numbers.callers, 'GET', '/orders')).status).to.equal(200)
      expect(closedLines(name)).to.have.length(1)
      await release()
      await waitUntil(() => lines.some(({ decision, port }) => decision === 'port-open' && port === name))
      expect((await send(numbers[name], 'GET', '/none')).status).to.be.oneOf([401, 404])
    })
  }

  it('should learn the other entries before it is ready, when its port for them was taken at the start', async () => {
    await deployment.start(smallDocument(), [{}], ['a', 'a'])
    const numbers = await drawNumbers()
    const release = await hold('peers-udp', numbers)
    const late = await startLate(numbers)
    await pause(OBSERVED_MS)
    expect(late.node.core.roster.alive).to.have.length(1)
    await release()
    await waitUntil(() => late.node.ready)
    await waitUntil(() => late.node.core.roster.alive.length === 3)
  })

  // Guards against entries that the store does not name, since they lead nobody to it while one of them has no port for callers.
  it('should register the entries in the store while it leads the change feed without its callers port', async () => {
    await deployment.start(smallDocument(), [{}], ['a'])
    const score = (instance: string): number => hash(`watcher|${instance}`)
    let name = 'late-0'
    for (let index = 1; score(name) < score('entry-0'); index++) name = `late-${index}`
    const numbers = await drawNumbers()
    await hold('callers', numbers)
    const late = await startLate(numbers, name)
    await waitUntil(() => late.node.core.roles.leaderRank === 0 && late.node.core.roster.alive.length === 2)
    await waitUntil(() => deployment.store.engine.rows('watchers').rows.some(({ value }) => value!.includes(`${numbers['peers-tcp']}`)))
    expect(late.node.ready).to.equal(false)
  })

  it('should wait for an address that the machine does not have yet', async () => {
    await deployment.start(smallDocument(), [{}], ['a'])
    const numbers = await drawNumbers()
    const log = pino({ level: 'info' }, { write: (line) => lines.push(JSON.parse(line)) })
    const changes = { ...settingsFor(numbers), callers: { address: `192.0.2.1:${numbers.callers}` } }
    const late = await deployment.startEntry('late', 'a', { changes, log })
    await pause(OBSERVED_MS)
    expect(late.node.ready).to.equal(false)
    expect(closedLines('callers')[0]).to.include({ reason: 'EADDRNOTAVAIL' })
    expect(await late.stop()).to.equal(true)
  })

  // A platform that draws its ports may draw that of the metrics.
  for (const name of ['callers', 'peers-tcp', 'directory', 'ready'] as const) {
    it(`should leave its metrics out when they have the address of its ${name} port`, async () => {
      await deployment.start(smallDocument(), [{}], ['a'])
      const numbers = await drawNumbers()
      const late = await startLate({ ...numbers, metrics: numbers[name] })
      await waitUntil(() => late.node.ready && namedByFirst())
      expect((await send(numbers.callers, 'GET', '/orders')).status).to.equal(200)
      expect((await send(numbers.ready, 'GET', READY_PATH)).status).to.equal(200)
      expect(lines.filter(({ decision }) => decision === 'port-left-out')).to.have.length(1)
    })
  }

  it('should answer callers, the directory and readiness at one address when the settings say so', async () => {
    await deployment.start(smallDocument(), [{}], ['a'])
    const numbers = await drawNumbers()
    const { callers } = numbers
    const late = await startLate({ ...numbers, directory: callers, ready: callers })
    await waitUntil(() => late.node.ready)
    for (const path of ['/orders', READY_PATH, '/v1/addresses']) expect((await send(callers, 'GET', path)).status).to.equal(200)
  })
})

describe('process of an entry whose ports are taken', () => {
  const folder = mkdtempSync(join(tmpdir(), 'ports-'))
  const children: ChildProcess[] = []

  afterEach(() => {
    for (const child of children.splice(0)) child.kill('SIGKILL')
  })

  after(() => rmSync(folder, { recursive: true }))

  // Guards against a process that ends at each start, and against one that no stop can end.
  it('should run while all its ports are taken, and end with code 0 when it is asked to stop', async () => {
    const numbers = await drawNumbers()
    const held = await Promise.all(PORT_NAMES.filter((name) => name !== 'peers-udp').map((name) => holdTcp(numbers[name])))
    const path = join(folder, 'entry.yaml')
    const settings = { instance: 'a', zone: 'z', store: { url: `http://${HOST}:1` }, ...settingsFor(numbers) }
    writeFileSync(path, JSON.stringify(settings))
    const program = new URL('../../packages/entry/dist/bin/entry.js', import.meta.url).pathname
    const child = spawn(process.execPath, [program, '--settings', path], { stdio: ['ignore', 'pipe', 'pipe'] })
    children.push(child)
    let output = ''
    child.stdout.on('data', (part) => { output += part })
    const ended = once(child, 'exit')
    await waitUntil(() => output.includes('"started"') || child.exitCode !== null)
    await pause(OBSERVED_MS)
    expect(child.exitCode).to.equal(null)
    child.kill('SIGTERM')
    expect(await ended).to.deep.equal([0, null])
    for (const { release } of held) await release()
  })
})
