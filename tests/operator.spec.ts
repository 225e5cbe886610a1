/** The operator's command line against a running entry. */
import { expect } from 'chai'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { EXIT, run } from '@gooseberryspan/operator'
import { Deployment, smallDocument, TOKEN, until } from './fixtures/deployment.js'

describe('operator', () => {
  let folder: string
  let deployment: Deployment
  let printed: string

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'operator-'))
    process.env.GOOSEBERRYSPAN_TOKEN = TOKEN
    deployment = new Deployment()
    await deployment.start(smallDocument(), [{ zone: 'a' }], ['a'])
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
      return await run(['--json', '--entry', `http://127.0.0.1:${deployment.operatorPorts[0]}`, ...args])
    } finally {
      process.stdout.write = write
      process.stderr.write = writeError
    }
  }

  const document = (changes = {}): string => JSON.stringify(smallDocument(changes))

  it('should put a document into force and name its revision', async () => {
    expect(await command('apply', file('d.yaml', document({ slots: 5 })))).to.equal(EXIT.done)
    expect(JSON.parse(printed)).to.include({ outcome: 'accepted', revision: 2 })
    await until(() => deployment.entries[0]!.node.core.revisions.service('orders')?.slots === 5)
  })

  it('should refuse a document that is wrong, with every reason', async () => {
    expect(await command('apply', file('d.yaml', 'zones: []\nservices: 1\n'))).to.equal(EXIT.refused)
    expect(printed).to.include('zones').and.to.include('services')
  })

  it('should refuse a change on a revision that is not in force', async () => {
    expect(await command('apply', '--expect', '7', file('d.yaml', document()))).to.equal(EXIT.refused)
    expect(JSON.parse(printed)).to.include({ revision: 1 })
  })

  it('should tell a difference by its exit code', async () => {
    expect(await command('diff', file('d.yaml', document()))).to.equal(EXIT.done)
    expect(await command('diff', file('d.yaml', document({ slots: 4 })))).to.equal(EXIT.refused)
  })

  it('should take a zone out and bring it back in', async () => {
    expect(await command('zone', 'out', 'a')).to.equal(EXIT.done)
    await until(() => !deployment.entries[0]!.node.core.revisions.zoneIsIn('a'))
    expect(await command('zone', 'in', 'a')).to.equal(EXIT.done)
    await until(() => deployment.entries[0]!.node.core.revisions.zoneIsIn('a'))
  })

  it('should refuse to evict an instance without the operator\'s word', async () => {
    expect(await command('evict', 'entry-0')).to.equal(EXIT.usage)
    expect(await command('evict', 'nobody', '--process-has-ended')).to.equal(EXIT.refused)
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

  it('should explain the course of a request from the log', async () => {
    const log = file('entry.log', [
      { time: 5, decision: 'forwarded', request: 7, service: 'orders', instance: 'entry-2' },
      { time: 6, decision: 'dispatched', request: 8, service: 'orders', server: 's1', figure: 1 },
      { time: 9, decision: 'answered', request: 7, service: 'orders' }
    ].map((line) => JSON.stringify(line)).join('\n'))
    expect(await command('explain', '7', '--log', log)).to.equal(EXIT.done)
    expect(JSON.parse(printed)).to.have.length(2)
    expect(await command('explain', '99', '--log', log)).to.equal(EXIT.refused)
  })
})
