/** Random stories of faults with fixed seeds; `npm run soak` runs longer ones. */
import { expect } from 'chai'
import fc from 'fast-check'
import { chainAmplification, POLICIES, runScenario, type Scenario } from '@gooseberryspan/laboratory'
import { trustDocument } from '@gooseberryspan/standins'
import { runStory, steps, type Step } from './fixtures/faults.js'

/** Stories that once broke an invariant, with what they showed. */
const FOUND: Array<{ title: string, world: number, story: Step[] }> = [
  {
    title: 'a cancelled hedge on a slow server',
    world: 1378242706,
    story: [{ afterMs: 3510, fault: 'server-slow', pick: 148, lastsMs: 11133 }]
  },
  {
    title: 'a planned stop while callers still come',
    world: 0,
    story: [
      { afterMs: 5475, fault: 'planned-stop', pick: 94, lastsMs: 50 },
      { afterMs: 254, fault: 'lossy-messages', pick: 0, lastsMs: 50 }
    ]
  },
  {
    title: 'an eviction that takes effect after its sender has promised not to evict',
    world: 7,
    story: [
      { afterMs: 2238, fault: 'table-down', pick: 703, lastsMs: 9488 },
      { afterMs: 36, fault: 'server-slow', pick: 975, lastsMs: 12578 },
      { afterMs: 5098, fault: 'server-returns', pick: 676, lastsMs: 5926 },
      { afterMs: 118, fault: 'zone-cut', pick: 536, lastsMs: 11126 },
      { afterMs: 3089, fault: 'late-effects', pick: 417, lastsMs: 13052 }
    ]
  },
  {
    title: 'a zone taken out just before the table service goes down',
    world: 18,
    story: [{ afterMs: 2693, fault: 'zone-out', pick: 135, lastsMs: 7232 }, { afterMs: 8, fault: 'table-down', pick: 866, lastsMs: 14999 }]
  }
]

describe('random stories', () => {
  for (const seed of [1, 2, 3, 4]) {
    it(`should keep every invariant on seed ${seed}`, () => {
      fc.assert(fc.property(fc.nat(), steps, (world, story) => {
        expect(runStory(world, story)).to.deep.equal([])
      }), { seed, numRuns: 25, endOnFailure: true })
    })
  }

  for (const { title, world, story } of FOUND) {
    it(`should keep every invariant in ${title}`, () => {
      expect(runStory(world, story)).to.deep.equal([])
    })
  }
})

describe('load model', () => {
  const scenario: Scenario = {
    deployment: 'trust',
    document: trustDocument(),
    servers: 30,
    entriesPerZone: 5,
    load: 0.85,
    trouble: 'sudden-cold',
    seed: 3,
    warmUpMs: 200,
    runMs: 600
  }

  it('should show no over-slot or over-cold dispatch under holders', () => {
    const outcome = runScenario(scenario, 'holders')
    expect(outcome.answered).to.be.above(1000)
    expect(outcome).to.include({ overSlot: 0, overCold: 0 })
  })

  it('should show over-slot dispatches where each entry decides alone', () => {
    for (const policy of POLICIES.filter((name) => name !== 'holders')) {
      expect(runScenario(scenario, policy).overSlot, policy).to.be.above(0)
    }
  })

  it('should keep retries of a deep chain within a fifth', () => {
    expect(chainAmplification('answers')).to.be.at.most(1.2)
  })
})
