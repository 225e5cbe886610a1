/**
 * Breaks one invariant at a time in the built core and lets the random stories look for it.
 * The core's own assertions are silenced meanwhile, so that what goes red is the truth at the fakes.
 * `npm run mutations` ends with 1 when a mutation was not found.
 */
import { execFile } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'

const CORE = new URL('../packages/core/dist/', import.meta.url)
const SOAK = new URL('../tests/dist/soak.js', import.meta.url).pathname
const MOCHA = new URL('../node_modules/mocha/bin/mocha.js', import.meta.url).pathname
const SEEDS = [1, 2, 3, 4, 5, 6]
const RUNS = 250

const SILENCE = { file: 'invariants.js', find: 'if (holds)', replace: 'if (holds || true)' }

const only = process.argv[2]
const MUTATIONS = [
  ['slot-limit', 'limits/backendServer.js', 'return Math.max(0, this._limit - this.occupied(now));', 'return Math.max(0, this._limit + 1 - this.occupied(now));'],
  ['slot-limit', 'limits/backendServer.js', 'const SETTLE_MS = 10;', 'const SETTLE_MS = 0;', [], 'should keep the slot of a request'],
  ['cold-limit', 'limits/backendServer.js', 'this._limit = Math.max(1, report.capacity);', '', [
    ['limits/backendServer.js', 'report.epoch !== this._epoch)', 'false)'], ['limits/backendServer.js', 'this._turnCold(now);\n        this._pause', 'this._pause']
  ]],
  ['one-holder', 'membership/lease.js', 'return now < this._validUntil;', 'return true;'],
  ['one-holder', 'membership/watch.js', 'if (now - sighting.since < waitMs + this._times.marginMs)', 'if (now - sighting.since < 200)'],
  ['one-holder', 'membership/ownership.js', 'if (!hasIncarnation(membership.view, owner.instance, owner.incarnation))', 'if (owner)'],
  ['one-holder', 'membership/consent.js', 'watch.promise(from.instance, now + times.termMs);', ';'],
  ['zone-out', 'configuration/revisions.js', "return this._zones.get(name)?.state === 'in';", 'return true;'],
  ['zone-out', 'configuration/spread.js', 'this._take([], document, now);\n    }\n    /** A peer asks', '}\n    /** A peer asks'],
  ['leaving-server', 'holdings.js', "if (server.state !== 'live' || !this._options.revisions.zoneIsIn(server.zone))", 'if (!this._options.revisions.zoneIsIn(server.zone))', [
    ['limits/backendServer.js', 'if (report.draining === true)', 'if (false)']
  ]],
  ['measuring-budget', 'limits/tokenBucket.js', 'if (this._tokens < 1)', 'if (false)'],
  ['not-run-truth', 'routing/router.js', "request.ambiguous || request.open.length > 0 ? 'unknown' : 'not-run'", "'not-run'"],
  ['at-most-once', 'routing/router.js', 'return request.idempotent && !request.retrySpent;', 'return true;'],
  ['not-run-truth', 'routing/request.js', 'ambiguous: !spec.idempotent && spec.idempotencyKey !== undefined', 'ambiguous: false'],
  ['at-most-once', 'retries/claims.js', "if (result === 'duplicate')\n            return false;", ''],
  ['one-answer', 'routing/router.js', 'if (this._requests.has(request.id))\n            this._settle', 'this._settle', [
    ['routing/router.js', "this._finish(request, 'answered');\n        for (const open of [...request.open])\n            this._cancel(open, now);", "this._finish(request, 'answered');"]
  ]],
  ['no-revert', 'configuration/revisions.js', 'if (!this._current || change.revision !== this.revision + 1)', 'if (!this._current)',
    [], 'should take late and doubled changes'],
  ['one-holder', 'membership/watch.js', 'return !this._evicting.has(instance);', 'return true;', [], 'should not promise while its own eviction'],
  ['one-holder', 'membership/view.js', 'watchersOf(view.members, watched)', '[]', [], 'should give consent only together'],
  ['in-force-everywhere', 'configuration/spread.js', 'if (revision > this._options.revisions.revision && !this._reading)', 'if (false)', [
    ['configuration/spread.js', 'const behind = has.revision > revisions.revision ||', 'const behind =']
  ]],
  ['stop-cuts-nothing', 'entryCore.js', "this.membership.phase === 'left' && this.router.open === 0", "this.membership.phase === 'left'"]
]

let missed = 0
for (const [invariant, file, find, replace, more = [], spec] of MUTATIONS) {
  if (only !== undefined && !`${invariant} ${find}`.includes(only)) continue
  const edits = [SILENCE, { file, find, replace }, ...more.map(([name, from, to]) => ({ file: name, find: from, replace: to }))]
  const found = await tryMutation(invariant, edits, spec)
  if (!found) missed += 1
  process.stdout.write(`${found ? 'red  ' : 'GREEN'} ${invariant.padEnd(20)} ${file}: ${find.split('\n')[0].trim().slice(0, 70)} ${found ?? ''}\n`)
}
process.exit(missed > 0 ? 1 : 0)

async function tryMutation (invariant, edits, spec) {
  const originals = new Map()
  try {
    for (const { file, find, replace } of edits) {
      const path = new URL(file, CORE)
      const text = readFileSync(path, 'utf8')
      if (!originals.has(file)) originals.set(file, text)
      if (!text.includes(find)) throw new Error(`${file} has no '${find}'`)
      writeFileSync(path, text.replace(find, replace))
    }
    return spec === undefined ? await search(invariant) : await specFails(spec)
  } finally {
    for (const [file, text] of originals) writeFileSync(new URL(file, CORE), text)
  }
}

/** The seeds run beside each other; the first that shows the invariant broken ends the others. */
async function search (invariant) {
  const runs = SEEDS.map((seed) => soak(seed, invariant))
  const found = await Promise.any(runs.map((run) => run.found)).catch(() => undefined)
  for (const run of runs) run.child.kill()
  return found
}

/** Whether the spec of that title goes red. */
function specFails (title) {
  return new Promise((resolve) => {
    execFile(process.execPath, [MOCHA, '--grep', title], (error, stdout) => resolve(error && stdout.includes('failing') ? `(${title})` : undefined))
  })
}

function soak (seed, invariant) {
  const run = {}
  run.found = new Promise((resolve, reject) => {
    run.child = execFile(process.execPath, [SOAK, '--seed', String(seed), '--runs', String(RUNS)], { encoding: 'utf8' }, (error, stdout) => {
      if (stdout.includes(`ms ${invariant}:`)) resolve(`(seed ${seed})`)
      else reject(error ?? new Error('sound'))
    })
  })
  return run
}
