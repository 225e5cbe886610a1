// Runs the bundled entry until it has checked its settings, and stores the code that V8 compiled so far as a cache.
const { copyFileSync, rmSync, writeFileSync } = require('node:fs')
const { tmpdir } = require('node:os')
const { join } = require('node:path')

const target = join(__dirname, '..', 'target')
const cache = join(target, 'bundle.cache')
/** Minimal valid settings, so that the run compiles the code that reads the settings. */
const SETTINGS = `
instance: any
zone: any
peers: { seeds: ["127.0.0.1:1"] }
store: { url: "http://127.0.0.1:1" }
metrics: { address: "127.0.0.1:1" }
`

copyFileSync(join(__dirname, 'loader.cjs'), join(target, 'entry.cjs'))
rmSync(cache, { force: true })
const settings = join(tmpdir(), `code-cache-${process.pid}.yaml`)
writeFileSync(settings, SETTINGS)
process.argv.push('--check', '--settings', settings)
const script = require(join(target, 'entry.cjs'))
process.on('exit', () => {
  rmSync(settings)
  writeFileSync(cache, script.createCachedData())
})
