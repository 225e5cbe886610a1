/** Records the traces under `tests/traces` from a real entry: `node tests/dist/record.js FOLDER`. */
import { join } from 'node:path'
import { Deployment, send, smallDocument, waitUntil } from './fixtures/deployment.js'

const folder = process.argv[2] ?? 'tests/traces'

interface Recording {
  name: string
  servers: number
  run (deployment: Deployment, call: (method: string) => Promise<number>): Promise<void>
}

async function repeatCall (call: (method: string) => Promise<number>, method: string, count: number): Promise<void> {
  for (let index = 0; index < count; index++) await call(method)
}

const RECORDINGS: Recording[] = [
  {
    name: 'server-slows-down',
    servers: 2,
    async run (deployment, call) {
      await repeatCall(call, 'GET', 6)
      deployment.backends[0]!.faults.pace = 100
      await repeatCall(call, 'GET', 8)
    }
  },
  {
    name: 'server-fails',
    servers: 2,
    async run (deployment, call) {
      await repeatCall(call, 'GET', 4)
      deployment.backends[1]!.faults.fail = true
      await repeatCall(call, 'GET', 8)
      await repeatCall(call, 'POST', 4)
    }
  },
  {
    name: 'server-turns-cold',
    servers: 1,
    async run (deployment, call) {
      await repeatCall(call, 'GET', 6)
      deployment.backends[0]!.makeCold()
      await Promise.all(Array.from({ length: 8 }, () => call('GET')))
    }
  },
  {
    name: 'server-drains',
    servers: 2,
    async run (deployment, call) {
      await repeatCall(call, 'GET', 4)
      const leaving = deployment.backends[0]!
      leaving.drain()
      deployment.register(leaving)
      await waitUntil(() => deployment.entries[0]!.node.core.catalog.get(leaving.id)?.state === 'draining')
      await repeatCall(call, 'GET', 6)
    }
  },
  {
    name: 'answers-cut-off',
    servers: 1,
    async run (deployment, call) {
      await repeatCall(call, 'POST', 3)
      deployment.backends[0]!.faults.answerFault = 'truncate'
      await repeatCall(call, 'POST', 3)
    }
  },
  {
    name: 'server-refuses',
    servers: 1,
    async run (deployment, call) {
      await repeatCall(call, 'POST', 2)
      deployment.backends[0]!.faults.shed = true
      await repeatCall(call, 'POST', 3)
    }
  },
  {
    name: 'store-down',
    servers: 1,
    async run (deployment, call) {
      await call('GET')
      deployment.store.faults.outage = 'reset'
      await waitUntil(() => deployment.entries[0]!.node.core.replication.maxAgeMs(performance.now()) > 2500)
      await repeatCall(call, 'GET', 4)
      deployment.store.faults.outage = undefined
      await waitUntil(() => deployment.entries[0]!.node.core.replication.maxAgeMs(performance.now()) < 500)
      await call('GET')
    }
  }
]

for (const recording of RECORDINGS) {
  const deployment = new Deployment()
  await deployment.start(
    smallDocument(), Array.from({ length: recording.servers }, () => ({})), ['a'], join(folder, `${recording.name}.jsonl`)
  )
  const statuses: number[] = []
  await recording.run(deployment, async (method) => {
    const { status } = await send(deployment.portOf(0), method, '/orders', {}, method === 'POST' ? 'order' : undefined)
    statuses.push(status)
    return status
  })
  await deployment.entries[0]!.stop()
  deployment.stop()
  process.stdout.write(`${recording.name}: ${statuses.join(' ')}\n`)
}
process.exit(0)
