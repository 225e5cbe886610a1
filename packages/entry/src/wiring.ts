/** Assembles an entry process. This is the only module that depends on all components. */
import { randomBytes, randomInt } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import type { Logger } from 'pino'
import {
  EntryCore, SeededRandom, type DecisionLine, type EntryOptions, type Invariant, type RowReader, type Tolerances
} from '@gooseberryspan/core'
import { RESTART_POLICY, Supervisor, type Child, type SupervisorListener } from '@gooseberryspan/csp'
import {
  ConfigurationStore, HttpClient, HttpStore, DefaultStoreProtocol, DefaultRowReader, type Store, type StoreProtocol
} from '@gooseberryspan/store'
import { BackendClient } from './backend/backendClient.js'
import { ProbeClient } from './backend/probeClient.js'
import { CallerListener } from './caller/callerListener.js'
import type { Dialect } from './dialect.js'
import { DirectoryListener } from './directory/directoryListener.js'
import { operatorListener } from './operators/operatorListener.js'
import { DefaultDialect } from './defaultDialect.js'
import { DatagramPort } from './peers/datagramPort.js'
import { PeerClient } from './peers/peerClient.js'
import { peerListener } from './peers/peerServer.js'
import { EntryNode, type DecisionObserver } from './runtime/entryNode.js'
import { EventRecorder } from './runtime/eventRecorder.js'
import { HttpListener } from './runtime/httpListener.js'
import { listenerProcess, Ticker } from './runtime/processes.js'
import { parseHostPort, type Settings } from './settings.js'
import { StoreExecutor } from './store/storeExecutor.js'

/** Formats of the platform on which an entry runs. */
export interface PlatformFormats {
  dialect: Dialect
  protocol: StoreProtocol
  reader: RowReader
}

/** Options of an entry process. */
export interface EntryProcessOptions {
  settings: Settings
  log: Logger
  /** Formats of the platform; the default formats if absent. */
  formats?: PlatformFormats
  /** Seed of the process's random numbers; chosen randomly if absent. */
  seed?: number
  /** Path of the file to which events are recorded. */
  record?: string
  /** Called for each violated invariant, which is also logged. */
  broken?: (invariant: Invariant, detail: string) => void
  /** Returns the number of log lines dropped so far. */
  droppedLogLines?: () => number
}

/** A running entry process. */
export interface EntryProcess {
  node: EntryNode
  store: Store
  /** Resolves when the process has ended; rejects if its supervisor gave up. */
  ended: Promise<void>
  /** Ports in use; where the settings say 0, the port that the system chose. */
  ports: { callers: number, peers: number, operators?: number, metrics?: number }
  /** Stops gracefully. Resolves with whether all open requests could finish. */
  stop (): Promise<boolean>
  /** Ends immediately, as in a crash. */
  crash (): void
}

const PEER_PORT_TIMEOUT_MS = 10_000
const PEER_PULL_TIMEOUT_MS = 800
const DEFAULT_TIMEOUTS = { headerMs: 5000, idleMs: 15_000 }
const SEED_LIMIT = 2 ** 32
/** Fraction of the grace time after which a stopping process aborts the requests that are still open. */
const STOP_GRACE_FRACTION = 0.88
const MIN_STOP_WAIT_MS = 20
const MAX_BUFFERED_ANSWER_BYTES = 262_144
/** Slightly longer than the two seconds within which lapsed registrations are renewed after the store is reachable again. */
const REGISTRATION_LAPSE_MS = 2300

/** Builds and starts an entry. It listens before the core is built, so that the core reports the ports that the system chose. */
export async function startEntry (options: EntryProcessOptions): Promise<EntryProcess> {
  const { settings, log } = options
  const formats = options.formats ?? defaultFormats(settings)
  const now = (): number => performance.now()
  const client = new HttpClient(settings.store)
  const store = new HttpStore(client, formats.protocol)
  const components: { node?: EntryNode, callers?: CallerListener, directory?: DirectoryListener } = {}

  const callerAddress = parseHostPort(settings.callers.address)
  const onRejected = (reason: string, caller: string): void => log.info({ decision: 'malformed-request', reason, caller })
  const onError = (error: unknown): void => log.error({ err: error }, 'request failed with an internal error')
  const onDropped = (caller: string): void => log.info({ decision: 'request-dropped', reason: 'connection-closing', caller })
  const callerServer = new HttpListener((request, response) => {
    const isDirectoryRequest = settings.directory.address === undefined && components.directory!.serves(request.url ?? '/')
    const { listener } = isDirectoryRequest ? components.directory! : components.callers!
    listener(request, response)
  }, { ...callerAddress, ...DEFAULT_TIMEOUTS, onRejected, onDropped, onError })
  const peerAddress = parseHostPort(settings.peers.address)
  const { token } = settings.peers
  const peerServer = new HttpListener(peerListener({ token, source: { stateFor: (query) => components.node!.stateFor(query) } }), {
    ...peerAddress, headerMs: PEER_PORT_TIMEOUT_MS, idleMs: PEER_PORT_TIMEOUT_MS
  })
  const callers = await callerServer.listen()
  const peers = await peerServer.listen()

  const built = buildCore(options, formats, { port: callers, peerPort: peers })
  const decisionObservers: DecisionObserver[] = []
  const decisionObserver: DecisionObserver = {
    onDecision: (line: DecisionLine) => decisionObservers.forEach((each) => each.onDecision(line))
  }
  const onRecordFailed = (error: Error): void => log.error({ decision: 'record-ended', err: error })
  const recorder = options.record === undefined ? undefined : new EventRecorder(options.record, built.head, onRecordFailed)
  const node = new EntryNode({
    core: built.core, dialect: formats.dialect, log, logDecisions: settings.log.decisions, now, decisionObserver, recorder
  })
  components.node = node
  const closeAfter = (request: IncomingMessage): boolean => callerServer.closeAfter(request)
  components.callers = new CallerListener({ node, holdBytes: settings.callers.holdBytes, closeAfter })
  components.directory = new DirectoryListener({ node, keepSeconds: settings.directory.keepSeconds })

  const datagrams = new DatagramPort({
    host: peerAddress.host, port: peers, token, self: () => built.core.roster.self, received: (envelope) => node.received(envelope)
  })
  await datagrams.listen()
  const backends = new BackendClient({
    dialect: formats.dialect,
    connectMs: settings.backends.connectMs,
    holdBytes: MAX_BUFFERED_ANSWER_BYTES,
    now,
    onMalformed: (request, server, reason) => log.info({ decision: 'answer-malformed', request, server, reason })
  })
  const probes = new ProbeClient({
    dialect: formats.dialect,
    timeoutMs: settings.backends.probeMs,
    pathOf: (service) => built.core.declarations.service(service)?.probePath ?? '/health'
  })
  const peerClient = new PeerClient({ token, timeoutMs: PEER_PULL_TIMEOUT_MS })
  const storeExecutor = new StoreExecutor({
    store,
    read: (table, reading) => node.handle({ kind: 'table-read', table, reading }),
    found: (book) => node.handle({ kind: 'entries-found', book }),
    failed: (call, error) => log.info({ decision: 'store-failed', reason: error.message, call })
  })
  const ticker = new Ticker(node)
  let resolveLeft: () => void = () => {}
  const hasLeft = new Promise<void>((resolve) => {
    resolveLeft = resolve
  })
  node.connect({
    backends,
    probes,
    datagrams,
    peers: peerClient,
    store: storeExecutor,
    control: () => ({
      storeRequests: client.requests,
      storeBytes: client.bytes,
      peerMessages: datagrams.messages,
      peerBytes: datagrams.bytes,
      peerPulls: peerClient.pulls
    }),
    configured: () => {
      const { limits } = built.core.declarations
      if (limits) callerServer.setTimeouts(limits)
    },
    left: () => resolveLeft(),
    rescheduleTick: () => ticker.reschedule()
  })

  const watcher = supervisorLogger(log)
  const supervise = (name: string, children: Child[]): Supervisor => new Supervisor({ name, children, policy: RESTART_POLICY, watcher })
  const ports: EntryProcess['ports'] = { callers, peers }
  const portProcesses = [listenerProcess('caller-port', callerServer), listenerProcess('peer-port', peerServer)]
  for (const [name, address] of [
    ['directory-port', settings.directory.address], ['ready-port', settings.directory.readyAddress]
  ] as const) {
    if (address === undefined) continue
    const port = new HttpListener(
      (request, response) => components.directory!.listener(request, response), { ...parseHostPort(address), ...DEFAULT_TIMEOUTS, onError }
    )
    await port.listen()
    portProcesses.push(listenerProcess(name, port))
  }
  const operatorServer = createOperatorPort(options, node, store)
  if (operatorServer) {
    ports.operators = await operatorServer.listen()
    portProcesses.push(listenerProcess('operator-port', operatorServer))
  }
  const reports = await createReporters(options, node, client, datagrams)
  decisionObservers.push(...reports.decisionObservers)
  if (reports.port) {
    ports.metrics = await reports.port.listen()
    portProcesses.push(listenerProcess('metrics-port', reports.port))
  }
  const children: Child[] = [
    supervise('store', storeExecutor.workers()), supervise('decisions', [ticker]), supervise('ports', portProcesses)
  ]
  if (reports.children.length > 0) children.push(supervise('reports', reports.children))
  const root = supervise('root', children)
  const close = async (): Promise<void> => {
    await root.stop().catch(() => {})
    backends.close()
    probes.close()
    datagrams.close()
    client.close()
    reports.close()
    await recorder?.close()
  }
  const ended = root.start()
  ended.catch(() => {})
  log.info({ decision: 'started', zone: settings.zone, ports, seed: built.head.seed })

  return {
    node,
    store,
    ended,
    ports,
    stop: async () => {
      log.info({ decision: 'stopping', open: node.open })
      node.handle({ kind: 'stop' })
      const cutAt = now() + settings.stop.graceSeconds * 1000 * STOP_GRACE_FRACTION
      const graceful = await settlesWithin(hasLeft, cutAt - now())
      const { open } = node
      built.core.invariants.check('stop-cuts-nothing', graceful || open === 0, () => `${open} requests at the stop limit`)
      // Slow callers still receive answers.
      await settlesWithin(callerServer.answered(), cutAt - now())
      callerServer.cut()
      peerServer.cut()
      await close()
      log.info({ decision: 'stopped', cut: open })
      return open === 0
    },
    crash: () => {
      callerServer.cut()
      peerServer.cut()
      void close()
    }
  }
}

function defaultFormats (settings: Settings): PlatformFormats {
  return {
    dialect: new DefaultDialect(settings.backends.headerPrefix), protocol: new DefaultStoreProtocol(), reader: new DefaultRowReader()
  }
}

function buildCore (options: EntryProcessOptions, { reader }: PlatformFormats, ports: { port: number, peerPort: number }) {
  const { settings } = options
  const seed = options.seed ?? randomInt(SEED_LIMIT)
  const { host } = parseHostPort(settings.callers.address)
  const { share: coreShare, of: speed } = settings.cores
  const head = {
    seed,
    identity: { instance: settings.instance, incarnation: Date.now(), zone: settings.zone, host, cores: coreShare * speed, ...ports },
    seeds: settings.peers.seeds.map(parseHostPort),
    isFirstStart: settings.peers.firstStart,
    tolerances: readTolerances(settings),
    lapseMs: REGISTRATION_LAPSE_MS,
    lingerMs: settings.stop.lingerSeconds * 1000
  }
  const core = new EntryCore({ ...head, reader, random: new SeededRandom(seed), watcher: invariantReporter(options) })
  return { core, head }
}

function readTolerances ({ tolerances }: Settings): Tolerances {
  return {
    retry: { ratio: tolerances.retryRatio, slack: tolerances.retrySlack, windowMs: tolerances.retryWindowSeconds * 1000 },
    cold: { overage: tolerances.coldOverage, slack: tolerances.coldSlack }
  }
}

function invariantReporter (options: EntryProcessOptions): EntryOptions['watcher'] {
  return {
    broken: (invariant, detail) => {
      options.log.error({ invariant, detail }, 'invariant broken')
      options.broken?.(invariant, detail)
    }
  }
}

function supervisorLogger (log: Logger): SupervisorListener {
  return {
    failed: (child, error, pauseMs) => log.warn({ child, err: error, pauseMs }, 'process failed and is started again'),
    gaveUp: (error) => log.fatal({ err: error }, 'a process failed too often; the entry stops')
  }
}

function createOperatorPort ({ settings }: EntryProcessOptions, node: EntryNode, store: Store): HttpListener | undefined {
  const { token, address } = settings.operators
  if (token === undefined) return undefined
  const newId = (): string => randomBytes(12).toString('hex')
  const listener = operatorListener({ token, store: new ConfigurationStore(store), status: () => node.status(), newId })
  return new HttpListener(listener, { ...parseHostPort(address), ...DEFAULT_TIMEOUTS })
}

/** Creates the reporters that the settings enable. Loads a reporter's library only if it is enabled. */
async function createReporters (options: EntryProcessOptions, node: EntryNode, client: HttpClient, datagrams: DatagramPort) {
  const { metrics, instance } = options.settings
  const decisionObservers: DecisionObserver[] = []
  const children: Child[] = []
  let port: HttpListener | undefined
  let close = (): void => {}
  if (metrics.address !== undefined) {
    const [{ PrometheusMetrics: EntryMetrics }, { metricsListener }] = await Promise.all([
      import('./reports/prometheusMetrics.js'), import('./reports/metricsListener.js')
    ])
    const prometheusMetrics = new EntryMetrics({
      openRequests: () => node.open,
      copyAgeMs: () => node.core.replication.maxAgeMs(node.now),
      members: () => node.core.roster.alive.length,
      listedServers: () => node.core.catalog.size,
      revision: () => node.core.declarations.revision,
      droppedLogLines: options.droppedLogLines ?? (() => 0),
      storeRequests: () => client.requests,
      peerMessages: () => datagrams.messages
    })
    decisionObservers.push(prometheusMetrics)
    port = new HttpListener(metricsListener(prometheusMetrics), { ...parseHostPort(metrics.address), ...DEFAULT_TIMEOUTS })
  }
  if (metrics.statsd) {
    const [{ StatsD }, { StatsdReporter }] = await Promise.all([import('hot-shots'), import('./reports/statsdReporter.js')])
    const { host, port: statsdPort, everyMs } = metrics.statsd
    const statsd = new StatsD({ host, port: statsdPort, prefix: 'gooseberryspan.', globalTags: { instance }, errorHandler: () => {} })
    const reporter = new StatsdReporter({ client: statsd, everyMs, status: () => node.status() })
    decisionObservers.push(reporter)
    children.push(reporter)
    close = () => statsd.close()
  }
  return { decisionObservers, children, port, close }
}

async function settlesWithin (done: Promise<unknown>, ms: number): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined
  const timedOut = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => resolve(false), Math.max(ms, MIN_STOP_WAIT_MS))
  })
  const result = await Promise.race([done.then(() => true), timedOut])
  clearTimeout(timer)
  return result
}
