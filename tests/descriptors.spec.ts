/** Descriptors: callers may not take all that the process has. */
import { expect } from 'chai'
import { ConnectionLimit, DescriptorBudget, LossReport, parseDescriptorLimit, readDescriptorLimit } from '@gooseberryspan/entry'
import { pino } from 'pino'
import { Deployment, openRaw, send, smallDocument, useDeployment, waitUntil, type RawConnection } from './fixtures/deployment.js'
import { EntryProgram } from './fixtures/entryProgram.js'

/** A connection that records whether it was closed. */
class RecordedConnection {
  closed = false

  destroy (): void {
    this.closed = true
  }
}

function filledLimit (count: number) {
  const losses: string[] = []
  const limit = new ConnectionLimit<RecordedConnection>({ maxConnections: count, onClosed: (loss) => losses.push(loss) })
  const connections = Array.from({ length: count }, () => new RecordedConnection())
  for (const connection of connections) limit.add(connection)
  return { limit, losses, connections }
}

describe('connection limit', () => {
  it('should close the connection that has been idle longest', () => {
    const { limit, losses, connections } = filledLimit(3)
    limit.markBusy(connections[0]!)
    limit.markIdle(connections[0]!)
    expect(limit.add(new RecordedConnection())).to.equal(true)
    expect(connections.map(({ closed }) => closed)).to.deep.equal([false, true, false])
    expect(losses).to.deep.equal(['idle'])
  })

  it('should refuse a new connection rather than close one with a request', () => {
    const { limit, losses, connections } = filledLimit(2)
    for (const connection of connections) limit.markBusy(connection)
    const late = new RecordedConnection()
    expect(limit.add(late)).to.equal(false)
    expect(late.closed).to.equal(true)
    expect(connections.map(({ closed }) => closed)).to.deep.equal([false, false])
    expect(losses).to.deep.equal(['refused'])
  })

  it('should give the place of a closed connection to a new one', () => {
    const { limit, losses, connections } = filledLimit(2)
    for (const connection of connections) limit.markBusy(connection)
    limit.remove(connections[0]!)
    limit.markIdle(connections[0]!)
    expect(limit.add(new RecordedConnection())).to.equal(true)
    expect(limit.size).to.equal(2)
    expect(losses).to.deep.equal([])
  })
})

describe('descriptor budget', () => {
  it('should leave a quarter of the connections to servers, the store and other entries', () => {
    for (const descriptors of [64, 256, 1024, 4100]) {
      const budget = new DescriptorBudget(descriptors)
      const ports = ['callers', 'directory', 'ready', 'peers', 'operators', 'metrics'] as const
      const taken = ports.reduce((sum, port) => sum + budget.connectionsOf(port), 0)
      expect(taken).to.be.at.most((descriptors - Math.min(200, descriptors / 4)) * 3 / 4)
    }
  })

  it('should read the limit that the system states', () => {
    expect(parseDescriptorLimit('Max processes  10  10  processes\nMax open files  4100  8192  files\n')).to.equal(4100)
    expect(parseDescriptorLimit('Max open files            unlimited            unlimited  files\n')).to.equal(Infinity)
    expect(parseDescriptorLimit('')).to.equal(undefined)
    expect(readDescriptorLimit(50)).to.equal(50)
  })
})

describe('loss report', () => {
  it('should log many losses in one line a second', () => {
    const lines: string[] = []
    let now = 0
    const report = new LossReport({ log: pino({ base: null }, { write: (line: string) => lines.push(line) }), now: () => now })
    for (; now < 2000; now += 1) report.record('connection-closed', 'callers: refused')
    expect(lines.map((line) => (JSON.parse(line) as { count: number }).count)).to.deep.equal([1, 1000])
    expect(report.totalOf('connection-closed')).to.equal(2000)
  })
})

describe('entry process with few descriptors', () => {
  const DESCRIPTORS = 128
  let deployment: Deployment
  useDeployment((provided) => {
    deployment = provided
    return deployment.start(smallDocument(), [{}, {}], [])
  })

  let entry: EntryProgram
  let connections: RawConnection[] = []
  afterEach(() => {
    entry.dispose()
    for (const { socket } of connections.splice(0)) socket.destroy()
  })

  // Guards against an end with EMFILE, since Node opens the files of all modules that become known together at once.
  it('should start with fewer descriptors than it has modules', async () => {
    entry = new EntryProgram({ url: deployment.url, descriptors: 112 })
    await entry.started()
    expect(entry.isRunning).to.equal(true)
  })

  it('should answer on all ports while callers hold more connections than it has descriptors', async () => {
    entry = new EntryProgram({ url: deployment.url, descriptors: DESCRIPTORS })
    const ports = await entry.started()
    while ((await send(ports.callers!, 'GET', '/orders/1')).status !== 200) await new Promise((resolve) => setTimeout(resolve, 50))
    connections = Array.from({ length: 3 * DESCRIPTORS }, () => openRaw(ports.callers!))
    await waitUntil(() => connections.filter(({ socket }) => socket.destroyed).length > DESCRIPTORS)
    for (let count = 0; count < 20; count++) {
      expect((await send(ports.callers!, 'GET', '/orders/1')).status).to.equal(200)
      const metrics = await send(ports.metrics!, 'GET', '/metrics')
      expect(Number(/^gooseberryspan_connections_closed (\d+)/m.exec(metrics.text)![1])).to.be.above(DESCRIPTORS)
    }
    expect(entry.isRunning).to.equal(true)
    expect(entry.decisions('connection-closed').length).to.be.within(1, 10)
  })
})
