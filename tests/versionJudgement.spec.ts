/** How often a new version is judged wrongly, at the request rates and with the noise of real services. */
import { expect } from 'chai'
import { judgeVersion, qualityOf, sumOfCounts, AnswerCounts, SeededRandom, type Verdict } from '@gooseberryspan/core'

/** At most 1 in 200 good versions is taken back, and at most 1 in 200 bad ones passes. */
const MAX_WRONG_FRACTION = 1 / 200
const TRIALS = 600
const SHARE = 0.1
const SLACK = 20
const SERVERS = 3
const SLOW_SPELL_MS = 300
const USUAL_MS = 100

interface Fault {
  failedFraction?: number
  slowdown?: number
  /** Only this route shows it. */
  route?: string
}

/** Plays one trial of some seconds and returns the verdict that would stand at its end; a bad verdict ends it. */
function play (random: SeededRandom, perSecond: number, seconds: number, fault: Fault): Verdict {
  const counts = new AnswerCounts()
  const slowUntil = new Map<string, number>()
  const nextSpell = new Map<string, number>()
  let given = 0
  const total = Math.round(perSecond * seconds)
  for (let index = 0; index < total; index++) {
    const now = index / perSecond * 1000
    const route = random.next() < 0.6 ? 'read' : 'write'
    const isTarget = given + 1 <= index * SHARE + SLACK * Math.min(1, index / 40) && random.next() < 0.5
    const server = `${isTarget ? 'new' : 'old'}-${Math.floor(random.next() * SERVERS)}`
    if (now >= (nextSpell.get(server) ?? 0)) {
      nextSpell.set(server, now + SLOW_SPELL_MS)
      if (random.next() < 0.25) slowUntil.set(server, now + SLOW_SPELL_MS)
    }
    const isFaulty = isTarget && (fault.route === undefined || fault.route === route)
    const noise = now < (slowUntil.get(server) ?? 0) ? 4 : 1
    const tookMs = USUAL_MS * (0.6 + 0.8 * random.next()) * noise * (isFaulty ? fault.slowdown ?? 1 : 1)
    const failedFraction = 0.004 + (isFaulty ? fault.failedFraction ?? 0 : 0)
    const quality = qualityOf({ outcome: random.next() < failedFraction ? 'failed' : 'answered', tookMs }, USUAL_MS)
    if (isTarget) {
      given += 1
      counts.addTarget(route, server, quality, now)
    } else {
      counts.addFormer(route, server, quality, now)
    }
    if (index % 20 === 0 && judgeVersion(sumOfCounts([counts.routes()])) === 'bad') return 'bad'
  }
  return judgeVersion(sumOfCounts([counts.routes()]))
}

function fractionOf (verdict: Verdict, perSecond: number, fault: Fault): number {
  const random = new SeededRandom(perSecond)
  let count = 0
  for (let trial = 0; trial < TRIALS; trial++) if (play(random, perSecond, 20, fault) === verdict) count += 1
  return count / TRIALS
}

describe('judgement of a version', () => {
  for (const perSecond of [30, 100, 300]) {
    it(`should not take back a version that is as good, at ${perSecond} requests a second`, () => {
      expect(fractionOf('bad', perSecond, {})).to.be.at.most(MAX_WRONG_FRACTION)
    })

    it(`should not pass a version that fails a tenth of its answers, at ${perSecond} requests a second`, () => {
      expect(fractionOf('good', perSecond, { failedFraction: 0.1 })).to.be.at.most(MAX_WRONG_FRACTION)
    })

    it(`should not pass a version that is three times as slow on one route, at ${perSecond} requests a second`, () => {
      expect(fractionOf('good', perSecond, { slowdown: 3, route: 'write' })).to.be.at.most(MAX_WRONG_FRACTION)
    })
  }

  it('should pass most versions that are as good while there are enough requests', () => {
    expect(fractionOf('good', 300, {})).to.be.at.least(0.9)
  })

  // Guards against a roll-out that a single slow or failing server of the new version ends.
  it('should not blame a version for one of its servers', () => {
    const counts = new AnswerCounts()
    for (let index = 0; index < 200; index++) counts.addFormer('read', 'old-0', 'good', index * 400)
    for (let index = 0; index < 40; index++) {
      counts.addTarget('read', 'new-0', index < 10 ? 'failed' : 'good', index * 400)
      counts.addTarget('read', 'new-1', 'good', index * 400)
    }
    expect(judgeVersion(counts.routes())).to.not.equal('bad')
  })

  it('should count a cancelled attempt only if it was slow, and refusals never', () => {
    expect(qualityOf({ outcome: 'cancelled', tookMs: 260 }, 100)).to.equal('slow')
    expect(qualityOf({ outcome: 'cancelled', tookMs: 240 }, 100)).to.equal(undefined)
    for (const outcome of ['shed', 'moved', 'unreachable', 'unused'] as const) {
      expect(qualityOf({ outcome, tookMs: 900 }, 100)).to.equal(undefined)
    }
  })
})
