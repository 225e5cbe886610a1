/** Injects the faults of a plan. */
import { createSocket } from 'node:dgram'
import { connect, createServer, type Server, type Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import type { BackendServer } from './backendServer.js'
import type { EntryInstance } from './entryInstance.js'
import type { Gateway } from './gateway.js'
import type { RunContext } from './ledger.js'
import { formatFault, type Fault, type PortName } from './plan.js'
import type { PlatformStore } from './platformStore.js'

/** What faults are injected into. */
export interface InjectorOptions extends RunContext {
  instances: readonly EntryInstance[]
  servers: readonly BackendServer[]
  store: PlatformStore
  gateway: Gateway
  /** Lets many callers press for a while. */
  press: (forMs: number) => Promise<void>
}

const ROLL_GAP_MS = 700
const OVERLAP_MS = 300
const HANG_UP_GAP_MS = 40
/** More than the descriptors of an instance. */
const IDLE_CONNECTIONS = 4300
const FEW_IDLE_CONNECTIONS = 1500
/** An idle-connections fault that lasts longer than this uses up the descriptors. */
const LONG_FAULT_MS = 2000
const OPEN_BATCH = 100
const NOISE = [
  'GET // HTTP/1.1\r\nHost: x\r\n\r\n', '\u0000\u0001\u0002', `GET /${'a'.repeat(30_000)}`, 'POST / HTTP/1.1\r\nContent-Length: 9e9\r\n\r\n'
]

/** Injects faults one by one; each ends by itself. */
export class Injector {
  private readonly _options: InjectorOptions
  private readonly _holders = new Set<Server>()

  constructor (options: InjectorOptions) {
    this._options = options
  }

  /** Injects a fault. Resolves when it has ended. */
  async inject (fault: Fault): Promise<void> {
    const { report, store, gateway, servers, press } = this._options
    report.note(`fault: ${formatFault(fault)}`)
    switch (fault.kind) {
      case 'store': return await this._during('store', fault.forMs, (active) => store.setFault(fault.how, active))
      case 'backend': {
        const server = servers[fault.server]!
        return await this._during(server.name, fault.forMs, (active) => server.setFault(fault.how, active))
      }
      case 'change': return await gateway.change(fault.how)
      case 'press': return await press(fault.forMs)
      case 'kill-all': return void await Promise.all(this._options.instances.map((instance) => instance.replace('kill')))
      case 'roll': return await this._roll()
      default: return await this._injectInto(this._options.instances[fault.entry]!, fault)
    }
  }

  /** Holds a port as another process of the instance would. Resolves with whether it was free. */
  async hold (instance: EntryInstance, port: PortName): Promise<Server | undefined> {
    const holder = createServer((socket) => socket.on('error', () => {}))
    const isHeld = await new Promise<boolean>((resolve) => {
      holder.once('error', () => resolve(false))
      holder.listen(instance.ports[port], instance.host, () => resolve(true))
    })
    if (!isHeld) return undefined
    instance.heldPorts.add(port)
    this._holders.add(holder)
    return holder
  }

  close (): void {
    for (const holder of this._holders) holder.close()
  }

  private async _injectInto (instance: EntryInstance, fault: Extract<Fault, { entry: number }>): Promise<void> {
    const entry = instance.current
    switch (fault.kind) {
      case 'stop':
      case 'kill': return await instance.replace(fault.kind)
      case 'stop-overlapped': {
        const stopped = instance.stop()
        await pause(OVERLAP_MS)
        instance.start()
        return await stopped
      }
      case 'pause': {
        if (!entry?.alive || entry.paused) return
        return await this._during(instance.name, fault.forMs, (active) => {
          entry.paused = active
          entry.signal(active ? 'SIGSTOP' : 'SIGCONT')
        })
      }
      case 'hang-up': {
        for (let count = 0; count < fault.count; count++) {
          // Node itself needs some time before the program can set a handler.
          if (instance.current?.handlesHangUp) instance.current.signal('SIGHUP')
          await pause(HANG_UP_GAP_MS)
        }
        return
      }
      case 'held-port': return await this._holdPort(instance, fault.port, fault.forMs)
      case 'slow-log-reader':
        entry?.pauseLogReader(true)
        await pause(fault.forMs)
        return entry?.pauseLogReader(false)
      case 'lost-log-reader': return entry?.closeLogReader()
      case 'idle-connections': {
        const sockets: Socket[] = []
        await this._during(instance.name, fault.forMs, (active) => {
          if (active) void openIdle(instance, sockets, fault.forMs > LONG_FAULT_MS ? IDLE_CONNECTIONS : FEW_IDLE_CONNECTIONS)
          else for (const socket of sockets) socket.destroy()
        })
        return
      }
      case 'noise': for (let count = 0; count < fault.count; count++) await makeNoise(instance, NOISE[count % NOISE.length]!)
    }
  }

  private async _holdPort (instance: EntryInstance, port: PortName, forMs: number): Promise<void> {
    await instance.kill()
    const holder = await this.hold(instance, port)
    if (!holder) this._options.report.note(`${instance.name}: port ${port} is not free`)
    await instance.restart()
    await pause(forMs)
    holder?.close()
    if (holder) instance.heldPorts.delete(port)
  }

  private async _roll (): Promise<void> {
    const stops: Array<Promise<void>> = []
    for (const instance of this._options.instances) {
      stops.push(instance.replace('stop'))
      await pause(ROLL_GAP_MS)
    }
    await Promise.all(stops)
  }

  private async _during (target: string, forMs: number, set: (active: boolean) => unknown): Promise<void> {
    const { disturbances, report } = this._options
    const end = disturbances.begin(target, report.now)
    await set(true)
    await pause(forMs)
    await set(false)
    end(report.now)
  }
}

async function openIdle (instance: EntryInstance, sockets: Socket[], count: number): Promise<void> {
  for (let index = 0; index < count; index++) {
    const socket = connect({ host: instance.host, port: instance.ports.callers })
    socket.on('error', () => {})
    sockets.push(socket)
    if (index % OPEN_BATCH === 0) await pause(5)
  }
}

/** Sends bytes that are no message to the ports for peers, the directory, readiness and metrics. */
async function makeNoise (instance: EntryInstance, bytes: string): Promise<void> {
  const datagram = createSocket('udp4')
  datagram.send(bytes, instance.ports.peers, instance.host, () => datagram.close())
  for (const name of ['peers', 'directory', 'ready', 'metrics'] as const) {
    const socket = connect({ host: instance.host, port: instance.ports[name] })
    socket.on('error', () => {})
    socket.write(bytes, 'latin1')
    await pause(20)
    socket.destroy()
  }
}
