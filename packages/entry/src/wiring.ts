/** Puts an entry process together. The only module that knows all parts. */
import { randomBytes, randomInt } from 'node:crypto'
import { StatsD } from 'hot-shots'
import type { Logger } from 'pino'
import { EntryCore, SeededRandom, type AcceptedDocument, type EntryOptions, type Invariant } from '@gooseberryspan/core'
import { RESTART_POLICY, Supervisor, type Child, type SupervisorWatcher } from '@gooseberryspan/csp'
import { ConfigurationStore, HttpPlatform, MemberStore, type TableService } from '@gooseberryspan/platform'
import { BackendClient } from './backend/backendClient.js'
import { CallerListener } from './caller/callerListener.js'
import { HeaderNames } from './headers.js'
import { operatorListener } from './operators/operatorListener.js'
import { ForwardClient } from './peers/forwardClient.js'
import { PeerClient } from './peers/peerClient.js'
import { peerListener } from './peers/peerServer.js'
import { ClaimLedger } from './platform/claimLedger.js'
import { ListWatcher } from './platform/listWatcher.js'
import { Transactor } from './platform/transactor.js'
import { Counters } from './runtime/counters.js'
import { EntryNode } from './runtime/entryNode.js'
import { EventRecorder } from './runtime/eventRecorder.js'
import { HttpListener } from './runtime/httpListener.js'
import { portKeeper, reporter, ticker } from './runtime/processes.js'
import type { Settings } from './settings.js'

/** What an entry is built from. */
export interface EntryProcessOptions {
  settings: Settings
  log: Logger
  /** Seed of the process's randomness; drawn when absent. */
  seed?: number
  /** File that events are recorded to. */
  record?: string
  /** Told of each broken invariant, beside the log. */
  broken?: (invariant: Invariant, detail: string) => void
}

/** A whole entry process. */
export interface EntryProcess {
  node: EntryNode
  platform: HttpPlatform
  /** Settles when the process has ended; rejects when its supervisor gave up. */
  ended: Promise<void>
  /** Settles with the operators' port, once it listens. */
  operatorPort: Promise<number>
  /** Settles with whether all in flight was let finish. */
  stop (): Promise<boolean>
  /** Ends at once, as a crash would. */
  crash (): void
}

const PEER_KEEP_ALIVE_MS = 60_000
const PEER_TIMEOUT_MS = 1000
const PROBE_TIMEOUT_MS = 1000
const SEED_SPAN = 2 ** 32
const STOP_POLL_MS = 100
const TRANSACTORS = 3

/** Builds and starts an entry. Ports that were 0 are chosen by the system before others are told of them. */
export async function startEntry (options: EntryProcessOptions): Promise<EntryProcess> {
  const { settings, log } = options
  const names = new HeaderNames(settings.backends.headerPrefix)
  const now = (): number => performance.now()
  const newId = (): string => randomBytes(12).toString('hex')
  const platform = new HttpPlatform(settings.platform)
  const claimPlatform = new HttpPlatform({ ...settings.platform, requestsPerSecond: settings.platform.claimsPerSecond })
  const counters = new Counters()
  const parts: { node?: EntryNode, callers?: CallerListener } = {}

  const callerPort = new HttpListener((request, response) => parts.callers!.listener(request, response), {
    host: settings.host, ...settings.callers
  })
  const peerPort = new HttpListener(peerListener({
    names,
    token: settings.peers.token,
    inbox: { received: (delivery) => parts.node!.received(delivery) },
    forwarded: (request, response) => parts.callers!.forwarded(request, response)
  }), { host: settings.host, port: settings.peers.port, keepAliveMs: PEER_KEEP_ALIVE_MS, headerBytes: 4 * settings.callers.headerBytes })
  const port = await callerPort.listen()
  const peer = await peerPort.listen()

  const seed = options.seed ?? randomInt(SEED_SPAN)
  const identity = { instance: settings.instance, zone: settings.zone, region: settings.region, host: settings.host, port, peerPort: peer }
  const core = new EntryCore({ identity, times: settings.lease, random: new SeededRandom(seed), watcher: invariantWatcher(options) })
  const recorder = options.record === undefined ? undefined : new EventRecorder(options.record, { seed, identity, times: settings.lease })
  const node = new EntryNode({ core, names, log, logDecisions: settings.log.decisions, now, counters, recorder })
  const callers = new CallerListener({ node, holdBytes: settings.callers.holdBytes })
  parts.node = node
  parts.callers = callers

  const refused = (instance: string, incarnation: string): void => node.handle({ kind: 'peer-gone', instance, incarnation })
  const { holdBytes } = settings.callers
  const { connectMs, probePath } = settings.backends
  const backends = new BackendClient({ names, connectMs, holdBytes, probePath, probeMs: PROBE_TIMEOUT_MS, now })
  const forwards = new ForwardClient({ names, connectMs, holdBytes, token: settings.peers.token, refused })
  const peers = new PeerClient({
    instance: settings.instance,
    incarnation: () => core.membership.incarnation,
    token: settings.peers.token,
    tokenHeader: names.token,
    timeoutMs: PEER_TIMEOUT_MS,
    refused
  })
  const transactor = new Transactor(platform.tables, (id, results) => node.handle({ kind: 'transacted', id, results }))
  const ledger = new ClaimLedger({
    tables: claimPlatform.tables,
    instance: settings.instance,
    newId,
    wallClock: () => Date.now(),
    answered: (request, result, earlier) => node.handle({ kind: 'claim-answered', request, result, earlier })
  })
  let left: () => void = () => {}
  const hasLeft = new Promise<void>((resolve) => {
    left = resolve
  })
  node.connect({
    backends,
    forwards,
    peers,
    platform: {
      transact: (id, transactions) => transactor.submit(id, transactions),
      claim: (request, service, key) => ledger.claim(request, service, key),
      settleClaim: (request, service, key, outcome) => ledger.settle(request, service, key, outcome)
    },
    control: () => ({
      platformRequests: platform.client.requests,
      platformBytes: platform.client.bytes,
      peerMessages: peers.messages,
      peerBytes: peers.bytes
    }),
    left
  })

  const watcher = supervisorWatcher(log)
  const branch = (name: string, children: Child[]): Supervisor => new Supervisor({ name, children, policy: RESTART_POLICY, watcher })
  const platformBranch = branch('platform', [
    ...Array.from({ length: TRANSACTORS }, (_, index) => transactor.worker(`transactor-${index}`)),
    ledger.claimWorker('claims'),
    ledger.outcomeWorker('claim-outcomes'),
    new ListWatcher(platform.instances, settings.platform.listMs, (change) => node.handle({ kind: 'listed', change }))
  ])
  const portBranch = branch('ports', [portKeeper('caller-port', callerPort), portKeeper('peer-port', peerPort)])
  const children: Child[] = [platformBranch, branch('decisions', [ticker(node)]), portBranch]
  const operatorPort = operatorPortOf(options, node, platform.tables, newId)
  let operatorsListen: (at: number) => void = () => {}
  const operatorAt = new Promise<number>((resolve) => {
    operatorsListen = resolve
  })
  if (operatorPort) {
    const listening = (at: number): void => {
      log.info({ port: at }, 'operators\' interface listens')
      operatorsListen(at)
    }
    children.push(branch('operators', [portKeeper('operator-port', operatorPort, listening)]))
  }
  const statsd = statsdOf(settings, log)
  if (statsd) children.push(branch('reports', [reporter(node, statsd, settings.metrics?.everyMs ?? 0)]))
  const root = branch('root', children)

  const close = async (): Promise<void> => {
    await root.stop().catch(() => {})
    backends.close()
    forwards.close()
    platform.close()
    claimPlatform.close()
    statsd?.close()
    await recorder?.close()
  }
  const ended = root.start()
  ended.catch(() => {})
  log.info({ instance: settings.instance, zone: settings.zone, port, peerPort: peer, seed }, 'entry started')

  return {
    node,
    platform,
    ended,
    operatorPort: operatorAt,
    stop: async () => {
      node.stopping = true
      node.handle({ kind: 'stop' })
      await withinTime(Promise.race([hasLeft, nothingLeftToDo(node)]), settings.stopMs)
      const { open } = node
      core.invariants.check('stop-cuts-nothing', open === 0, () => `${open} requests at the stop limit, ${core.stopProgress}`)
      const closed = Promise.all([callerPort.close(), peerPort.close()])
      if (open > 0 || !await withinTime(closed, settings.stopMs)) {
        callerPort.cut()
        peerPort.cut()
      }
      await close()
      log.info({ instance: settings.instance, cut: open, left: core.membership.phase === 'left' }, 'entry stopped')
      return open === 0
    },
    crash: () => {
      callerPort.cut()
      peerPort.cut()
      void callerPort.close()
      void peerPort.close()
      backends.close()
      forwards.close()
      void close()
    }
  }
}

function invariantWatcher (options: EntryProcessOptions): EntryOptions['watcher'] {
  return {
    broken: (invariant, detail) => {
      options.log.error({ invariant, detail }, 'invariant broken')
      options.broken?.(invariant, detail)
    }
  }
}

function supervisorWatcher (log: Logger): SupervisorWatcher {
  return {
    failed: (child, error, pauseMs) => log.warn({ child, err: error, pauseMs }, 'process failed and is started again'),
    gaveUp: (error) => log.fatal({ err: error }, 'a process failed too often; the entry stops')
  }
}

function operatorPortOf (
  options: EntryProcessOptions, node: EntryNode, tables: TableService, newId: () => string
): HttpListener | undefined {
  const { token, port } = options.settings.operators
  if (token === undefined) return undefined
  const accepted = (document: AcceptedDocument): void => node.handle({ kind: 'accepted', accepted: document })
  const listener = operatorListener({
    token, store: new ConfigurationStore(tables), members: new MemberStore(tables), status: () => node.status(), newId, accepted
  })
  return new HttpListener(listener, { host: options.settings.host, port })
}

function statsdOf (settings: Settings, log: Logger): StatsD | undefined {
  if (!settings.metrics) return undefined
  const { host, port } = settings.metrics
  return new StatsD({
    host,
    port,
    prefix: 'gooseberryspan.',
    globalTags: { instance: settings.instance },
    errorHandler: (error) => log.debug({ err: error }, 'metrics')
  })
}

/** Settles once nothing is in flight and only the table service, which is silent, has not been told. */
async function nothingLeftToDo (node: EntryNode): Promise<void> {
  const isDone = (): boolean => node.open === 0 && node.core.stopProgress === 'done'
  while (!isDone() || node.core.membership.tableReached(performance.now())) {
    await new Promise((resolve) => setTimeout(resolve, STOP_POLL_MS))
  }
}

async function withinTime (done: Promise<unknown>, ms: number): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined
  const late = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => resolve(false), Math.max(ms, STOP_POLL_MS))
  })
  const result = await Promise.race([done.then(() => true), late])
  clearTimeout(timer)
  return result
}
