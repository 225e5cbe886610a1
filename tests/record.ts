/** Records the traces under `tests/traces` from a real entry: `node tests/dist/record.js FOLDER`. */
import { join } from 'node:path'
import { Deployment, send, smallDocument, until } from './fixtures/deployment.js'

const folder = process.argv[2] ?? 'tests/traces'
const POST = { 'x-mark': 'order' }

interface Story {
  name: string
  document?: Record<string, unknown>
  servers: number
  run (deployment: Deployment, call: (method: string, headers?: Record<string, string>) => Promise<number>): Promise<void>
}

const STORIES: Story[] = [
  {
    name: 'server-slows-down',
    document: { kinds: [{ name: 'check', methods: ['GET'], idempotent: true, hedgeAfterMs: 40 }], retryRatio: 1 },
    servers: 2,
    async run (deployment, call) {
      for (let count = 0; count < 20; count++) await call('GET')
      deployment.backends[0]!.faults.slowFactor = 100
      for (let count = 0; count < 12; count++) await call('GET')
    }
  },
  {
    name: 'server-fails-fast',
    servers: 2,
    async run (deployment, call) {
      for (let count = 0; count < 12; count++) await call('GET')
      deployment.backends[1]!.faults.failFast = true
      for (let count = 0; count < 20; count++) await call('GET')
    }
  },
  {
    name: 'server-turns-cold',
    document: { slots: 4, retryRatio: 1 },
    servers: 1,
    async run (deployment, call) {
      for (let count = 0; count < 30; count++) await call('GET')
      deployment.backends[0]!.turnCold()
      await Promise.all([1, 2, 3, 4].map(() => call('GET')))
    }
  },
  {
    name: 'server-drains',
    servers: 2,
    async run (deployment, call) {
      for (let count = 0; count < 8; count++) await call('GET')
      deployment.backends[0]!.drain()
      deployment.platform.instances.put(deployment.backends[0]!.listed())
      await until(() => deployment.held === 1)
      for (let count = 0; count < 8; count++) await call('GET')
    }
  },
  {
    name: 'answers-cut-off',
    servers: 1,
    async run (deployment, call) {
      for (let count = 0; count < 4; count++) await call('POST', POST)
      deployment.backends[0]!.faults.truncate = true
      for (let count = 0; count < 3; count++) await call('POST', POST)
    }
  },
  {
    name: 'table-down',
    servers: 1,
    async run (deployment, call) {
      await call('GET')
      deployment.platform.tableFaults.down = true
      await until(() => deployment.entries[0]!.node.core.membership.tableSilentMs(performance.now()) > 4000)
      for (let count = 0; count < 4; count++) await call('GET')
      await call('POST', { 'idempotency-key': 'k1' })
      deployment.platform.tableFaults.down = false
    }
  },
  {
    name: 'process-pauses',
    servers: 1,
    async run (deployment, call) {
      for (let count = 0; count < 4; count++) await call('GET')
      deployment.platform.tableFaults.down = true
      const wake = performance.now() + 3500
      while (performance.now() < wake);
      await call('GET')
      deployment.platform.tableFaults.down = false
      await until(() => deployment.entries[0]!.node.ready)
      await call('GET')
    }
  }
]

for (const story of STORIES) {
  const deployment = new Deployment()
  const servers = Array.from({ length: story.servers }, () => ({ zone: 'a' }))
  await deployment.start(smallDocument(story.document), servers, ['a'], join(folder, `${story.name}.jsonl`))
  const statuses: number[] = []
  await story.run(deployment, async (method, headers = {}) => {
    const { status } = await send(deployment.portOf(0), method, '/orders', headers, method === 'POST' ? 'order' : undefined)
    statuses.push(status)
    return status
  })
  await deployment.entries[0]!.stop()
  deployment.stop()
  process.stdout.write(`${story.name}: ${statuses.join(' ')}\n`)
}
process.exit(0)
