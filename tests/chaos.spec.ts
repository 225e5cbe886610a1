/** The fault soak with real processes (`npm run chaos`). */
import { expect } from 'chai'
import { drawPlan } from './chaos/plan.js'

const OPTIONS = { seed: 4, seconds: 6, entries: 3, servers: 9 }

describe('chaos run', () => {
  it('should draw the same faults from the same seed', () => {
    expect(drawPlan(OPTIONS)).to.deep.equal(drawPlan(OPTIONS))
    expect(drawPlan(OPTIONS)).not.to.deep.equal(drawPlan({ ...OPTIONS, seed: OPTIONS.seed + 1 }))
  })
})
