/**
 * Bytes from outside: none may end a process or leave the next request without an answer.
 * The seed is fixed; FUZZ_RUNS sets the number of inputs.
 */
import { expect } from 'chai'
import fc from 'fast-check'
import { Packr } from 'msgpackr/pack'
import { EntryCore, SeededRandom, ThrowingReporter, type Event, type RegisteredServer } from '@gooseberryspan/core'
import { checkSettings, decodeAddressBook, decodeDatagram, DirectoryListener, HttpListener } from '@gooseberryspan/entry'
import { PlatformDialect, PlatformRowReader } from '@gooseberryspan/platform'
import { DefaultRowReader } from '@gooseberryspan/store'
import { Deployment, HOST, openRaw, REQUEST_ID, send, smallDocument, waitUntil } from './fixtures/deployment.js'
import { TOLERANCES } from './fixtures/cluster.js'

const SEED = 20_261_205
const RUNS = Number(process.env.FUZZ_RUNS ?? 2000)
const packr = new Packr({ useRecords: false, mapsAsObjects: true })

const check = <T>(arbitrary: fc.Arbitrary<T>, test: (value: T) => void, runs = RUNS): void =>
  fc.assert(fc.property(arbitrary, test), { seed: SEED, numRuns: runs })

const MEMBER = ['other', 1, 'a', 'h', 80, 81, 1, 1, true, 1, 0, true]
const SERVER = ['s1', '1', 's', 'h', 8080, 'a', 2, 'ready', 0, 1]
const RELAY = { from: 'a', to: 'z' }
/** A message of each kind as it is encoded, in the order of the kinds. */
const SOUND_MESSAGES: unknown[][] = [
  [0, 1, 2, [MEMBER], 'here', 3],
  [1, 1, 2, [], [1, 2], 'here'],
  [2, [MEMBER]],
  [3, [1, 2], [3, 4], [5, 6]],
  [4, [1, 2]],
  [5, [{ table: 'servers', version: 3, ageMs: 0 }], RELAY],
  [6, 'servers', 0, 4, 0, [{ key: 'k', version: 1, value: '{}' }], RELAY],
  [7, 1, 'label', 's', 's', 'r', 'first', 1, 200, 100, 500, 500, ['s2'], 10],
  [8, 1, SERVER, 20, { ageMs: 1, running: 1, waiting: 0, pace: 1 }],
  [9, [1, 2]],
  [10, 1, 'overload', 30, 's'],
  [11, 's', 's/0', 100, 3],
  [12, 1, 's', 'r', 's1', { outcome: 'answered', tookMs: 3, load: { running: 1, waiting: 0, slots: 2, pace: 1 } }],
  [13, [1]],
  [14, [1]],
  [15, [1]],
  [16, 's1', '1']
]

/** A sound message, or one with a field of any kind in the place of another. */
const oddMessage: fc.Arbitrary<unknown[]> = fc.tuple(fc.constantFrom(...SOUND_MESSAGES), fc.nat(13), fc.option(fc.oneof(
  fc.integer({ min: -5, max: 20 }), fc.double(), fc.string(), fc.object(), fc.constant([null]), fc.constant([{}]),
  fc.array(fc.oneof(fc.integer(), fc.string(), fc.double()))
))).map(([sound, at, field]) => field === null ? sound : sound.map((value, index) => index === at ? field : value))

/** Any byte; those that end or divide parts of a head more often. */
const anyByte = fc.oneof(fc.nat(255), fc.constantFrom(...Buffer.from(' \t\f\r\n:/\0')))

/** A text with some of its characters replaced, removed or doubled. */
function damaged (text: string): fc.Arbitrary<string> {
  const edit = fc.record({ at: fc.nat(text.length - 1), kind: fc.constantFrom('replace', 'remove', 'double'), byte: anyByte })
  return fc.array(edit, { minLength: 1, maxLength: 4 }).map((edits) => {
    let result = text
    for (const { at, kind, byte } of edits) {
      const character = kind === 'remove' ? '' : kind === 'replace' ? String.fromCharCode(byte) : text[at]!.repeat(2)
      result = result.slice(0, at) + character + result.slice(at + 1)
    }
    return result
  })
}

function expectUsable ({ id, host, port, slots, coldMs }: RegisteredServer): void {
  expect(id).to.match(/^[!-~]+$/)
  expect(host).to.match(/^[!-~]+$/)
  expect(Number.isInteger(port) && port > 0 && port < 65_536).to.equal(true)
  expect(Number.isInteger(slots) && slots > 0 && slots < 1e6).to.equal(true)
  expect(coldMs >= 0 && coldMs < 1e9).to.equal(true)
}

describe('fuzzed input', () => {
  const SOUND_ROWS = [
    '{"service":"s1","address":"10.128.0.9:8080","zone":"z","slots":2,"state":"ready","warmup_left_ms":40,"born":1768123340169}',
    '{"incarnation":"1","service":"s","host":"10.0.0.1","port":8080,"zone":"a","slots":2,"state":"ready","coldMs":0}'
  ]
  const readers = [new PlatformRowReader(), new DefaultRowReader()]

  it('should name a server in range or none (rows)', () => {
    const values = fc.oneof(...SOUND_ROWS.map(damaged), fc.json(), fc.string())
    check(fc.tuple(fc.string(), values), ([key, value]) => {
      for (const reader of readers) {
        const server = reader.server({ key, version: 1, value })
        if (server) expectUsable(server)
        reader.declaration({ key, version: 1, value })
        reader.declaration({ key: 'config', version: 1, value })
        reader.declaration({ key: 'gateway', version: 1, value })
      }
      decodeAddressBook(value)
    })
  })

  it('should read a load or none (answer headers)', () => {
    const dialect = new PlatformDialect()
    check(fc.oneof(damaged('3,1,8,400'), fc.string()), (text) => {
      const load = dialect.parseLoadReport(text, 'answer')
      if (!load) return
      expect(Object.values(load).every(Number.isFinite)).to.equal(true)
      expect([load.running >= 0, load.waiting >= 0, load.slots >= 1, load.pace > 0]).to.deep.equal([true, true, true, true])
    })
  })

  it('should accept settings or name the fault (settings)', () => {
    check(fc.anything(), (value) => {
      try {
        checkSettings(value)
      } catch (error) {
        expect((error as Error).constructor.name).to.equal('InvalidSettings')
      }
    })
  })

  it('should decode a message whose fields have their types, or none (datagrams)', () => {
    const core = new EntryCore({
      identity: { instance: 'here', incarnation: 1, zone: 'a', host: 'h', port: 1, peerPort: 2, cores: 1 },
      seeds: [],
      tolerances: TOLERANCES,
      reader: new DefaultRowReader(),
      random: new SeededRandom(1),
      watcher: new ThrowingReporter(),
      lapseMs: 1000,
      lingerMs: 100
    })
    let now = 0
    const handle = (event: Event): void => {
      now += 1
      core.handle(event, now)
    }
    const datagrams = fc.oneof(
      fc.array(oddMessage, { maxLength: 4 }).map((messages) => packr.pack(['other', 1, null, messages])),
      fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes))
    )
    const { messages: [greeting] } = decodeDatagram(packr.pack(['other', 1, null, [SOUND_MESSAGES[2]]]), undefined)!
    let decodedCount = 0
    check(datagrams, (data) => {
      const envelope = decodeDatagram(data, undefined)
      if (!envelope) return
      decodedCount += envelope.messages.length
      const { from, incarnation, messages } = envelope
      for (const message of [greeting!, ...messages]) handle({ kind: 'received', from, incarnation, message })
      handle({ kind: 'tick' })
    })
    expect(decodedCount).to.be.above(0)
  })

  for (const [title, sound] of [
    ['a caller\'s head', `POST /orders HTTP/1.1\r\nhost: x\r\n${REQUEST_ID}: m\r\ncontent-length: 1\r\nkeep-alive: 5\r\n\r\nx`],
    ['a question to the directory', 'GET /v1/addresses?zone=a&service=orders HTTP/1.1\r\nhost: x\r\n\r\n'],
    ['another question to the directory', 'GET /?zone=a HTTP/1.1\r\nhost: x\r\n\r\n']
  ] as const) {
    it(`should answer the next request after ${title}`, async () => {
      const deployment = new Deployment()
      try {
        await deployment.start(smallDocument(), [{}], ['a'])
        const { node } = deployment.entries[0]!
        const directory = new HttpListener(new DirectoryListener({ node, keepSeconds: 1 }).listener, {
          host: HOST, port: 0, headerMs: 1000, idleMs: 1000
        })
        const port = title.includes('directory') ? await directory.listen() : deployment.portOf(0)
        for (const text of fc.sample(damaged(sound), { seed: SEED, numRuns: RUNS / 10 })) {
          const { socket, received } = openRaw(port, text)
          setTimeout(() => socket.end(), 5)
          await waitUntil(() => received() !== '' || socket.destroyed)
          socket.destroy()
        }
        expect((await send(port, 'GET', title.includes('directory') ? '/healthz' : '/orders')).status).to.equal(200)
        void directory.close()
        expect(deployment.broken).to.deep.equal([])
      } finally {
        deployment.stop()
      }
    })
  }

  it('should pass on a whole answer or none (a server\'s head)', async () => {
    const deployment = new Deployment()
    try {
      await deployment.start(smallDocument(), [{}], ['a'])
      const { faults } = deployment.backends[0]!
      faults.answerFault = 'damaged'
      for (const [index, edit] of fc.sample(fc.tuple(fc.nat(220), anyByte), { seed: SEED, numRuns: RUNS / 10 }).entries()) {
        faults.damage = { at: edit[0], byte: edit[1] }
        const sent = send(deployment.portOf(0), 'POST', '/orders', { [REQUEST_ID]: `m${index}`, 'gooseberryspan-deadline-ms': '150' }, 'x')
        await sent.catch(() => undefined)
      }
      faults.answerFault = undefined
      expect((await send(deployment.portOf(0), 'GET', '/orders')).status).to.equal(200)
      expect(deployment.broken).to.deep.equal([])
    } finally {
      deployment.stop()
    }
  })
})
