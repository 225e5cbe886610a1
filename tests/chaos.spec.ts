/** A short fault soak with real processes; `npm run chaos` plays longer ones. */
import { expect } from 'chai'
import { execFileSync, spawn } from 'node:child_process'
import { once } from 'node:events'
import { existsSync, readFileSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { ChaosRun } from './chaos/chaosRun.js'
import { drawPlan } from './chaos/plan.js'
import { waitUntil } from './fixtures/deployment.js'

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

  it('should report what was seen so far and end all entries when it is interrupted', async () => {
    const program = spawn(process.execPath, [join(import.meta.dirname, 'chaos/main.js'), '--entries', '2'])
    const children = (): string[] => readFileSync(`/proc/${program.pid}/task/${program.pid}/children`, 'utf8').split(' ').filter(Boolean)
    let output = ''
    program.stdout.on('data', (part: Buffer) => { output += part.toString() })
    await waitUntil(() => children().length === 2)
    const entries = children()
    program.kill('SIGTERM')
    const [code] = await once(program, 'close') as [number | null]
    await waitUntil(() => !entries.some((pid) => existsSync(`/proc/${pid}`)))
    expect(code).to.equal(130)
    expect(output).to.match(/entry 1 started[^]*chaos --seed 1 .*: interrupted, 0 findings so far\n$/)
  })

  it('should draw the same faults from the same seed', () => {
    expect(drawPlan(OPTIONS)).to.deep.equal(drawPlan(OPTIONS))
    expect(drawPlan(OPTIONS)).not.to.deep.equal(drawPlan({ ...OPTIONS, seed: OPTIONS.seed + 1 }))
  })
})
