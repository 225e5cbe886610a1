import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { Deployment, HOST, REQUEST_ID, send, smallDocument, useDeployment, waitUntil } from './fixtures/deployment.js'

const PROGRAM = join(import.meta.dirname, '../../packages/entry/dist/bin/entry.js')
const GRACE_S = 2
const PAIRS: NodeJS.Signals[][] = [
  ['SIGTERM', 'SIGTERM'], ['SIGTERM', 'SIGINT'], ['SIGINT', 'SIGTERM'], ['SIGINT', 'SIGINT'], ['SIGTERM', 'SIGHUP']
]
/** Sends the process SIGTERM before it listens on its first port. */
const SIGNAL_AT_FIRST_LISTEN = `data:text/javascript,${encodeURIComponent(`import { Server } from 'node:net'
const { listen } = Server.prototype
Server.prototype.listen = function (...parameters) {
  Server.prototype.listen = listen
  process.kill(process.pid, 'SIGTERM')
  setTimeout(() => listen.apply(this, parameters), 500)
  return this
}`)}`
/** Withholds the settings for some reads and sends SIGTERM at the second, with the handler that the loader of the bundle sets. */
const SIGNAL_BEFORE_SETTINGS = `data:text/javascript,${encodeURIComponent(`import fs from 'node:fs'
import { syncBuiltinESMExports } from 'node:module'
const { readFileSync } = fs
let reads = 0
process.on('SIGTERM', () => {})
fs.readFileSync = (path, ...parameters) => {
  if (!String(path).endsWith('entry.yaml') || ++reads > 10) return readFileSync(path, ...parameters)
  if (reads === 2) process.kill(process.pid, 'SIGTERM')
  throw new Error('not written yet')
}
syncBuiltinESMExports()`)}`
const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms))

interface Ended {
  code: number | null
  signal: string | null
  tookMs: number
  log: string
}

/** An entry as a process of its own. */
class EntryProgram {
  readonly child: ChildProcess
  readonly ended: Promise<Ended>
  private readonly _startedAt = performance.now()
  private _log = ''

  constructor (settings: string, nodeOptions: string[] = []) {
    this.child = spawn(process.execPath, [...nodeOptions, PROGRAM, '--settings', settings], { stdio: ['ignore', 'pipe', 'inherit'] })
    this.child.stdout!.on('data', (part: Buffer) => { this._log += part.toString() })
    this.ended = new Promise((resolve) => this.child.once('close', (code, signal) => {
      resolve({ code, signal, tookMs: performance.now() - this._startedAt, log: this._log })
    }))
  }

  get log (): string {
    return this._log
  }

  /** Sends a signal and returns the time at which it was sent. */
  signal (name: NodeJS.Signals): number {
    this.child.kill(name)
    return performance.now() - this._startedAt
  }
}

describe('signals', () => {
  let deployment: Deployment
  let folder: string
  let settings: string
  let port: number
  const programs: EntryProgram[] = []

  useDeployment(async (created) => {
    deployment = created
    folder = mkdtempSync(join(tmpdir(), 'signals-'))
    port = await freePort()
    settings = join(folder, 'entry.yaml')
  })

  afterEach(() => {
    for (const { child } of programs.splice(0)) child.kill('SIGKILL')
    rmSync(folder, { recursive: true, force: true })
  })

  /** Starts an entry as a process and waits until it serves. */
  async function start (meanMs: number, graceSeconds = GRACE_S): Promise<EntryProgram> {
    await deployment.start(smallDocument(), [{ meanMs }], [])
    const program = run(graceSeconds)
    let status = 0
    while (status !== 200) {
      await pause(20)
      status = (await send(port, 'GET', '/readyz').catch(() => undefined))?.status ?? 0
    }
    return program
  }

  function run (graceSeconds = GRACE_S, nodeOptions?: string[]): EntryProgram {
    writeFileSync(settings, JSON.stringify({
      instance: 'entry',
      zone: 'a',
      callers: { address: `${HOST}:${port}` },
      peers: { address: `${HOST}:0`, token: 'peers-secret', firstStart: true },
      store: { url: deployment.url === '' ? `http://${HOST}:1` : deployment.url, timeoutMs: 300 },
      stop: { lingerSeconds: 0.3, graceSeconds }
    }))
    const program = new EntryProgram(settings, nodeOptions)
    programs.push(program)
    return program
  }

  for (const signals of PAIRS) {
    // Guards against requests that are cut because a platform or a process group delivers more than one signal.
    it(`should answer what it has accepted when ${signals.join(' and ')} come at once`, async () => {
      const program = await start(500)
      const answer = send(port, 'POST', '/orders', { [REQUEST_ID]: 'one' })
      await waitUntil(() => deployment.backends[0]!.arrivals.length === 1)
      for (const signal of signals) {
        program.signal(signal)
        await pause(20)
      }
      expect((await answer).status).to.equal(200)
      expect(await program.ended).to.include({ code: 0, signal: null })
    })
  }

  it('should end at once when a person interrupts it again', async () => {
    const program = await start(1800)
    const answer = send(port, 'POST', '/orders', { [REQUEST_ID]: 'one' }).catch((error: Error) => error)
    await waitUntil(() => deployment.backends[0]!.arrivals.length === 1)
    program.signal('SIGINT')
    await pause(700)
    const at = program.signal('SIGINT')
    const { code, tookMs, log } = await program.ended
    expect(code).to.equal(1)
    expect(tookMs - at).to.be.below(500)
    expect(log).to.include('stop-cut')
    expect(await answer).to.be.an('error')
  })

  // Guards against a process that ends by the signal, as in a crash, because it has not set its handlers yet.
  it('should end with code 0 when it is stopped while it starts', async () => {
    const program = run(GRACE_S, ['--import', SIGNAL_AT_FIRST_LISTEN])
    const { code, signal, log } = await program.ended
    expect({ code, signal }).to.deep.equal({ code: 0, signal: null })
    expect(log).to.include('stopped before the start')
  })

  // Guards against a stop that is lost because the process still waits for its settings, so that it starts and serves on.
  it('should end with code 0 when it is stopped before its settings are written', async () => {
    const program = run(GRACE_S, ['--import', SIGNAL_BEFORE_SETTINGS])
    const { code, signal, log } = await program.ended
    expect({ code, signal }).to.deep.equal({ code: 0, signal: null })
    expect(log).to.include('stopped before the start')
    expect(log).not.to.include('"started"')
  })

  // Guards against a stop whose end is counted in running time, so that SIGKILL comes first.
  it('should end within its grace time though it was paused for half of it', async () => {
    const program = await start(5000)
    const answer = send(port, 'POST', '/orders', { [REQUEST_ID]: 'one', 'gooseberryspan-deadline-ms': '1900' })
    answer.catch(() => {})
    await waitUntil(() => deployment.backends[0]!.arrivals.length === 1)
    const at = program.signal('SIGTERM')
    await pause(300)
    program.signal('SIGSTOP')
    await pause(GRACE_S * 500)
    program.signal('SIGCONT')
    const { code, signal, tookMs } = await program.ended
    expect(signal).to.equal(null)
    expect(code).to.equal(1)
    expect(tookMs - at).to.be.below(GRACE_S * 1000)
  })
})

async function freePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve))
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return port
}
