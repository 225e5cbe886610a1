import { expect } from 'chai'
import { PlannedStop } from '@gooseberryspan/core'

describe('planned stop', () => {
  const begun = (lingerMs: number, stopLimitMs?: number): PlannedStop => {
    const stop = new PlannedStop({ lingerMs, stopLimitMs })
    stop.begin(1000)
    return stop
  }

  it('should limit nothing before it begins', () => {
    const stop = new PlannedStop({ lingerMs: 0, stopLimitMs: 0 })
    expect(stop.accepts(1e9)).to.equal(true)
    expect(stop.leavesTimeFor(1e9)).to.equal(true)
  })

  it('should leave time only for requests that end before the entry closes', () => {
    const stop = begun(2200, 5500)
    expect([6400, 6500, 6501].map((expiresAt) => stop.leavesTimeFor(expiresAt))).to.deep.equal([true, true, false])
  })

  it('should accept no request after the linger, nor after a close that comes earlier', () => {
    expect([3199, 3200].map((now) => begun(2200, 5500).accepts(now))).to.deep.equal([true, false])
    expect([1499, 1500].map((now) => begun(2200, 500).accepts(now))).to.deep.equal([true, false])
  })

  it('should count from the first of several signals', () => {
    const stop = begun(2200, 5500)
    expect(stop.begin(4000)).to.equal(false)
    expect(stop.closesAt).to.equal(6500)
  })

  it('should leave time for any request where no limit is set', () => {
    expect(begun(2200).leavesTimeFor(1e9)).to.equal(true)
  })
})
