/** Assembles an entry process. This is the only module that depends on all components. */
import { randomBytes, randomInt } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import type { Logger } from 'pino'
import {
  EntryCore, SeededRandom, type DecisionLine, type EntryOptions, type Invariant, type RowReader
} from '@gooseberryspan/core'
import { ENDLESS_RESTART_POLICY, RESTART_POLICY, Supervisor, type Child, type SupervisorListener } from '@gooseberryspan/csp'
import {
  ConfigurationStore, RolloutOrders, HttpClient, HttpStore, DefaultStoreProtocol, DefaultRowReader, type Store, type StoreProtocol
} from '@gooseberryspan/store'
import { BackendClient } from './backend/backendClient.js'
import { ProbeClient } from './backend/probeClient.js'
import { CallerListener } from './caller/callerListener.js'
import { HoldBudget } from './caller/holdBudget.js'
import type { Dialect } from './dialect.js'
import { DirectoryListener } from './directory/directoryListener.js'
import { operatorListener } from './operators/operatorListener.js'
import { exposureOf, revokeMsOf, tolerancesOf } from './coreSettings.js'
import { DefaultDialect } from './defaultDialect.js'
import { LOG_END_MS } from './reports/logSink.js'
import { LossReport } from './reports/lossReport.js'
import { DatagramPort } from './peers/datagramPort.js'
import { PeerClient } from './peers/peerClient.js'
import { peerListener } from './peers/peerServer.js'
import { EntryNode, type DecisionObserver } from './runtime/entryNode.js'
import { DescriptorBudget, readDescriptorLimit, type ListenerPort } from './runtime/descriptorBudget.js'
import { EventRecorder } from './runtime/eventRecorder.js'
import { MemoryBudget, readMemoryLimit } from './runtime/memoryBudget.js'
import { HttpListener, type ListenerOptions } from './runtime/httpListener.js'
import { REPORTING_RETRY, SERVING_RETRY } from './runtime/port.js'
import { PortGate } from './runtime/portGate.js'
import { Ports, type PortState } from './runtime/ports.js'
import { Ticker } from './runtime/processes.js'
import { ZoneTraffic } from './runtime/zoneTraffic.js'
import { UnexpectedErrors } from './runtime/unexpectedErrors.js'
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
  /** Resolves when the process has ended; rejects if its supervisor gave up or unexpected errors came too often. */
  ended: Promise<void>
  /** Reports an error that nobody handled. The entry goes on unless there were too many. */
  reportUnexpected (reason: string, error: unknown): void
  /** The ports, where the settings say 0 the one that the system chose. A port that only reports is absent until it listens. */
  ports: { callers: number, peers: number, operators?: number, metrics?: number }
  /** Stops gracefully, once for all calls. Resolves with whether all open requests could finish. */
  stop (): Promise<boolean>
  /** Ends immediately, as in a crash. */
  crash (): void
}

const PEER_PORT_TIMEOUT_MS = 10_000
const PEER_PULL_TIMEOUT_MS = 800
const DEFAULT_TIMEOUTS = { headerMs: 5000, idleMs: 15_000 }
const SEED_LIMIT = 2 ** 32
/** A stopping process ends open requests this long before its grace time is over. Callers need it to take the last answers. */
const STOP_MARGIN_MS = 500
/** Of that, the time to close connections, write the last log lines and exit, on an instance that is paused for short times. */
const EXIT_MARGIN_MS = 250
/** Of that, the time that is left for the exit itself. */
const EXIT_MS = 100
/** Longest time to close ports and files, of which nobody waits for anything any more. */
const MAX_CLOSE_MS = 500
const MIN_STOP_WAIT_MS = 20
const MAX_BUFFERED_ANSWER_BYTES = 262_144
/** Slightly longer than the two seconds within which lapsed registrations are renewed after the store is reachable again. */
const REGISTRATION_LAPSE_MS = 2300

const CONNECTION_LOST = 'connection-closed'
const NOT_HELD = 'not-held'
/** Bounds the processor time for the requests that wait for a server. */
const MAX_OPEN_REQUESTS = 500
const MAX_OPEN_REQUESTS_PER_CONNECTION = 32

/** Options that limit the connections of one port. */
type ConnectionLimits = Required<Pick<ListenerOptions, 'maxConnections' | 'onConnectionLost'>>

type CallerLimits = ConnectionLimits & Pick<ListenerOptions, 'maxUnanswered'>

/** What the reporters read. */
interface ReportSources {
  node: EntryNode
  client: HttpClient
  datagrams: DatagramPort
  callerServer: HttpListener
  losses: LossReport
  budget: HoldBudget
  limits: ConnectionLimits
  portStates: () => PortState[]
  zoneTraffic: ZoneTraffic
}

/**
 * Builds and starts an entry. It starts whichever of its ports are taken, and opens these when they are free. Ports that the system
 * chooses are opened before the core is built, so that the core reports them.
 */
export async function startEntry (options: EntryProcessOptions): Promise<EntryProcess> {
  const { settings, log } = options
  const formats = options.formats ?? defaultFormats(settings)
  const now = (): number => performance.now()
  const client = new HttpClient(settings.store)
  const store = new HttpStore(client, formats.protocol)
  const components: { node?: EntryNode, callers?: CallerListener, directory?: DirectoryListener, gate?: PortGate } = {}

  const callerAddress = parseHostPort(settings.callers.address)
  const losses = new LossReport({ log, now })
  const limits = connectionLimits(settings, losses)
  const memory = new MemoryBudget(readMemoryLimit(settings.limits.memoryMb))
  const budget = new HoldBudget({
    maxBytes: memory.heldBytes,
    maxRequests: MAX_OPEN_REQUESTS,
    maxRequestsPerConnection: MAX_OPEN_REQUESTS_PER_CONNECTION,
    onRefused: (reason) => losses.record(NOT_HELD, reason)
  })
  const callerLimits: CallerLimits = { ...limits('callers'), maxUnanswered: settings.callers.maxUnanswered }
  callerLimits.maxConnections = Math.min(callerLimits.maxConnections, memory.maxConnections)
  const maxHeaderBytes = memory.headerBytesFor(callerLimits.maxConnections)
  const onRejected = (reason: string, caller: string): void => log.info({ decision: 'malformed-request', reason, caller })
  const onError = (error: unknown): void => log.error({ err: error }, 'request failed with an internal error')
  const onDropped = (): void => losses.record('request-dropped', 'connection-closing')
  const { address: directoryAddress, readyAddress } = settings.directory
  const servesDirectory = [directoryAddress, readyAddress].some((address) => sharesCallerPort(settings, address))
  const callerServer = new HttpListener((request, response) => {
    const isDirectoryRequest = servesDirectory && components.directory!.serves(request.url ?? '/')
    const { listener } = isDirectoryRequest ? components.directory! : components.callers!
    listener(request, response)
  }, { ...callerAddress, ...DEFAULT_TIMEOUTS, ...callerLimits, maxHeaderBytes, onRejected, onDropped, onError })
  const peerAddress = parseHostPort(settings.peers.address)
  const { token } = settings.peers
  const peerServer = new HttpListener(peerListener({ token, source: { stateFor: (query) => components.node!.stateFor(query) } }), {
    ...peerAddress, ...limits('peers'), headerMs: PEER_PORT_TIMEOUT_MS, idleMs: PEER_PORT_TIMEOUT_MS
  })
  const openPorts = new Ports({ log, now })
  const opened = (): void => components.gate?.update()
  const callerPort = openPorts.add('callers', callerAddress, callerServer, SERVING_RETRY, opened)
  const peerPort = openPorts.add('peers-tcp', peerAddress, peerServer, SERVING_RETRY, opened)
  await callerPort.choose()
  await peerPort.choose()

  const ports: EntryProcess['ports'] = { callers: callerPort.number, peers: peerPort.number }
  const built = buildCore(options, formats, { port: ports.callers, peerPort: ports.peers })
  const decisionObservers: DecisionObserver[] = []
  const decisionObserver: DecisionObserver = {
    onDecision: (line: DecisionLine) => decisionObservers.forEach((each) => each.onDecision(line))
  }
  const onRecordFailed = (error: Error): void => log.error({ decision: 'record-ended', err: error })
  const recorder = options.record === undefined ? undefined : new EventRecorder(options.record, built.head, onRecordFailed)
  const node = new EntryNode({
    core: built.core,
    dialect: formats.dialect,
    log,
    logDecisions: settings.log.decisions,
    now,
    decisionObserver,
    revokeMs: revokeMsOf(settings),
    recorder
  })
  components.node = node
  const closeAfter = (request: IncomingMessage): boolean => callerServer.closeAfter(request)
  components.callers = new CallerListener({ node, holdBytes: settings.callers.holdBytes, budget, closeAfter })
  components.directory = new DirectoryListener({ node, keepSeconds: settings.directory.keepSeconds })

  const zoneTraffic = new ZoneTraffic(settings.zone)
  const datagrams = new DatagramPort({
    host: peerAddress.host,
    port: ports.peers,
    token,
    self: () => built.core.roster.self,
    received: (envelope) => gate.received(envelope),
    onSent: (to, messages, bytes) => zoneTraffic.sent(to.zone, messages, bytes)
  })
  const datagramPort = openPorts.add('peers-udp', { host: peerAddress.host, port: ports.peers }, datagrams, SERVING_RETRY, opened)
  const gate = new PortGate({ node, callers: callerPort, peers: [peerPort, datagramPort] })
  components.gate = gate
  const backends = new BackendClient({
    dialect: formats.dialect,
    connectMs: settings.backends.connectMs,
    holdBytes: MAX_BUFFERED_ANSWER_BYTES,
    now,
    mayUse: (server) => built.core.mayUse(server),
    onExchanged: (server, bytes) => zoneTraffic.exchanged(server.zone, bytes),
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
    rolloutStatusRow: (service, status) => formats.protocol.rolloutStatusRow(service, status),
    rolloutWritten: (service, isDone) => node.handle({ kind: 'rollout-written', service, isDone }),
    failed: (call, error) => log.info({ decision: 'store-failed', reason: error.message, call })
  })
  const ticker = new Ticker(node)
  let resolveLeft: () => void = () => {}
  const hasLeft = new Promise<void>((resolve) => {
    resolveLeft = resolve
  })
  const unexpectedErrors = new UnexpectedErrors(log)
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
    failed: (kind, error) => unexpectedErrors.report(`core: ${kind}`, error),
    rescheduleTick: () => ticker.reschedule()
  })

  for (const [name, address] of [['directory', directoryAddress], ['ready', readyAddress]] as const) {
    if (address === undefined || sharesCallerPort(settings, address)) continue
    if (name === 'ready' && address === directoryAddress) continue
    const listener = new HttpListener(
      (request, response) => components.directory!.listener(request, response),
      { ...parseHostPort(address), ...DEFAULT_TIMEOUTS, ...limits(name), onError }
    )
    openPorts.addUnlessUsed(name, parseHostPort(address), listener, SERVING_RETRY)
  }
  const operatorServer = createOperatorPort(options, node, store, limits('operators'))
  if (operatorServer) {
    openPorts.addUnlessUsed('operators', parseHostPort(settings.operators.address), operatorServer, REPORTING_RETRY, (port) => {
      ports.operators = port
    })
  }
  const portStates = (): PortState[] => openPorts.states()
  const sources = { node, client, datagrams, callerServer, losses, budget, limits: limits('metrics'), portStates, zoneTraffic }
  const reports = await createReporters(options, sources)
  decisionObservers.push(...reports.decisionObservers)
  if (reports.port) {
    openPorts.addUnlessUsed('metrics', parseHostPort(settings.metrics.address!), reports.port, REPORTING_RETRY, (port) => {
      ports.metrics = port
    })
  }
  await openPorts.open()

  const watcher = supervisorLogger(log)
  const supervise = (name: string, children: Child[], policy = RESTART_POLICY): Supervisor =>
    new Supervisor({ name, children, policy, watcher })
  const children: Child[] = [
    supervise('store', storeExecutor.workers()),
    supervise('decisions', [gate.delay(ticker)]),
    supervise('ports', openPorts.all, ENDLESS_RESTART_POLICY)
  ]
  if (reports.children.length > 0) children.push(supervise('reports', reports.children, ENDLESS_RESTART_POLICY))
  const root = supervise('root', children)
  const close = async (): Promise<void> => {
    const stopped = root.stop().catch(() => {})
    // Ends the reads that the store answers only after a change or a time.
    client.close()
    await stopped
    backends.close()
    probes.close()
    await datagrams.close()
    reports.close()
    await recorder?.close()
  }
  let stopped: Promise<boolean> | undefined
  const stop = async (): Promise<boolean> => {
    const graceEndsAt = now() + settings.stop.graceSeconds * 1000
    log.info({ decision: 'stopping', open: node.open })
    node.handle({ kind: 'stop' })
    if (!gate.isOpen) resolveLeft()
    await settlesWithin(hasLeft, graceEndsAt - EXIT_MARGIN_MS - now())
    // A supervisor that gave up has stopped the ticker.
    if (node.open > 0) node.handle({ kind: 'tick' })
    // Slow callers still send their requests and receive answers.
    await settlesWithin(callerServer.answered(), graceEndsAt - STOP_MARGIN_MS - now())
    components.callers!.refuseUnread()
    await settlesWithin(callerServer.answered(), graceEndsAt - EXIT_MARGIN_MS - now())
    const cut = built.core.requests.brokenOff + callerServer.unanswered
    built.core.invariants.check('stop-cuts-nothing', cut === 0, () => `${cut} requests at the stop limit`)
    callerServer.cut()
    peerServer.cut()
    await settlesWithin(close(), Math.min(MAX_CLOSE_MS, graceEndsAt - LOG_END_MS - EXIT_MS - now()))
    log.info({ decision: 'stopped', cut })
    return cut === 0
  }
  const ended = Promise.race([root.start(), unexpectedErrors.exceeded])
  ended.catch(() => {})
  log.info({ decision: 'started', zone: settings.zone, ports, seed: built.head.seed })

  return {
    node,
    store,
    ended,
    reportUnexpected: (reason, error) => unexpectedErrors.report(reason, error),
    ports,
    stop: () => {
      stopped ??= stop()
      return stopped
    },
    crash: () => {
      callerServer.cut()
      peerServer.cut()
      void close()
    }
  }
}

/** Limits the connections of each port, so that callers leave enough descriptors for everything else. */
function connectionLimits ({ limits }: Settings, losses: LossReport): (port: ListenerPort) => ConnectionLimits {
  const descriptors = new DescriptorBudget(readDescriptorLimit(limits.descriptors))
  return (port) => ({
    maxConnections: descriptors.connectionsOf(port),
    onConnectionLost: (loss) => losses.record(CONNECTION_LOST, `${port}: ${loss}`)
  })
}

/** Whether an address of the directory is the callers' address, which is also its default. */
function sharesCallerPort ({ callers }: Settings, address: string | undefined): boolean {
  return address === undefined || address === callers.address
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
    // The clock of the process starts with it.
    upMs: performance.now(),
    tolerances: tolerancesOf(settings),
    lapseMs: REGISTRATION_LAPSE_MS,
    lingerMs: settings.stop.lingerSeconds * 1000,
    stopLimitMs: Math.max(0, settings.stop.graceSeconds * 1000 - STOP_MARGIN_MS)
  }
  const limit = exposureOf(settings)
  const rollouts = limit && { limit, timeOfDay: Date.now }
  const core = new EntryCore({ ...head, rollouts, reader, random: new SeededRandom(seed), watcher: invariantReporter(options) })
  return { core, head }
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

function createOperatorPort (
  { settings }: EntryProcessOptions, node: EntryNode, store: Store, limits: ConnectionLimits
): HttpListener | undefined {
  const { token, address } = settings.operators
  if (token === undefined) return undefined
  const newId = (): string => randomBytes(12).toString('hex')
  const listener = operatorListener({
    token,
    store: new ConfigurationStore(store),
    rollouts: new RolloutOrders(store),
    hasRollouts: exposureOf(settings) !== undefined,
    status: () => node.status(),
    newId
  })
  return new HttpListener(listener, { ...parseHostPort(address), ...DEFAULT_TIMEOUTS, ...limits })
}

/** Creates the reporters that the settings enable. Loads a reporter's library only if it is enabled. */
async function createReporters (options: EntryProcessOptions, sources: ReportSources) {
  const { node, client, datagrams, callerServer, losses, budget, limits, portStates, zoneTraffic } = sources
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
      peerMessages: () => datagrams.messages,
      callerConnections: () => callerServer.connections,
      connectionsClosed: () => losses.totalOf(CONNECTION_LOST),
      heldBytes: () => budget.bytes,
      notHeld: () => losses.totalOf(NOT_HELD),
      portStates,
      zoneBytes: () => zoneTraffic.bytes,
      rollouts: () => node.core.rollouts.progress()
    })
    decisionObservers.push(prometheusMetrics)
    port = new HttpListener(metricsListener(prometheusMetrics), { ...parseHostPort(metrics.address), ...DEFAULT_TIMEOUTS, ...limits })
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
