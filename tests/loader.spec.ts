/** The loader of the bundled entry, beside files that a build or a copy left incomplete. */
import { spawnSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'

const UTILS = resolve(fileURLToPath(import.meta.url), '../../../utils')
const FUNCTIONS = Array.from({ length: 200 }, (_, index) => `function f${index} (a) { return a + ${index} + ${index} * 2 }`)
const BUNDLE = `#!/usr/bin/env node\n${FUNCTIONS.join('\n')}\nlet sum = 0\n${FUNCTIONS.map((_, index) => `sum += f${index}(1)`).join('\n')}
process.stdout.write('sum ' + sum)\n`
const EXPECTED = `sum ${200 + 3 * 199 * 100}`
/** Writes the cache of a bundle as V8 returns it. */
const CACHE_PROGRAM = `const { readFileSync, writeFileSync } = require('node:fs')
const { Script, constants } = require('node:vm')
const source = require('node:module').wrap(readFileSync('target/bundle.cjs', 'utf8').replace(/^#!.*/, ''))
const script = new Script(source, { filename: 'bundle.cjs', importModuleDynamically: constants.USE_MAIN_CONTEXT_DEFAULT_LOADER })
script.runInThisContext()({}, require, {}, '', '')
writeFileSync('target/bundle.cache', script.createCachedData())`

describe('loader', () => {
  let folder: string

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'loader-'))
    mkdirSync(join(folder, 'target'))
    mkdirSync(join(folder, 'utils'))
    for (const name of ['codeCache.cjs', 'loader.cjs']) copyFileSync(join(UTILS, name), join(folder, 'utils', name))
    writeFileSync(join(folder, 'target/bundle.cjs'), BUNDLE)
    copyFileSync(join(UTILS, 'loader.cjs'), join(folder, 'target/entry.cjs'))
  })

  afterEach(() => rmSync(folder, { recursive: true, force: true }))

  function node (...words: string[]): { status: number | null, signal: string | null, stdout: string } {
    const { status, signal, stdout } = spawnSync(process.execPath, words, { cwd: folder, encoding: 'utf8' })
    return { status, signal, stdout }
  }

  const path = (): string => join(folder, 'target/bundle.cache')

  // Guards against a start that ends, each time again, because of a file that only makes it faster.
  const damages: Record<string, () => void> = {
    'is missing': () => {},
    'is a folder': () => mkdirSync(path()),
    'is empty': () => writeFileSync(path(), ''),
    'is cut off': () => writeFileSync(path(), v8Cache().subarray(0, 500)),
    'has wrong bytes': () => writeFileSync(path(), v8Cache().map((byte, index) => index > 100 && index % 50 === 0 ? byte ^ 255 : byte)),
    'cannot be read': () => {
      writeFileSync(path(), v8Cache())
      chmodSync(path(), 0)
    },
    'belongs to another bundle of the same length': () => {
      writeFileSync(join(folder, 'target/bundle.cjs'), BUNDLE.replace('a + 199', 'a - 199'))
      writeFileSync(path(), v8Cache())
      writeFileSync(join(folder, 'target/bundle.cjs'), BUNDLE)
    }
  }

  function v8Cache (): Buffer {
    expect(node('-e', CACHE_PROGRAM)).to.include({ status: 0 })
    const data = readFileSync(path())
    rmSync(path())
    return data
  }

  for (const [name, damage] of Object.entries(damages)) {
    it(`should start the entry if the cache ${name}`, () => {
      damage()
      expect(node('target/entry.cjs')).to.deep.equal({ status: 0, signal: null, stdout: EXPECTED })
    })
  }

  it('should use the cache of the build', () => {
    writeFileSync(join(folder, 'target/next.bundle.cjs'), BUNDLE)
    expect(node('utils/codeCache.cjs')).to.include({ status: 0 })
    const program = 'process.stdout.write(" " + require("./target/entry.cjs").script.cachedDataRejected)'
    expect(node('-e', program)).to.deep.equal({ status: 0, signal: null, stdout: `${EXPECTED} false` })
  })
})
