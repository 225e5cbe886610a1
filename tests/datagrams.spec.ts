/** What entries accept from each other in datagrams. */
import { expect } from 'chai'
import type { Member, PeerMessage, RegisteredServer } from '@gooseberryspan/core'
import { decodeDatagram, encodeDatagrams } from '@gooseberryspan/entry'
import { member, registeredServer } from './fixtures/records.js'

const SELF = { instance: 'entry-1', incarnation: 1 }
function transfer (message: PeerMessage): PeerMessage[] | undefined {
  return decodeDatagram(encodeDatagrams(SELF, [message], undefined)[0]!, undefined)?.messages
}

const grant = (changes: Partial<RegisteredServer>): PeerMessage => ({
  kind: 'granted', ask: 1, server: registeredServer('s1', changes), expectedMs: 10
})
const gossip = (changes: Partial<Member>): PeerMessage => ({
  kind: 'gossip', news: [{ member: member(changes), standing: 'alive' }]
})

describe('datagram codec', () => {
  it('should pass on a grant and a member as they are', () => {
    expect(transfer(grant({}))).to.deep.equal([grant({})])
    expect(transfer(gossip({}))).to.deep.equal([gossip({})])
  })

  // Guards against an address to which sending throws, which would end the process that receives it.
  for (const port of [0, -1, 65_536, 1.5, 1e300]) {
    it(`should refuse a grant and a member with the port ${port}`, () => {
      expect(transfer(grant({ port }))).to.equal(undefined)
      expect(transfer(gossip({ port }))).to.equal(undefined)
      expect(transfer(gossip({ peerPort: port }))).to.equal(undefined)
    })
  }
})
