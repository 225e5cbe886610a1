/** The links between machines: relays that pass what entries send to each other and to the store, and drop it while a link is cut. */
import { createSocket } from 'node:dgram'
import { connect, createServer } from 'node:net'

/**
 * A relay stands at the address under which the other entries know an entry, and one before the store for each entry. A TCP connection
 * between entries does not show which entry opened it, so it passes during a cut too: a cut here separates less than a real one.
 */
export class Links {
  dropped = 0
  #names = new Map()
  #cut = new Set()
  #held = new Map()
  #closers = []

  /** Passes datagrams and connections for an entry from the address that it announces to the one at which it listens. */
  async addEntry ({ name, announced, actual, port }) {
    this.#names.set(actual, name)
    const inbound = createSocket('udp4')
    inbound.on('error', () => {})
    inbound.on('message', (data, { address }) => {
      if (this.#cut.has(`${this.#names.get(address)} ${name}`)) this.dropped += 1
      else inbound.send(data, port, actual, () => {})
    })
    await new Promise((resolve) => inbound.bind(port, announced, resolve))
    const server = await this.#listen(port, announced, (socket) => {
      const onward = connect(port, actual)
      for (const each of [socket, onward]) each.on('error', () => {})
      socket.pipe(onward).pipe(socket)
      socket.on('close', () => onward.destroy())
      onward.on('close', () => socket.destroy())
    })
    this.#closers.push(() => inbound.close(), () => server.close())
  }

  /** Resolves with the address at which an entry reaches the store. */
  async addStore ({ name, host, storeAddress }) {
    const [storeHost, storePort] = storeAddress.split(':')
    const key = `${name} store`
    const server = await this.#listen(0, host, (socket) => {
      const onward = connect(storePort, storeHost)
      const pass = (from, to) => {
        from.on('error', () => {})
        from.on('close', () => to.destroy())
        from.on('data', (data) => {
          const held = this.#held.get(key)
          if (held) held.push([to, data])
          else to.write(data)
        })
      }
      pass(socket, onward)
      pass(onward, socket)
    })
    this.#closers.push(() => server.close())
    return `${host}:${server.address().port}`
  }

  /** Cuts an entry off from other entries, and from the store. What is on its way to or from the store is held up until the cut ends. */
  cut (name, others) {
    for (const other of others) this.#cut.add(`${name} ${other}`).add(`${other} ${name}`)
    this.#held.set(`${name} store`, [])
  }

  heal () {
    this.#cut.clear()
    const held = [...this.#held.values()].flat()
    this.#held.clear()
    for (const [to, data] of held) to.write(data)
  }

  close () {
    for (const close of this.#closers) close()
  }

  #listen (port, host, accept) {
    const server = createServer(accept)
    return new Promise((resolve, reject) => server.once('error', reject).listen(port, host, () => resolve(server)))
  }
}
