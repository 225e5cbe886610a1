/** Passes what entries send each other, and drops the datagrams between two zones while they are cut off from each other. */
import { createSocket } from 'node:dgram'
import { connect, createServer } from 'node:net'

/**
 * One relay stands before the peer port of each entry, at the address under which the other entries know it. A TCP connection does not show
 * which entry opened it, so connections pass during a cut too: entries that are cut off reach each other better than behind a real cut.
 */
export class Relays {
  #relays = []
  #zoneOfSender = new Map()
  #cut = new Set()
  dropped = 0

  async add ({ announced, actual, port, zone }) {
    this.#zoneOfSender.set(actual, zone)
    const inbound = createSocket('udp4')
    inbound.on('error', () => {})
    inbound.on('message', (data, { address }) => {
      if (this.#cut.has(`${this.#zoneOfSender.get(address)} ${zone}`)) this.dropped += 1
      else inbound.send(data, port, actual, () => {})
    })
    await new Promise((resolve) => inbound.bind(port, announced, resolve))
    const server = createServer((socket) => {
      const onward = connect(port, actual)
      for (const each of [socket, onward]) each.on('error', () => {})
      socket.pipe(onward).pipe(socket)
      socket.on('close', () => onward.destroy())
      onward.on('close', () => socket.destroy())
    })
    await new Promise((resolve) => server.listen(port, announced, resolve))
    this.#relays.push({ inbound, server })
  }

  /** Cuts two zones off from each other. */
  cut (zone, otherZone) {
    this.#cut.add(`${zone} ${otherZone}`).add(`${otherZone} ${zone}`)
  }

  heal () {
    this.#cut.clear()
  }

  close () {
    for (const { inbound, server } of this.#relays) {
      inbound.close()
      server.close()
    }
  }
}
