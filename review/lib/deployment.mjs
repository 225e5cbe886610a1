/** A small deployment on loopback addresses: the store, backend servers and entry processes, started as the deploy file says. */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, get } from 'node:http'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { Backend } from './backend.mjs'
import { PlatformStore } from './store.mjs'

const ROOT = resolve(import.meta.dirname, '../..')
const ZONES = ['colombo', 'gampaha', 'kalutara']
/** The bounds of the site lnst-gateway that the settings template reads. */
const BOUNDS = {
  retry_budget_ratio: 0.2, retry_budget_slack: 56, budget_window_s: 10, warmup_overage: 1.5, warmup_slack: 5, grace_s: 6
}
export const LIMITS = { max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
const START_TIMEOUT_MS = 20_000
const RESTART_DELAY_MS = 300
const CASE_TIMEOUT_MS = 110_000
export const HELD = 0
export const BROKEN = 1
export const NOT_RUN = 2

/** Whether the disruption takes place. */
export const trouble = process.env.TROUBLE !== '0'

export class Deployment {
  constructor () {
    this.store = new PlatformStore()
    this.backends = []
    this.entries = []
    this._folder = mkdtempSync(join(tmpdir(), 'review-'))
    this._lines = []
    this._startedAt = performance.now()
    this._ending = false
  }

  /** Time since the start, in milliseconds. */
  get now () {
    return Math.round(performance.now() - this._startedAt)
  }

  /** Adds a line to the record. */
  note (text) {
    this._lines.push(`${String(this.now).padStart(6)} ms  ${text}`)
  }

  /** Starts everything. `routes` and `services` go into the configuration; `backends` are options of `Backend`. */
  async start ({ routes, services, backends, entries = 3 }) {
    const net = `127.${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`
    this.storeAddress = await this.store.listen(`${net}.250`)
    this.store.put('op', 'config', {
      config_version: '00000007',
      routes: routes.map((route) => ({ target_latency_ms: 300, priority: 1, max_attempts: 2, ...route })),
      services: services.map((name) => ({
        name, health_path: '/health', max_connections: 220, protocol: 'h1', tls: false, warmup_s: 3, warmup_per_s: 6.7
      })),
      limits: LIMITS
    })
    for (const [index, options] of backends.entries()) {
      const backend = new Backend({ zone: ZONES[index % ZONES.length], host: `${net}.200`, store: this.store, ...options })
      await backend.start()
      this.backends.push(backend)
    }
    for (let index = 0; index < entries; index++) this.entries.push(await this._prepareEntry(index, `${net}.${index + 1}`))
    const seeds = this.entries.map(({ settings }) => settings.listen.control)
    for (const entry of this.entries) {
      entry.settings.seeds = seeds
      this._startEntry(entry)
      entry.settings.bootstrap = false
    }
    const until = performance.now() + START_TIMEOUT_MS
    for (const entry of this.entries) {
      while (!await this.isReady(entry)) {
        if (performance.now() > until) throw new Error(`${entry.name} is not ready`)
        await pause(100)
      }
    }
    const addresses = await this.resolve(this.entries[0])
    if (addresses.length !== entries) throw new Error(`the directory names ${addresses.length} of ${entries} entries`)
    await pause(2500)
    this.note(`${entries} entries are ready: ${addresses.join(', ')}; backend servers: ${this.backends.length}`)
  }

  /** Whether an entry says that it is ready. */
  async isReady (entry) {
    const answer = await fetchJson(`http://${entry.settings.listen.ready}/-/readiness`).catch(() => undefined)
    return answer?.status === 200
  }

  /** The addresses that the directory of an entry gives to callers. */
  async resolve (entry) {
    const answer = await fetchJson(`http://${entry.settings.listen.directory}/-/resolve?name=a.example&region=west&zone=colombo`)
    return answer.value.addresses ?? []
  }

  async _prepareEntry (index, ip) {
    const [front, ready, control, directory] = await freePorts(ip, 4)
    const name = `front-${ZONES[index % ZONES.length]}-${index + 1}`
    const settings = {
      node_name: name,
      ip,
      zone: ZONES[index % ZONES.length],
      limits: { cpu_share: 0.54, cores: 1 },
      listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}`, directory: `${ip}:${directory}` },
      seeds: [],
      bootstrap: true,
      platform_config: { address: this.storeAddress },
      bounds: BOUNDS
    }
    return { name, settings, host: ip, port: front, ends: [], stops: false, log: [] }
  }

  /** Starts an entry with the command of the deploy file. One that ends by itself is started again, as the platform does. */
  _startEntry (entry) {
    const path = join(this._folder, `${entry.name}.yaml`)
    writeFileSync(path, fillTemplate(readFileSync(join(ROOT, 'deploy/entry.yaml'), 'utf8'), entry.settings))
    const [program, ...words] = commandOfEntry()
    const child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, GOOSEBERRYSPAN_NODE_FILE: path },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    entry.process = child
    const errors = []
    child.stdout.resume()
    child.stderr.on('data', (part) => errors.push(part))
    child.on('exit', (code, signal) => {
      if (this._ending) return
      const reason = Buffer.concat(errors).toString('utf8').split('\n').find((line) => /Error/.test(line))?.trim() ?? ''
      entry.ends.push({ at: this.now, code, signal, reason })
      this.note(`process of ${entry.name} ended${entry.stops ? ' after SIGTERM' : ' by itself'}: code ${code}, signal ${signal} ${reason}`)
      if (!entry.stops) setTimeout(() => this._ending || this._startEntry(entry), RESTART_DELAY_MS)
    })
  }

  async end () {
    this._ending = true
    const ended = this.entries.filter(({ process: child }) => child && child.exitCode === null && child.signalCode === null).map(
      ({ process: child }) => new Promise((resolve) => {
        child.once('exit', resolve)
        child.kill('SIGCONT')
        child.kill('SIGKILL')
      })
    )
    await Promise.all(ended)
    for (const backend of this.backends) backend.stop()
    this.store.close()
    rmSync(this._folder, { recursive: true, force: true })
  }

  /** Writes the record beside the case. */
  write (path) {
    writeFileSync(path, `${this._lines.join('\n')}\n`)
  }
}

/** Runs a case: `play` returns whether the rule held. Writes `record.txt` into the folder of the case and exits. */
export async function runCase (folder, play) {
  const deployment = new Deployment()
  const finish = async (code) => {
    await deployment.end()
    deployment.note(['the rule held', 'the rule was broken', 'the case could not run'][code])
    deployment.write(join(folder, 'record.txt'))
    process.stdout.write(`${['held', 'broken', 'could not run'][code]}\n`)
    process.exit(code)
  }
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => finish(NOT_RUN))
  process.on('uncaughtException', (error) => {
    deployment.note(`error of a stand-in: ${error.stack}`)
    finish(NOT_RUN)
  })
  setTimeout(() => {
    deployment.note('the case took too long')
    finish(NOT_RUN)
  }, CASE_TIMEOUT_MS).unref()
  deployment.note(trouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)')
  try {
    await finish(await play(deployment) ? HELD : BROKEN)
  } catch (error) {
    deployment.note(`error of the case: ${error.stack}`)
    await finish(NOT_RUN)
  }
}

let lastRequest = Math.floor(Math.random() * 2 ** 40)

/** A new request id of 16 hexadecimal digits. */
export function newId () {
  lastRequest += 1
  return lastRequest.toString(16).padStart(16, '0')
}

function commandOfEntry () {
  const run = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1]
  const [program, ...words] = run.split(' ')
  return [program === 'node' ? process.execPath : program, ...words]
}

/** Fills in the placeholders `{{a.b}}` and `{{a.b|json}}`. */
function fillTemplate (text, values) {
  return text.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    let value = values
    for (const name of path.split('.')) value = value?.[name]
    return json ? JSON.stringify(value ?? null) : String(value ?? '')
  })
}

async function freePorts (host, count) {
  const servers = []
  for (let index = 0; index < count; index++) {
    const server = createServer()
    await new Promise((resolve) => server.listen(0, host, resolve))
    servers.push(server)
  }
  const ports = servers.map((server) => server.address().port)
  for (const server of servers) await new Promise((resolve) => server.close(resolve))
  return ports
}

function fetchJson (url) {
  return new Promise((resolve, reject) => {
    const call = get(url, { timeout: 1000, agent: false }, (answer) => {
      const parts = []
      answer.on('data', (part) => parts.push(part))
      answer.on('end', () => {
        try {
          resolve({ status: answer.statusCode, value: JSON.parse(Buffer.concat(parts).toString('utf8')) })
        } catch (error) {
          reject(error)
        }
      })
      answer.on('error', reject)
    })
    call.on('timeout', () => call.destroy(new Error('no answer')))
    call.on('error', reject)
  })
}
