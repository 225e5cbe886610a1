/** Questions for addresses at an entry that has just started. */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { DirectoryListener, DefaultDialect, type EntryNode } from '@gooseberryspan/entry'
import { member } from './fixtures/records.js'

async function asked (knownAfterMs: number): Promise<{ status: number, body: string }> {
  const startedAt = Date.now()
  const dialect = new DefaultDialect('gooseberryspan')
  const core = {
    declarations: { service: () => undefined }, addressesFor: () => Date.now() - startedAt < knownAfterMs ? [] : [member()]
  }
  const { listener } = new DirectoryListener({ node: { dialect, core } as unknown as EntryNode, keepSeconds: 2 })
  const server = createServer(listener)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  try {
    const response = await fetch(`http://127.0.0.1:${(server.address() as AddressInfo).port}${dialect.paths.addresses}`)
    return { status: response.status, body: await response.text() }
  } finally {
    server.close()
  }
}

describe('directory', function () {
  it('should answer as soon as it hears of an entry that is ready', async function () {
    const { status, body } = await asked(200)
    expect(status).to.equal(200)
    expect(body).to.contain('10.0.0.1')
  })

  it('should say so before its caller gives up when it knows none', async function () {
    const startedAt = Date.now()
    const { status } = await asked(Infinity)
    expect(status).to.equal(503)
    expect(Date.now() - startedAt).to.be.below(1000)
  })
})
