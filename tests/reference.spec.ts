/** Pages that are written from the code stay with it. */
import { expect } from 'chai'
import { readFileSync } from 'node:fs'
import { parse } from 'yaml'
import { parseDocument } from '@gooseberryspan/core'
import { checkSettings, PrometheusMetrics } from '@gooseberryspan/entry'
import { settingsReference } from '@gooseberryspan/laboratory'

const ROOT = new URL('../../', import.meta.url)
const read = (path: string): string => readFileSync(new URL(path, ROOT), 'utf8')

describe('pages', () => {
  it('should have a settings reference that agrees with the schemas', () => {
    expect(read('docs/operators/settings.md')).to.equal(settingsReference())
  })

  it('should name each metric that is served, and no other', async () => {
    const none = (): number => 0
    const { registry } = new PrometheusMetrics({
      openRequests: none,
      copyAgeMs: none,
      members: none,
      listedServers: none,
      revision: none,
      droppedLogLines: none,
      storeRequests: none,
      peerMessages: none,
      callerConnections: none,
      connectionsClosed: none,
      portStates: () => [],
      zoneBytes: () => [],
      rollouts: () => [],
      heldBytes: none,
      notHeld: none
    })
    const served = registry.getMetricsAsArray().map(({ name }) => name).sort()
    const named = [...new Set(read('docs/operators/metrics.md').match(/gooseberryspan_[a-z_]+/g))].sort()
    expect(named).to.deep.equal(served)
  })

  it('should have examples that are valid', () => {
    expect(parseDocument(read('examples/gateway.yaml')).services).to.have.length(2)
    expect(checkSettings(parse(read('examples/entry.yaml'))).zone).to.equal('west-1')
  })
})
