// Installs the bundle and its loader, runs the entry until it has checked its settings, and stores the code that V8 compiled as a cache.
const { copyFileSync, renameSync, rmSync, writeFileSync } = require('node:fs')
const { tmpdir } = require('node:os')
const { join } = require('node:path')

const target = join(__dirname, '..', 'target')
/** Minimal valid settings, so that the run compiles the code that reads the settings. */
const SETTINGS = `
instance: any
zone: any
peers: { seeds: ["127.0.0.1:1"] }
store: { url: "http://127.0.0.1:1" }
metrics: { address: "127.0.0.1:1" }
`

install('bundle.cjs', () => {})
install('entry.cjs', (next) => copyFileSync(join(__dirname, 'loader.cjs'), next))
const settings = join(tmpdir(), `code-cache-${process.pid}.yaml`)
writeFileSync(settings, SETTINGS)
process.argv.push('--check', '--settings', settings)
const { script, digestOf } = require(join(target, 'entry.cjs'))
process.on('exit', () => {
  rmSync(settings)
  const cache = script.createCachedData()
  install('bundle.cache', (next) => writeFileSync(next, Buffer.concat([digestOf(cache), cache])))
})

/** Replaces a file in one step, so that an entry that starts meanwhile reads the whole old file or the whole new one. */
function install (name, write) {
  const next = join(target, `next.${name}`)
  write(next)
  renameSync(next, join(target, name))
}
