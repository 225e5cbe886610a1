/** The operator's command line against a running entry. */
import { expect } from 'chai'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { EXIT, run } from '@gooseberryspan/operator'
import { Deployment, smallDocument, OPERATOR_TOKEN, waitUntil } from './fixtures/deployment.js'

describe('operator', () => {
  let folder: string
  let deployment: Deployment
  let printed: string

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'operator-'))
    process.env.GOOSEBERRYSPAN_TOKEN = OPERATOR_TOKEN
    deployment = new Deployment()
    await deployment.start(smallDocument(), [{}], ['a'])
  })

  afterEach(() => {
    deployment.stop()
    rmSync(folder, { recursive: true })
    delete process.env.GOOSEBERRYSPAN_TOKEN
  })

  function file (name: string, text: string): string {
    const path = join(folder, name)
    writeFileSync(path, text)
    return path
  }

  /** Runs one command and keeps what it prints. */
  async function command (...args: string[]): Promise<number> {
    const write = process.stdout.write
    const writeError = process.stderr.write
    printed = ''
    const keep = ((text: string) => {
      printed += text
      return true
    }) as typeof process.stdout.write
    process.stdout.write = keep
    process.stderr.write = keep
    try {
      return await run(['--json', '--entry', `http://127.0.0.1:${deployment.entries[0]!.ports.operators}`, ...args])
    } finally {
      process.stdout.write = write
      process.stderr.write = writeError
    }
  }

  const document = (changes = {}): string => JSON.stringify(smallDocument(changes))

  it('should put a document into force and name its revision', async () => {
    expect(await command('apply', file('d.yaml', document({ coldMs: 500 })))).to.equal(EXIT.done)
    expect(JSON.parse(printed)).to.include({ outcome: 'accepted', revision: 2 })
    await waitUntil(() => deployment.entries[0]!.node.core.declarations.service('orders')?.coldMs === 500)
  })

  it('should refuse a document that is wrong, with every reason', async () => {
    expect(await command('apply', file('d.yaml', 'zones: []\nservices: 1\n'))).to.equal(EXIT.refused)
    expect(printed).to.include('zones').and.to.include('services')
  })

  it('should refuse a change on a revision that is not in force', async () => {
    expect(await command('apply', '--expect', '7', file('d.yaml', document()))).to.equal(EXIT.refused)
    expect(JSON.parse(printed)).to.include({ revision: 1 })
  })

  it('should find what is declared in vain or in contradiction, and what differs', async () => {
    const kinds = [
      { name: 'check', methods: ['GET'], idempotent: true, targetMs: 9000, deadlineMs: 1000 },
      { name: 'never', methods: ['GET'], idempotent: true, attempts: 1 }
    ]
    const customers = [{ name: 'a', keyDigests: ['0'.repeat(64)], burst: 5 }]
    const path = file('d.yaml', JSON.stringify({ ...smallDocument({ kinds }, { idleMs: 200 }), customers }))
    expect(await command('check', path)).to.equal(EXIT.done)
    const { findings, revision, delta } = JSON.parse(printed) as { findings: Array<{ path: string }>, revision: number, delta: object }
    expect(findings.map((finding) => finding.path)).to.deep.equal([
      'services.0.kinds.1', 'services.0.kinds.0.targetMs', 'services.0.kinds.1.attempts', 'customers.0.burst', 'policies.headerMs'
    ])
    expect([revision, Object.keys(delta)]).to.deep.equal([1, ['zones', 'removedZones', 'services', 'removedServices', 'routes',
      'removedRoutes', 'customers', 'removedCustomers', 'policies']])
    expect(await command('check', '--strict', '--offline', path)).to.equal(EXIT.refused)
    expect(await command('check', '--strict', '--offline', file('d.yaml', document()))).to.equal(EXIT.done)
    expect(await command('check', '--offline', file('d.yaml', '{}'))).to.equal(EXIT.refused)
  })

  it('should tell a difference by its exit code', async () => {
    expect(await command('diff', file('d.yaml', document()))).to.equal(EXIT.done)
    expect(await command('diff', file('d.yaml', document({ coldMs: 400 })))).to.equal(EXIT.refused)
  })

  it('should take a zone out and bring it back in', async () => {
    expect(await command('zone', 'out', 'a')).to.equal(EXIT.done)
    await waitUntil(() => !deployment.entries[0]!.node.core.declarations.zoneIsIn('a'))
    expect(await command('zone', 'in', 'a')).to.equal(EXIT.done)
    await waitUntil(() => deployment.entries[0]!.node.core.declarations.zoneIsIn('a'))
  })

  it('should refuse a wrong token', async () => {
    process.env.GOOSEBERRYSPAN_TOKEN = 'another-secret'
    expect(await command('status')).to.equal(EXIT.unavailable)
    expect(printed).to.include('token')
  })

  it('should end with the usage code on wrong words', async () => {
    expect(await command('zone', 'sideways', 'a')).to.equal(EXIT.usage)
    expect(await command('nothing')).to.equal(EXIT.usage)
  })

  it('should explain the course of a request from the logs of several entries', async () => {
    const first = file('one.log', [
      {
        time: 105,
        logger: 'entry-1',
        decision: 'dispatched',
        request: 'r7',
        route: 'check',
        service: 'orders',
        server: 's1',
        instance: 'entry-2',
        attempt: 1,
        purpose: 'first',
        readingAgeMs: 4,
        running: 0,
        waiting: 0,
        pace: 1,
        leftMs: 700,
        revision: 3
      },
      { time: 190, logger: 'entry-1', decision: 'attempt-ended', request: 'r7', server: 's1', attempt: 1, reason: 'lost', tookMs: 85 },
      {
        time: 191, logger: 'entry-1', decision: 'refused', request: 'r7', service: 'orders', reason: 'unknown: lost', tookMs: 88, count: 1
      },
      { time: 192, logger: 'entry-1', decision: 'answered', request: 'other' }
    ].map((line) => JSON.stringify(line)).join('\n'))
    const second = file('two.log', ['collector: ' + JSON.stringify(
      {
        time: 104,
        logger: 'entry-2',
        decision: 'granted',
        request: 'r7',
        server: 's1',
        instance: 'entry-1',
        purpose: 'first',
        readingAgeMs: 4
      }
    ), JSON.stringify({ time: 150, logger: 'entry-2', decision: 'server-silent', server: 's1' }), 'no JSON'].join('\n'))
    expect(await command('explain', 'r7', first, second)).to.equal(EXIT.done)
    const story = JSON.parse(printed) as Array<{ decision: string }>
    expect(story.map(({ decision }) => decision)).to.deep.equal(['granted', 'dispatched', 'server-silent', 'attempt-ended', 'refused'])
    expect(await command('explain', 'r99', first)).to.equal(EXIT.refused)
  })
})
