/** Configurations of the platform whose values have the right type and make no sense. */
import { expect } from 'chai'
import type { GatewayConfiguration } from '@gooseberryspan/core'
import { HttpListener } from '@gooseberryspan/entry'
import { PlatformRowReader } from '@gooseberryspan/platform'
import { HOST, openRaw, waitUntil } from './fixtures/deployment.js'

const LIMITS = { max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
const ROUTE = {
  name: 'r',
  host: 'a',
  prefix: '/',
  route_type: 'safe',
  service: 'orders',
  timeout_ms: 1000,
  target_latency_ms: 100,
  priority: 1,
  max_attempts: 2
}

function read (changes: Record<string, unknown>): GatewayConfiguration | undefined {
  const value = JSON.stringify({ config_version: '07', routes: [ROUTE], services: [], limits: LIMITS, ...changes })
  const declaration = new PlatformRowReader().declaration({ key: 'config', version: 1, value })
  return declaration?.kind === 'gateway' ? declaration.gateway : undefined
}

describe('odd configuration', () => {
  // Guards against timeouts of the configuration at which Node throws when it has sent an answer, which ends every entry.
  for (const ms of [-1e300, -5000, -1, 0, 1, 2 ** 31, 2 ** 33, 1e300]) {
    it(`should be refused or not disturb answers with an idle time of ${ms} ms`, async () => {
      const warnings: string[] = []
      const onWarning = ({ name }: Error): void => void warnings.push(name)
      process.on('warning', onWarning)
      const gateway = read({ limits: { ...LIMITS, idle_timeout_ms: ms } })
      expect(gateway === undefined).to.equal(ms < 0)
      const listener = new HttpListener((_, response) => response.end('done'), { host: HOST, port: 0, headerMs: 1000, idleMs: 1000 })
      const port = await listener.listen()
      if (gateway) listener.setTimeouts(gateway.limits)
      const connection = openRaw(port, 'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
      await waitUntil(() => connection.received().includes('done'))
      connection.socket.destroy()
      listener.cut()
      await listener.close()
      process.off('warning', onWarning)
      expect(warnings).to.deep.equal([])
    })
  }

  // Guards against a revision to which no later one can be compared.
  it('should be refused with a version beyond all numbers', () => {
    expect(read({ config_version: 'f'.repeat(400) })).to.equal(undefined)
    expect(read({ config_version: 'ff' })?.revision).to.equal(255)
  })

  it('should use the service of a route whose split is empty', () => {
    expect(read({ routes: [{ ...ROUTE, weighted_split: [] }] })?.routes[0]?.shares).to.deep.equal([{ service: 'orders', weight: 1 }])
  })
})
