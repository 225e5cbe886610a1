/** A small deployment on loopback addresses: the store, backend servers, and entries that are started as the deploy file says. */
import { spawn } from 'node:child_process'
import { randomBytes } from 'node:crypto'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { Backend } from './backend.mjs'
import { Links } from './links.mjs'
import { PlatformStore } from './store.mjs'

const REPOSITORY = new URL('../../', import.meta.url).pathname
const ZONES = ['colombo', 'gampaha', 'kalutara']
const READY_TIMEOUT_MS = 25_000
/** Entries that have just become ready move to their schedulers in this time. */
const SETTLING_MS = 3000
const MAX_CASE_MS = 115_000
const HELD = 0
const BROKEN = 1
const NOT_RUN = 2

/** The bounds of the site file lnst-gateway that the cases use. */
export const BOUNDS = {
  contact_ms: 3000,
  drain_ms: 2000,
  grace_s: 6,
  config_apply_ms: 2000,
  max_stretch_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  retry_budget_slack: 56,
  warmup_overage: 1.5,
  warmup_slack: 5,
  evacuation_ms: 5000
}

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** A new request id. */
export function newId () {
  return randomBytes(8).toString('hex')
}

export class Deployment {
  store = new PlatformStore()
  backends = []
  entries = []
  /** Relays between the machines, if the case asks for them. */
  links = new Links()
  #lines = []
  #startedAt = performance.now()
  #folder = mkdtempSync(join(tmpdir(), 'review-'))
  #network = `127.${64 + process.pid % 128}.${Math.floor(Math.random() * 200)}`
  #isEnding = false

  /** Time since the start, in milliseconds. */
  now = () => performance.now() - this.#startedAt

  /** Adds a line to the record. */
  note (text) {
    this.#lines.push(`${this.now().toFixed(0).padStart(6)} ms  ${text}`)
  }

  /** Starts the store with a first configuration, the backend servers and the entries. Resolves when all entries are ready. */
  async start ({ configuration, backends, entryCount = 3, bounds = {}, hasLinks = false }) {
    const storeAddress = await this.store.listen(`${this.#network}.250`)
    this.store.put('op', 'config', configuration)
    for (const [index, options] of backends.entries()) await this.addBackend({ zone: ZONES[index % ZONES.length], ...options })
    for (let index = 0; index < entryCount; index++) this.entries.push(await this.#newEntry(index, storeAddress, bounds, hasLinks))
    const seeds = this.entries.slice(0, 3).map(({ seed }) => seed)
    for (const entry of this.entries) {
      entry.fields.seeds = seeds
      this.startEntry(entry)
      entry.fields.bootstrap = false
    }
    for (const entry of this.entries) await this.whenReady(entry)
    await pause(SETTLING_MS)
    this.note(`${entryCount} entries are ready, version ${this.store.version} of the store`)
  }

  async addBackend (options) {
    const backend = new Backend({ store: this.store, host: `${this.#network}.200`, now: this.now, ...options })
    await backend.start()
    this.backends.push(backend)
    return backend
  }

  async #newEntry (index, storeAddress, bounds, hasLinks) {
    const ip = `${this.#network}.${index + 1}`
    /** With links, an entry listens for other entries at another address than the one that it announces. */
    const peerIp = hasLinks ? `${this.#network}.${index + 101}` : ip
    const zone = ZONES[index % ZONES.length]
    const [front, ready, control, directory] = await freePorts(ip, 4)
    const fields = {
      node_name: `front-${zone}-${index + 1}`,
      ip,
      zone,
      limits: { cpu_share: 0.54, cores: 1, memory_mb: 350, max_fds: 4100 },
      listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${peerIp}:${control}`, directory: `${ip}:${directory}` },
      seeds: [],
      bootstrap: true,
      platform_config: { address: storeAddress },
      bounds: { ...BOUNDS, ...bounds }
    }
    const name = fields.node_name
    if (hasLinks) {
      await this.links.addEntry({ name, announced: ip, actual: peerIp, port: control })
      fields.platform_config.address = await this.links.addStore({ name, host: ip, storeAddress })
    }
    return { name, zone, fields, seed: `${ip}:${control}`, host: ip, port: front, process: undefined }
  }

  /** Starts an entry with the command of the deploy file and settings from its template. */
  startEntry (entry) {
    const deployFile = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8')
    const [, command] = /^run = "(.*)"$/m.exec(deployFile)
    const [, template] = /^template = "(.*)"$/m.exec(deployFile)
    const [program, ...words] = command.split(' ')
    const path = join(this.#folder, `${entry.name}.yaml`)
    writeFileSync(path, fillTemplate(readFileSync(join(REPOSITORY, template), 'utf8'), entry.fields))
    const child = spawn(program, words, {
      cwd: REPOSITORY,
      env: { PATH: process.env.PATH, HOME: this.#folder, GOOSEBERRYSPAN_NODE_FILE: path },
      stdio: ['ignore', process.env.ENTRY_LOGS ? 'inherit' : 'ignore', process.env.ENTRY_LOGS ? 'inherit' : 'ignore']
    })
    entry.process = child
    entry.hasEnded = false
    child.once('exit', (code, signal) => {
      if (entry.process === child) entry.hasEnded = true
      if (!this.#isEnding) this.note(`the process of ${entry.name} has ended: code ${code}, signal ${signal}`)
    })
  }

  /** Sends a signal to the process of an entry. */
  signal (entry, name) {
    this.note(`${name} to ${entry.name}`)
    entry.process.kill(name)
  }

  async whenReady (entry) {
    const [host, port] = entry.fields.listen.ready.split(':')
    const until = performance.now() + READY_TIMEOUT_MS
    while (performance.now() < until) {
      const { status } = await call({ host, port, path: '/-/readiness', timeoutMs: 500 })
      if (status === 200) return
      await pause(50)
    }
    throw new Error(`${entry.name} did not become ready`)
  }

  /** Sends a client's request to an entry on a connection of its own. Resolves with what the client sees. */
  async send (entry, { method = 'GET', path, hostName = 'shop.example', deadlineMs = 2000, headers = {}, body, id = newId() }) {
    const sentAt = this.now()
    const answer = await call({
      host: entry.host,
      port: entry.port,
      method,
      path,
      headers: { host: hostName, 'request-id': id, 'deadline-ms': String(deadlineMs), ...headers },
      body,
      timeoutMs: deadlineMs
    })
    return { id, entry: entry.name, sentAt, tookMs: this.now() - sentAt, ...answer }
  }

  /** Records what was sent, answered and run. */
  noteRequests (answers) {
    const runs = new Map()
    for (const backend of this.backends) {
      for (const { id, at } of backend.runs) runs.set(id, [...runs.get(id) ?? [], `${backend.service} ${backend.id} at ${at.toFixed(0)} ms`])
    }
    this.note('all requests: when sent, id, entry, status, time to the answer, where they ran')
    for (const { id, entry, sentAt, status, tookMs, error } of answers) {
      const answered = status === 0 ? `no answer (${error})` : status
      this.#lines.push(`${sentAt.toFixed(0).padStart(6)} ms  ${id} ${entry} ${answered} ${tookMs.toFixed(0)} ms; ` +
        `${runs.get(id)?.join(', ') ?? 'not run'}`)
    }
  }

  /** Ends all processes, and removes the temporary folder. */
  async end () {
    this.#isEnding = true
    const running = this.entries.filter((entry) => entry.process && !entry.hasEnded)
    await Promise.all(running.map(({ process: child }) => new Promise((resolve) => {
      child.once('exit', resolve)
      child.kill('SIGKILL')
    })))
    for (const backend of this.backends) backend.stop()
    this.links.close()
    this.store.close()
    rmSync(this.#folder, { recursive: true, force: true })
  }

  write (path) {
    writeFileSync(path, `${this.#lines.join('\n')}\n`)
  }
}

/** Runs a case, writes `record.txt` into its folder and exits. `play` resolves with whether the rule held. */
export async function runCase (folder, play) {
  const deployment = new Deployment()
  let isFinished = false
  const finish = async (code) => {
    if (isFinished) return
    isFinished = true
    await deployment.end()
    const text = ['the rule held', 'the rule was broken', 'the case could not run'][code]
    deployment.note(text)
    deployment.write(join(folder, 'record.txt'))
    process.stdout.write(`${text}\n`)
    process.exit(code)
  }
  const fail = (error) => {
    deployment.note(`error of the case: ${error.stack ?? error}`)
    return finish(NOT_RUN)
  }
  process.on('uncaughtException', fail)
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => fail(new Error(signal)))
  setTimeout(() => fail(new Error('the case took too long')), MAX_CASE_MS).unref()
  deployment.note(hasTrouble ? 'with the disruption' : 'without the disruption')
  try {
    await finish(await play(deployment) ? HELD : BROKEN)
  } catch (error) {
    await fail(error)
  }
}

/** Sends one request. Resolves with the status, headers and body, or with status 0 if there was no whole answer. */
function call ({ body, timeoutMs, ...options }) {
  return new Promise((resolve) => {
    const none = (error) => resolve({ status: 0, headers: {}, body: '', error: error.code ?? error.message })
    const sent = request({ ...options, agent: false }, (answer) => {
      const parts = []
      answer.on('data', (part) => parts.push(part))
      answer.on('error', none)
      answer.on('end', () => {
        clearTimeout(timer)
        resolve({ status: answer.statusCode, headers: answer.headers, body: Buffer.concat(parts).toString('utf8') })
      })
    })
    const timer = setTimeout(() => sent.destroy(new Error('no answer in time')), timeoutMs)
    sent.on('error', (error) => {
      clearTimeout(timer)
      none(error)
    })
    sent.end(body)
  })
}

/** Fills in the placeholders `{{a.b}}` and `{{a.b|json}}`. */
function fillTemplate (text, fields) {
  return text.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = path.split('.').reduce((parent, name) => parent?.[name], fields)
    return json ? JSON.stringify(value ?? null) : String(value ?? '')
  })
}

async function freePorts (host, count) {
  const servers = []
  for (let index = 0; index < count; index++) {
    const server = createServer()
    await new Promise((resolve, reject) => server.once('error', reject).listen(0, host, resolve))
    servers.push(server)
  }
  const ports = servers.map((server) => server.address().port)
  for (const server of servers) await new Promise((resolve) => server.close(resolve))
  return ports
}
