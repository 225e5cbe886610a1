/** What a process that ends leaves in its log, and whether its log can keep it from ending. */
import { execFileSync } from 'node:child_process'
import { once } from 'node:events'
import { closeSync, constants, mkdtempSync, openSync, rmSync, writeSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { SeededRandom } from '@gooseberryspan/core'
import { StoreServer } from '@gooseberryspan/standins'
import { HOST, openRaw, send, waitUntil } from './fixtures/deployment.js'
import { EntryProgram, type EntryProgramOptions } from './fixtures/entryProgram.js'

/** Grace time of the fixture's settings. */
const GRACE_MS = 2000
const START_MS = 1500
/** Enough for a start on a busy machine. */
const MAX_START_MS = 15_000
/** More errors than a process may have within a minute, after the entry has started. */
const TOO_MANY = 6
const THROWS = 'throw new Error("unforeseen")'
const REJECTS = 'void Promise.reject(new Error("unforeseen"))'

/** Program text that keeps the port between entries from closing. */
const UNCLOSABLE = 'require("node:dgram").Socket.prototype.close = () => { throw new Error("unclosable") }\n'

/** Program text that has errors once the entry has started: callers, other entries and metrics have their ports. */
function failing (statement: string, count: number): string {
  return `const timer = setInterval(() => {
    if (process.getActiveResourcesInfo().filter((name) => name === 'TCPServerWrap').length < 3) return
    clearInterval(timer)
    setTimeout(() => { for (let i = 0; i < ${count}; i++) setTimeout(() => { ${statement} }, 10) }, 300)
  }, 20)`
}

describe('end of a process', () => {
  const store = new StoreServer({ host: HOST, port: 0, random: new SeededRandom(1) })
  const programs: EntryProgram[] = []
  let url = ''

  before(async () => { url = await store.start() })
  after(() => store.stop())
  afterEach(() => {
    for (const program of programs.splice(0)) program.dispose()
  })

  function run (options: Partial<EntryProgramOptions> = {}): EntryProgram {
    const program = new EntryProgram({ url, ...options })
    programs.push(program)
    return program
  }

  for (const [origin, statement] of [['uncaughtException', THROWS], ['unhandledRejection', REJECTS]] as const) {
    // Guards against one error that ends every entry in which it occurs, and cuts all open requests.
    it(`should not follow from one error that nobody handled (${origin})`, async () => {
      const program = run({ preface: failing(statement, TOO_MANY - 1) })
      const countErrors = (): number => program.lines().filter(({ decision }) => decision === 'unexpected-error').length
      await waitUntil(() => countErrors() === TOO_MANY - 1)
      expect(await program.endWithin(GRACE_MS)).to.equal(undefined)
      program.process.kill('SIGTERM')
      expect(await program.ended).to.deep.equal({ code: 0, signal: null })
      const errors = program.lines().filter(({ decision, reason }) => decision === 'unexpected-error' && reason === origin)
      expect(errors.map(({ err }) => (err as Error).message)).to.deep.equal(new Array(TOO_MANY - 1).fill('unforeseen'))
    })

    // Guards against an end that leaves a bare stack and loses the lines before it.
    it(`should say in its last log line that too many errors caused it, and keep the lines before (${origin})`, async () => {
      const program = run({ preface: failing(statement, TOO_MANY) })
      expect(await program.ended).to.deep.equal({ code: 1, signal: null })
      const lines = program.lines()
      expect(lines.map(({ decision }) => decision)).to.include.members(['started', 'unexpected-error', 'stopped'])
      const last = lines.at(-1)!
      expect(last).to.include({ decision: 'ended', reason: 'too many failures', code: 1 })
      expect((last.err as Error).stack).to.contain('unforeseen')
      expect(last.lastEvent).to.be.a('string')
      expect(last.peakResidentBytes).to.be.greaterThan(0)
      expect(last.openDescriptors).to.be.greaterThan(0)
    })
  }

  it('should say in its last log line that it stopped', async () => {
    const program = run()
    await program.started()
    program.process.kill('SIGTERM')
    expect(await program.ended).to.deep.equal({ code: 0, signal: null })
    expect(program.lines().at(-1)).to.include({ decision: 'ended', reason: 'stopped', code: 0 })
  })

  // Guards against a process that neither serves nor ends, since one part could not be closed.
  for (const [name, preface] of [['a signal', UNCLOSABLE], ['errors', UNCLOSABLE + failing(THROWS, TOO_MANY)]] as const) {
    it(`should end although its stop fails after ${name}`, async () => {
      const program = run({ preface })
      await program.started()
      if (name === 'a signal') program.process.kill('SIGTERM')
      const end = await program.endWithin(name === 'a signal' ? GRACE_MS : MAX_START_MS + GRACE_MS)
      expect(end).to.deep.equal({ code: 1, signal: null })
      const last = program.lines().at(-1)!
      expect(last).to.include({ decision: 'ended', reason: 'stop failed', code: 1 })
      expect((last.err as Error).message).to.equal('unclosable')
    })
  }

  // Guards against a full disk behind the log that keeps a process from ending, so that nothing starts it again.
  it('should report the end on standard error and end if its log cannot be written', async () => {
    const full = openSync('/dev/full', 'w')
    const program = run({ preface: failing(THROWS, TOO_MANY), stdio: ['ignore', full, 'pipe'] })
    closeSync(full)
    expect(await program.endWithin(MAX_START_MS + GRACE_MS)).to.deep.equal({ code: 1, signal: null })
    expect(program.lines(program.errors).at(-1)).to.include({ decision: 'ended', reason: 'too many failures' })
  })

  // Guards against a log that nobody reads keeping a process from ending.
  for (const [name, preface, code] of [['a stop', '', 0], ['errors', failing(THROWS, TOO_MANY), 1]] as const) {
    it(`should end after ${name} while nobody reads its log`, async () => {
      const folder = mkdtempSync(join(tmpdir(), 'unread-'))
      execFileSync('mkfifo', [join(folder, 'log')])
      const unread = openSync(join(folder, 'log'), constants.O_RDWR | constants.O_NONBLOCK)
      fill(unread)
      const inherited = openSync(join(folder, 'log'), constants.O_WRONLY)
      const port = await freePort()
      const settings = { metrics: { address: `${HOST}:${port}` } }
      const program = run({ preface, settings, stdio: ['ignore', inherited, inherited] })
      closeSync(inherited)
      if (code === 0) {
        // The last port that opens: it answers once the entry has started.
        let status = 0
        while (status !== 200) {
          await new Promise((resolve) => setTimeout(resolve, 20))
          status = (await send(port, 'GET', '/metrics').catch(() => undefined))?.status ?? 0
        }
        program.process.kill('SIGTERM')
      }
      const end = await program.endWithin(code === 0 ? GRACE_MS : MAX_START_MS + GRACE_MS)
      closeSync(unread)
      rmSync(folder, { recursive: true })
      expect(end).to.deep.equal({ code, signal: null })
    })
  }

  // Guards against a socket behind the log, as of a log service, that is full and keeps a process from ending.
  it('should end after a stop while nobody reads the socket of its log', async () => {
    const program = run()
    const { callers } = await program.started()
    program.process.stdout!.pause()
    for (let count = 0; count < 4000; count++) await openRaw(callers!, 'malformed\r\n\r\n').ended
    const exit = once(program.process, 'exit')
    const startedAt = performance.now()
    program.process.kill('SIGTERM')
    expect(await exit).to.deep.equal([0, null])
    expect(performance.now() - startedAt).to.be.below(GRACE_MS)
  })

  // Guards against a signal that rotates logs or asks for a debugger ending an entry, or opening a port and descriptors in it.
  it('should go on after signals that ask for nothing', async () => {
    const program = run()
    await program.started()
    const signals = ['SIGUSR1', 'SIGUSR2', 'SIGALRM', 'SIGHUP', 'SIGPIPE', 'SIGWINCH'] as const
    for (const signal of signals) {
      program.process.kill(signal)
      expect(await program.endWithin(200), signal).to.equal(undefined)
    }
    program.process.kill('SIGTERM')
    expect(await program.ended).to.deep.equal({ code: 0, signal: null })
    expect(program.errors).to.equal('')
    for (const signal of signals.slice(0, 3)) {
      expect(program.lines().map(({ reason }) => reason)).to.include(`${signal}: ignored`)
    }
  })

  // Guards against a warning of Node that ends an entry whose standard error cannot be written.
  it('should not follow from warnings while standard error cannot be written', async () => {
    const full = openSync('/dev/full', 'w')
    const preface = `setTimeout(() => { for (let i = 0; i < ${TOO_MANY}; i++) process.emitWarning('odd ' + i) }, 1000)`
    const program = run({ preface, stdio: ['ignore', 'pipe', full] })
    closeSync(full)
    expect(await program.endWithin(START_MS + GRACE_MS)).to.equal(undefined)
    program.process.kill('SIGTERM')
    expect(await program.ended).to.deep.equal({ code: 0, signal: null })
    expect(program.lines().filter(({ decision }) => decision === 'warning')).to.have.length(TOO_MANY)
    expect(program.lines().filter(({ decision }) => decision === 'unexpected-error')).to.deep.equal([])
  })

  // Guards against a full disk ending an entry that records its events.
  for (const file of ['/dev/full', '/nonexistent/trace']) {
    it(`should go on if its events cannot be recorded (${file})`, async () => {
      const program = run({ words: ['--record', file] })
      await program.started()
      expect(await program.endWithin(START_MS)).to.equal(undefined)
      program.process.kill('SIGTERM')
      expect(await program.ended).to.deep.equal({ code: 0, signal: null })
      expect(program.lines().map(({ decision }) => decision)).to.include('record-ended')
    })
  }

  it('should report memory and descriptors as metrics', async () => {
    const program = run()
    const { metrics } = await program.started()
    const { text } = await send(metrics!, 'GET', '/metrics')
    for (const name of ['resident_bytes', 'peak_resident_bytes', 'heap_bytes', 'open_descriptors', 'uptime_seconds']) {
      expect(Number(new RegExp(`^gooseberryspan_${name} (\\S+)$`, 'm').exec(text)?.[1]), name).to.be.greaterThan(0)
    }
  })
})

async function freePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve))
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return port
}

/** Writes to a pipe until it takes no more. */
function fill (descriptor: number): void {
  try {
    for (;;) writeSync(descriptor, Buffer.alloc(4096, '\n'))
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code !== 'EAGAIN') throw error
  }
}
