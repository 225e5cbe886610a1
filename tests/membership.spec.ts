/** Leases, watchers and placement: the parts that keep one dispatcher for each server. */
import { expect } from 'chai'
import fc from 'fast-check'
import {
  Lease, LEASE_TIMES, Placement, promisorsOf, shardOfServer, Watch, watchersOf, type Member
} from '@gooseberryspan/core'

function member (index: number, region = 'r1', zone = 'a'): Member {
  return {
    instance: `entry-${index}`, incarnation: `i${index}`, region, zone, host: 'h', port: 1, peerPort: 2, state: 'confirmed', joinedView: 1
  }
}

const members = fc.uniqueArray(fc.record({
  index: fc.nat({ max: 40 }), region: fc.constantFrom('r1', 'r2', 'r3'), zone: fc.constantFrom('a', 'b', 'c')
}), { minLength: 2, maxLength: 14, selector: ({ index }) => index }).map((list) => {
  return list.map(({ index, region, zone }) => member(index, region, `${region}-${zone}`))
})

describe('lease', () => {
  it('should count from before the renewal was sent', () => {
    const lease = new Lease(LEASE_TIMES)
    lease.renewed(100)
    expect(lease.isValid(100 + LEASE_TIMES.termMs - 1)).to.equal(true)
    expect(lease.isValid(100 + LEASE_TIMES.termMs)).to.equal(false)
  })

  it('should not come back once it is lost', () => {
    const lease = new Lease(LEASE_TIMES)
    lease.renewed(100)
    lease.lose()
    expect(lease.isValid(101)).to.equal(false)
  })
})

describe('watch', () => {
  const { termMs, marginMs } = LEASE_TIMES
  let watch: Watch

  beforeEach(() => {
    watch = new Watch(LEASE_TIMES)
    watch.saw('x', 7, 1000)
  })

  it('should wait a whole term and the margin from when it first saw the row', () => {
    expect(watch.evictable('x', termMs, 1000 + termMs + marginMs - 1)).to.equal(undefined)
    expect(watch.evictable('x', termMs, 1000 + termMs + marginMs)).to.equal(7)
  })

  it('should begin anew when the row has moved', () => {
    watch.saw('x', 8, 5000)
    expect(watch.evictable('x', termMs, 1000 + termMs + marginMs)).to.equal(undefined)
  })

  it('should begin anew after it stopped watching', () => {
    watch.keep(new Set())
    watch.saw('x', 7, 5000)
    expect(watch.evictable('x', termMs, 1000 + termMs + marginMs)).to.equal(undefined)
  })

  it('should keep its promise', () => {
    watch.promise('x', 9000)
    expect(watch.evictable('x', termMs, 9000)).to.equal(undefined)
    expect(watch.evictable('x', termMs, 9000 + marginMs)).to.equal(7)
  })

  it('should not promise while its own eviction may take effect', () => {
    watch.evictionSent('x', 7)
    expect(watch.mayPromise('x')).to.equal(false)
    watch.saw('x', 7, 6000)
    expect(watch.mayPromise('x')).to.equal(false)
    watch.saw('x', 8, 7000)
    expect(watch.mayPromise('x')).to.equal(true)
  })
})

describe('watchers', () => {
  it('should come from another region and from another zone of the own', () => {
    const all = [member(0, 'r1', 'a'), member(1, 'r1', 'a'), member(2, 'r1', 'b'), member(3, 'r2', 'c'), member(4, 'r2', 'd')]
    const places = watchersOf(all, all[0]!).map(({ region, zone }) => `${region}/${zone}`)
    expect(places[0]).to.match(/^r2/)
    expect(places[1]).to.equal('r1/b')
  })

  it('should come from both other zones where there is one region', () => {
    const all = [0, 1, 2, 3, 4, 5].map((index) => member(index, 'r1', 'abc'[index % 3]))
    for (const watched of all) {
      expect(new Set(watchersOf(all, watched).map(({ zone }) => zone)).size).to.equal(2)
    }
  })

  it('should give consent only together with one that joins and will watch', () => {
    const all = [member(0, 'r1', 'a'), member(1, 'r1', 'b'), member(2, 'r1', 'c')]
    const joining = { ...member(3, 'r2', 'd'), state: 'joining' as const }
    const asked = promisorsOf({ version: 1, members: [...all, joining], splits: [] }, all[0]!)
    expect(asked).to.have.members([all[1], all[2], joining])
  })

  it('should only gain a member that joined, whoever joins', () => {
    fc.assert(fc.property(members, (all) => {
      const [joiner, ...before] = all
      for (const watched of before) {
        const old = watchersOf(before, watched)
        for (const watcher of watchersOf(all, watched)) expect([...old, joiner]).to.include(watcher)
      }
    }), { seed: 1, numRuns: 400 })
  })

  it('should only change where the member that left was a watcher', () => {
    fc.assert(fc.property(members, (all) => {
      const [leaver, ...after] = all
      for (const watched of after) {
        const old = watchersOf(all, watched)
        if (old.includes(leaver!)) continue
        expect(watchersOf(after, watched)).to.deep.equal(old)
      }
    }), { seed: 1, numRuns: 400 })
  })
})

describe('placement', () => {
  const all = [0, 1, 2, 3, 4, 5].map((index) => member(index, 'r1', 'abc'[index % 3]))

  it('should hold servers in their own zone', () => {
    const placement = new Placement({ version: 1, members: all, splits: [] })
    for (const zone of 'abc') expect(placement.holderOf(shardOfServer('orders', zone, 's1'))!.zone).to.equal(zone)
  })

  it('should hold servers elsewhere when their zone has no entry', () => {
    const placement = new Placement({ version: 1, members: all.filter(({ zone }) => zone !== 'a'), splits: [] })
    expect(placement.holderOf(shardOfServer('orders', 'a', 's1'))).to.not.equal(undefined)
  })

  it('should keep one holder a zone unless more are declared', () => {
    const many = [0, 1, 2, 3, 4].map((index) => member(index))
    const holders = (splits: Array<{ service: string, holders: number }>): number => {
      const placement = new Placement({ version: 1, members: many, splits })
      return new Set(Array.from({ length: 50 }, (_, index) => placement.holderOf(shardOfServer('orders', 'a', `s${index}`))!.instance)).size
    }
    expect(holders([])).to.equal(1)
    expect(holders([{ service: 'orders', holders: 4 }])).to.be.above(1)
  })

  it('should not place anything on an entry that stops or is not confirmed', () => {
    const unfit = [{ ...all[0]!, state: 'stopping' as const }, { ...all[3]!, state: 'joining' as const }]
    const view = { version: 1, members: unfit, splits: [] }
    expect(new Placement(view).holderOf(shardOfServer('orders', 'a', 's1'))).to.equal(undefined)
  })
})
