/** What the cases on quotas share: a deployment of six entries in three zones, its configuration, and the check of the rule. */
import { writeFileSync } from 'node:fs'
import { setTimeout as pause } from 'node:timers/promises'
import { Backend } from './backend.mjs'
import { Callers } from './caller.mjs'
import { addressBlock, BOUNDS, Entry, freePort } from './deployment.mjs'
import { Relays } from './relay.mjs'
import { Store } from './store.mjs'

const ZONES = ['cas-ain', 'cas-sidi', 'cas-bouskoura']
const ENTRIES_PER_ZONE = 2
const BACKENDS_PER_ZONE = 2
const SERVICE = 'huvo11a'
const HOST = 'hulo84.example'
const PATH = '/leny950/2f'
const DEADLINE_MS = 4009
const WINDOW_MS = BOUNDS.quota_window_s * 1000

/** Six entries, six backend servers, one store, and the customers' requests. */
export class QuotaDeployment {
  entries = []
  relays = new Relays()
  store = new Store()
  #backends = []
  #callers = new Callers()
  #requests = new Map()
  #customers
  #open = 0
  #startedAt = 0
  #lines = []

  constructor (customers) {
    this.#customers = customers
  }

  async start () {
    const address = addressBlock()
    const storeAddress = await this.store.listen(address(1))
    this.store.put('op', 'config', this.#configuration())
    for (const [index, zone] of ZONES.flatMap((zone) => Array(BACKENDS_PER_ZONE).fill(zone)).entries()) {
      const arrived = ({ backend, request, at }) => {
        const known = this.#requests.get(request)
        if (!known) throw new Error(`${backend} ran ${request}, which nobody sent`)
        Object.assign(known, { backend, arrivedAt: at })
      }
      const backend = new Backend({ id: `i-7f3a91c${index}`, host: address(100 + index), service: SERVICE, zone, store: this.store, arrived })
      this.#backends.push(backend)
      await backend.start()
    }
    const ports = {}
    for (const name of ['front', 'ready', 'control', 'directory', 'metrics']) ports[name] = await freePort(address(10))
    const seeds = ZONES.map((_, zone) => `${address(10 + zone * ENTRIES_PER_ZONE)}:${ports.control}`)
    for (const [zoneIndex, zone] of ZONES.entries()) {
      for (let number = 1; number <= ENTRIES_PER_ZONE; number++) {
        const index = zoneIndex * ENTRIES_PER_ZONE + number - 1
        // The other entries reach this one at the address that it announces, where a relay stands before its own peer port.
        const [announced, actual] = [address(10 + index), address(40 + index)]
        await this.relays.add({ announced, actual, port: ports.control, zone })
        this.entries.push(new Entry({
          node_name: `front-${zone.slice(4)}-${number}`,
          zone,
          ip: announced,
          seeds,
          bootstrap: true,
          bounds: BOUNDS,
          limits: { cpu_share: 1, cores: 1, memory_mb: 350, max_fds: 4100 },
          listen: {
            front: `${announced}:${ports.front}`,
            ready: `${announced}:${ports.ready}`,
            directory: `${announced}:${ports.directory}`,
            control: `${actual}:${ports.control}`
          },
          platform_config: { address: storeAddress }
        }))
      }
    }
    for (const entry of this.entries) entry.start()
    await Promise.all(this.entries.map((entry) => entry.ready()))
    this.#startedAt = performance.now()
    this.note('all entries are ready')
  }

  #configuration () {
    return {
      config_version: '00000007',
      routes: [{
        name: 'r-6wysx2e',
        host: HOST,
        prefix: '/leny950/',
        route_type: 'safe',
        timeout_ms: 4000,
        target_latency_ms: 501,
        priority: 0,
        service: SERVICE,
        max_attempts: 2,
        auth_exempt: false
      }],
      services: [{
        name: SERVICE, health_path: '/health', max_connections: 820, protocol: 'h1', tls: false, warmup_s: 3, warmup_per_s: 1.8
      }],
      tenants: this.#customers.map(({ name, rate, burst }) => ({ name, api_keys: [`key-${name}`], rate_per_s: rate, burst })),
      limits: { max_header_bytes: 8192, max_body_bytes: 1_048_576, header_timeout_ms: 5000, idle_timeout_ms: 10_000 }
    }
  }

  /** Writes a line with the time since all entries were ready into the record. */
  note (text) {
    this.#lines.push(`${((performance.now() - this.#startedAt) / 1000).toFixed(3)} s  ${text}`)
  }

  entry (name) {
    return this.entries.find((entry) => entry.name === name)
  }

  forget (entry) {
    this.#callers.forget(entry)
  }

  /** Sends a customer's requests, evenly spread over time and over the entries that run. Resolves when the time is over. */
  async send (customer, perSecond, forMs) {
    const startedAt = performance.now()
    for (let sent = 0; ; sent++) {
      const dueAt = startedAt + sent * 1000 / perSecond
      if (dueAt >= startedAt + forMs) return
      if (dueAt > performance.now()) await pause(dueAt - performance.now())
      this.#sendOne(customer)
    }
  }

  async #sendOne (customer) {
    const running = this.entries.filter(({ isDown }) => !isDown)
    const number = this.#requests.size
    const entry = running[number % running.length]
    const id = number.toString(16).padStart(16, '0')
    const request = { customer, entry: entry.name, sentAt: performance.now() }
    this.#requests.set(id, request)
    this.#open += 1
    request.status = await this.#callers.send(entry, { id, path: PATH, host: HOST, deadlineMs: DEADLINE_MS, key: `key-${customer}` })
    this.#open -= 1
  }

  /** Resolves when all requests have been answered, or have failed. */
  async settled () {
    for (const until = performance.now() + DEADLINE_MS; this.#open > 0 && performance.now() < until;) await pause(20)
  }

  /** Writes the record. Returns whether the rule was broken, and whether all requests that should be served were. */
  judge (path) {
    const all = [...this.#requests]
    const seconds = (at) => at === undefined ? '-' : ((at - this.#startedAt) / 1000).toFixed(3)
    for (const [id, { customer, entry, sentAt, status, backend, arrivedAt }] of all) {
      this.#lines.push(`${seconds(sentAt)} s  ${customer} ${id} to ${entry}: answered ${status}, run by ${backend ?? 'none'} at ${seconds(arrivedAt)}`)
    }
    let isBroken = false
    const verdict = []
    for (const { name, rate, burst } of this.#customers) {
      const allowed = (rate * WINDOW_MS / 1000 + burst) * (1 + BOUNDS.quota_overage) + BOUNDS.quota_slack
      const runs = all.map(([, request]) => request).filter(({ customer, arrivedAt }) => customer === name && arrivedAt !== undefined)
      let most = 0
      let from
      for (const { sentAt: start } of runs) {
        const count = runs.filter(({ sentAt, arrivedAt }) => sentAt >= start && arrivedAt < start + WINDOW_MS).length
        if (count > most) [most, from] = [count, start]
      }
      if (most > allowed) isBroken = true
      verdict.push(`${name}: at most ${most} requests were sent and run within ${WINDOW_MS / 1000} s, from ${seconds(from)} s; allowed ${allowed.toFixed(0)}`)
    }
    const ends = new Map()
    for (const [, { status }] of all) ends.set(status, (ends.get(status) ?? 0) + 1)
    const counts = [...ends].sort(([a], [b]) => a - b).map(([status, count]) => `${status}: ${count}`).join(', ')
    verdict.push(`answers: ${counts}; datagrams dropped by the cut: ${this.relays.dropped}`)
    const crashes = this.entries.reduce((sum, { unexpectedEnds }) => sum + unexpectedEnds, 0)
    verdict.push(`processes that ended by themselves: ${crashes}`, isBroken ? 'QUOTA is broken' : 'QUOTA holds')
    writeFileSync(path, [...verdict, '', ...this.#lines, ''].join('\n'))
    process.stdout.write(`${verdict.join('\n')}\n`)
    return { isBroken, served: ends.get(200) ?? 0 }
  }

  async end () {
    this.#callers.close()
    await Promise.all(this.entries.map((entry) => entry.end()))
    for (const backend of this.#backends) backend.stop()
    this.relays.close()
    this.store.close()
  }
}

/** Runs a case and ends the process: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export async function runQuotaCase (customers, record, act) {
  const deployment = new QuotaDeployment(customers)
  let code = 2
  try {
    await deployment.start()
    await act(deployment)
    await deployment.settled()
    const { isBroken, served } = deployment.judge(record)
    if (served > 0) code = isBroken ? 1 : 0
  } catch (error) {
    process.stderr.write(`${error.stack}\n`)
  }
  await deployment.end()
  process.exit(code)
}
