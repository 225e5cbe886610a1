// Starts the bundled entry with the V8 code cache from the build. A restart then compiles about half as much code.
// By default these end the process, or start Node's inspector. The entry adds its own handlers before it returns to the event loop.
for (const signal of ['SIGHUP', 'SIGTERM', 'SIGINT', 'SIGUSR1', 'SIGUSR2', 'SIGALRM']) process.on(signal, () => {})

const { createHash } = require('node:crypto')
const { readFileSync } = require('node:fs')
const { createRequire, wrap } = require('node:module')
const { join } = require('node:path')
const { constants, Script } = require('node:vm')

const file = join(__dirname, 'bundle.cjs')
const source = readFileSync(file)

// V8 rejects a cache from another V8 version or other flags, and then compiles as without a cache.
const script = new Script(wrap(source.toString('utf8').replace(/^#!.*/, '')), {
  filename: file,
  cachedData: readCache(join(__dirname, 'bundle.cache')),
  importModuleDynamically: constants.USE_MAIN_CONTEXT_DEFAULT_LOADER
})
const bundle = { exports: {} }
script.runInThisContext()(bundle.exports, createRequire(file), bundle, file, __dirname)
module.exports = { script, digestOf }

/** V8 compares only the length of the source and crashes on a damaged cache, so the cache starts with a digest of both and of the Node version. */
function digestOf (cache) {
  return createHash('sha1').update(`${process.version} ${process.arch}`).update(source).update(cache).digest()
}

/** Returns undefined if the cache is missing, unreadable, damaged or of another build. */
function readCache (path) {
  try {
    const data = readFileSync(path)
    const { length } = digestOf('')
    const cache = data.subarray(length)
    return digestOf(cache).equals(data.subarray(0, length)) ? cache : undefined
  } catch {
    return undefined
  }
}
