// Starts the bundled entry with the V8 code cache from the build. A restart then compiles about half as much code.
// By default these end the process, or start Node's inspector. The entry sets its own handlers once it has read its settings.
for (const signal of ['SIGHUP', 'SIGTERM', 'SIGINT', 'SIGUSR1', 'SIGUSR2', 'SIGALRM']) process.on(signal, () => {})

const { existsSync, readFileSync } = require('node:fs')
const { createRequire, wrap } = require('node:module')
const { join } = require('node:path')
const { constants, Script } = require('node:vm')

const file = join(__dirname, 'bundle.cjs')
const cache = join(__dirname, 'bundle.cache')

// V8 rejects a cache from another V8 version or other flags, and then compiles as without a cache.
const script = new Script(wrap(readFileSync(file, 'utf8').replace(/^#!.*/, '')), {
  filename: file,
  cachedData: existsSync(cache) ? readFileSync(cache) : undefined,
  importModuleDynamically: constants.USE_MAIN_CONTEXT_DEFAULT_LOADER
})
const bundle = { exports: {} }
script.runInThisContext()(bundle.exports, createRequire(file), bundle, file, __dirname)
module.exports = script
