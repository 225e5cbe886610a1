/** Rows of another writer among the registrations of backend servers. */
import { expect } from 'chai'
import { PlatformRowReader } from '@gooseberryspan/platform'
import { DefaultRowReader } from '@gooseberryspan/store'
import type { RowReader } from '@gooseberryspan/core'
import { Deployment, send, smallDocument, waitUntil } from './fixtures/deployment.js'

const DEPTH = 200_000
const NESTED = '['.repeat(DEPTH) + ']'.repeat(DEPTH)

/** How a format of rows states a sound registration, and which of its fields hold the address and the warm-up. */
interface RowFormat {
  name: string
  reader: RowReader
  sound: Record<string, unknown>
  address: (host: string, port: number) => Record<string, unknown>
  warmUp: string
}

const DEFAULT_FORMAT: RowFormat = {
  name: 'default',
  reader: new DefaultRowReader(),
  sound: { incarnation: '1', service: 'orders', host: '127.0.0.1', port: 8080, zone: 'a', slots: 2, state: 'ready', coldMs: 0 },
  address: (host, port) => ({ host, port }),
  warmUp: 'coldMs'
}
const PLATFORM_FORMAT: RowFormat = {
  name: 'platform',
  reader: new PlatformRowReader(),
  sound: { service: 'orders', address: '127.0.0.1:8080', zone: 'a', slots: 2, state: 'ready', warmup_left_ms: 0, born: 1 },
  address: (host, port) => ({ address: `${host}:${port}` }),
  warmUp: 'warmup_left_ms'
}

function oddValues ({ sound, address, warmUp }: RowFormat): Record<string, string> {
  const text = (changes: Record<string, unknown>): string => JSON.stringify({ ...sound, ...changes })
  return {
    'a list nested very deeply': NESTED,
    'objects nested very deeply': '{"a":'.repeat(DEPTH) + '1' + '}'.repeat(DEPTH),
    'a deeply nested list for its zone': text({ zone: 'NESTED' }).replace('"NESTED"', NESTED),
    'a number of slots beyond a double': text({}).replace('"slots":2', '"slots":1e400'),
    'more slots than a process can have': text({ slots: 2 ** 52 }),
    'a port above the range': text(address('127.0.0.1', 78_410)),
    'a port below the range': text(address('127.0.0.1', -1)),
    'an endless warm-up': text({ [warmUp]: 1e308 }),
    'a host that is too long for a datagram': text(address('1'.repeat(900_000), 8080)),
    'bytes that are no text': '\u0000\ufffd{',
    nothing: ''
  }
}

const ODD_KEYS = ['line\nbreak', '__proto__', 'k'.repeat(200), '\u00fc']

describe('odd rows among the registrations', () => {
  for (const format of [DEFAULT_FORMAT, PLATFORM_FORMAT]) {
    const { name, reader, sound } = format
    it(`should name no server (${name} format)`, () => {
      expect(reader.server({ key: 'sound', version: 1, value: JSON.stringify(sound) })).to.include({ port: 8080 })
      for (const [title, value] of Object.entries(oddValues(format))) {
        expect(reader.server({ key: 'odd', version: 1, value }), title).to.equal(undefined)
      }
    })
  }

  // Guards against entries that end, or no longer follow the list of servers, because of one row in it.
  it('should not keep entries from following the other rows', async () => {
    const deployment = new Deployment()
    const document = smallDocument()
    try {
      await deployment.start(document, [{}, {}], ['a', 'a', 'b'])
      const { engine } = deployment.store
      for (const [title, value] of Object.entries(oddValues(DEFAULT_FORMAT))) engine.put('servers', `odd: ${title}`, value)
      for (const key of ODD_KEYS) engine.put('servers', key, JSON.stringify({ ...DEFAULT_FORMAT.sound, port: 0 }))
      const joined = await deployment.startBackend(document, {})
      const [leaving] = deployment.backends
      leaving!.drain()
      deployment.register(leaving!)
      const late = await deployment.startEntry('late', 'b')
      await waitUntil(() => late.node.ready && deployment.entries.every(({ node: { core: { catalog } } }) =>
        catalog.get(joined.id) !== undefined && catalog.get(leaving!.id)?.state === 'draining'))
      for (const { ports, node } of deployment.entries) {
        expect(node.core.catalog.all().map(({ id }) => id)).to.have.members(deployment.backends.map(({ id }) => id))
        for (let count = 0; count < 4; count++) expect((await send(ports.callers, 'GET', '/orders')).status).to.equal(200)
      }
      expect(deployment.broken).to.deep.equal([])
    } finally {
      deployment.stop()
    }
  })
})
