/** The UDP port for messages between entries. */
import { createSocket, type Socket } from 'node:dgram'
import type { Member, PeerAddress, PeerMessage } from '@gooseberryspan/core'
import { decodeDatagram, encodeDatagrams, type Envelope } from './datagramCodec.js'

/** Options of a `DatagramPort`. */
export interface DatagramPortOptions {
  host: string
  port: number
  token: string | undefined
  self: () => Pick<Member, 'instance' | 'incarnation'>
  received: (envelope: Envelope) => void
  /** Called with the messages that were sent to an entry together, and their size. */
  onSent?: (to: Member, messages: readonly PeerMessage[], bytes: number) => void
}

/** Messages to one entry that are sent together, at the latest when the current event has been handled. */
interface Batch {
  to: Member
  messages: PeerMessage[]
}

/** Sends and receives datagrams. Lost datagrams are not retransmitted: a sender that needs an answer repeats its message itself. */
export class DatagramPort {
  messages = 0
  bytes = 0
  /** Number of datagrams that were malformed or carried a wrong token. */
  refused = 0
  private readonly _options: DatagramPortOptions
  private readonly _batches = new Map<string, Batch>()
  private _socket: Socket | undefined

  constructor (options: DatagramPortOptions) {
    this._options = options
  }

  /** Starts listening unless it already listens. Resolves with the port, which the system chooses if the configured port is 0. */
  listen (): Promise<number> {
    if (this._socket) return Promise.resolve(this._socket.address().port)
    return new Promise((resolve, reject) => {
      const socket = createSocket('udp4')
      const failed = (error: Error): void => {
        socket.close()
        reject(error)
      }
      socket.once('error', failed)
      socket.on('message', (data) => this._receive(data))
      socket.bind(this._options.port, this._options.host, () => {
        socket.off('error', failed)
        socket.on('error', () => {})
        // A socket that is not bound would send from a port of its own.
        this._socket = socket
        resolve(socket.address().port)
      })
    })
  }

  /** Queues a message for the next datagram to an entry. */
  send (to: Member, message: PeerMessage): void {
    const batch = this._batches.get(to.instance)
    if (batch) batch.messages.push(message)
    else this._batches.set(to.instance, { to, messages: [message] })
  }

  /** Sends a message immediately to an address, without knowing which entry listens there. */
  sendTo ({ host, port }: PeerAddress, message: PeerMessage): void {
    this._write(host, port, [message])
  }

  /** Sends all queued messages. */
  flush (): void {
    if (this._batches.size === 0) return
    // A batch that cannot be sent is dropped like a lost datagram, and must not be tried again after each event.
    const batches = [...this._batches.values()]
    this._batches.clear()
    for (const { to, messages } of batches) {
      const bytes = this._write(to.host, to.peerPort, messages)
      this._options.onSent?.(to, messages, bytes)
    }
  }

  async close (): Promise<void> {
    this._socket?.close()
    this._socket = undefined
  }

  /** Returns the number of bytes sent. */
  private _write (host: string, port: number, messages: PeerMessage[]): number {
    let bytes = 0
    this.messages += messages.length
    for (const data of encodeDatagrams(this._options.self(), messages, this._options.token)) {
      bytes += data.length
      this._socket?.send(data, port, host, () => {})
    }
    this.bytes += bytes
    return bytes
  }

  private _receive (data: Buffer): void {
    const envelope = decodeDatagram(data, this._options.token)
    if (envelope) this._options.received(envelope)
    else this.refused += 1
  }
}
