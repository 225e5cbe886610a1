/** A short fault soak with real processes; `npm run chaos` plays longer ones. */
import { expect } from 'chai'
import { execFileSync } from 'node:child_process'
import { resolve } from 'node:path'
import { ChaosRun } from './chaos/chaosRun.js'
import { drawPlan } from './chaos/plan.js'

const ROOT = resolve(import.meta.dirname, '../..')
const OPTIONS = { seed: 49, seconds: 6, entries: 3, servers: 9 }

describe('chaos run', () => {
  before(() => {
    execFileSync('npm', ['run', '--silent', 'bundle'], { cwd: ROOT, stdio: 'ignore' })
  })

  // Guards against entries that end by themselves or break a promise while processes, ports, the store and backend servers fail.
  it('should keep the promises to callers while faults are injected', async () => {
    const { findings } = await new ChaosRun({ ...OPTIONS, root: ROOT, shareCore: false }).play()
    expect(findings).to.deep.equal([])
  })

  it('should draw the same faults from the same seed', () => {
    expect(drawPlan(OPTIONS)).to.deep.equal(drawPlan(OPTIONS))
    expect(drawPlan(OPTIONS)).not.to.deep.equal(drawPlan({ ...OPTIONS, seed: OPTIONS.seed + 1 }))
  })
})
