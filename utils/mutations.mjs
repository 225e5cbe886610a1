/**
 * Breaks one invariant at a time in the built core and checks that the randomized simulations detect it.
 * The core's own assertions are disabled meanwhile, so that only the checks at the simulated servers and callers can fail.
 * `npm run mutations` exits with 1 when a mutation was not detected.
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
  ['cold-limit', 'placement/candidates.js', 'if (cold && !record.cold.allows(context.cold, context.share, now))', 'if (false)', [
    ['placement/candidates.js', 'cold || blame > MAX_MULTI_SLOT_BLAME', 'false']
  ]],
  ['cold-limit', 'placement/candidates.js', '&& record.sentSinceProbe(now) <= maxSentSinceProbe(context)', '', [
    ['placement/candidates.js', 'if (context.asks && record.sentSinceProbe(now) > maxSentSinceProbe(context) + record.slots)', 'if (false)']
  ]],
  ['cold-limit', 'placement/schedulerHost.js', 'return Math.min(SCHEDULER_SHARE_FRACTION, 1 / (2 * roster.most));', 'return 1;', [
    ['placement/schedulerHost.js', 'const SCHEDULER_SHARE_FRACTION = 0.33', 'const SCHEDULER_SHARE_FRACTION = 1.5']
  ]],
  ['retry-budget', 'budgets/retryBudget.js', 'return this._spent.total(now) + 1 <= this._allowed(share, now);', 'return true;', [
    ['requests/requestHandler.js', 'const HEDGE_DELAY_RATIO = 1.3', 'const HEDGE_DELAY_RATIO = 0.2']
  ]],
  ['zone-out', 'configuration/declarations.js', 'return !this._evacuated.has(zone) && !(this._gateway?.zonesOut.includes(zone) ?? false);', 'return true;'],
  ['leaving-server', 'discovery/catalog.js', "entry.state === 'ready' && ", '', [
    ['requests/requestHandler.js', "if (catalog.get(server.id)?.state === 'draining')\n            return 'draining';", '']
  ]],
  ['leaving-server', 'discovery/catalog.js',
    "return this._leaving.get(entry.id) === entry.incarnation ? { ...entry, state: 'draining' } : entry;", 'return entry;'],
  ['server-hold', 'placement/serverHolds.js', 'return hold !== undefined && hold.incarnation === incarnation && now < hold.until;',
    'return false;', [['placement/serverHolds.js', 'if (hold.service === service && isCurrent && now < hold.until)', 'if (false)']]],
  ['server-limit', 'placement/limitedRates.js', 'return limit === undefined ? undefined', 'return true ? undefined', [],
    'should be used up to nine tenths'],
  ['server-limit', 'placement/schedulerShares.js', 'return OTHER_ENTRIES_LIMIT_SHARE / this._options.roster.most', 'return 1', [],
    'and place by themselves'],
  ['leaving-server', 'store/storeAccess.js', 'return overdueMs > 0 &&', 'return false &&', [
    ['members/failureDetector.js', 'const SUSPECT_AFTER_MS = 350', 'const SUSPECT_AFTER_MS = 5000']
  ]],
  ['not-run-truth', 'requests/requestHandler.js', "mayHaveRun ? 'unknown' : 'not-run'", "'not-run'"],
  ['at-most-once', 'requests/requestHandler.js', 'if (request.mayHaveRun && (!route.repeatable || retrySpent))', 'if (false)', [
    ['requests/requestHandler.js', "if (!request.spec.route.repeatable && request.mayHaveRun)\n            return 'may-have-run';", '']
  ]],
  ['one-answer', 'requests/requestHandler.js', 'this._close(request, now);\n        this._log.answered(', 'this._log.answered('],
  ['no-revert', 'configuration/declarations.js', 'if (gateway.revision <= this.revision)', 'if (false)', [
    ['store/replica.js', 'if (this._version !== undefined && version < this._version)\n            return [];', ''],
    ['store/replica.js', 'if (row.version <= known)\n            return;', '']
  ], 'should never go back to an older gateway'],
  ['in-force-everywhere', 'store/changePublisher.js', 'if (isStandby)', 'if (true) return;\n        if (isStandby)', [
    ['store/storeWatch.js', 'if (behind)', 'if (false)'],
    ['store/storeAccess.js', 'return overdueMs > 0 &&', 'return false &&']
  ]],
  ['one-membership', 'members/joining.js', 'if (!known.has(', 'if (false && known.has(', [
    ['members/registration.js', 'if (this._registeredAt > -Infinity)', 'if (false)']
  ]],
  ['one-membership', 'members/roster.js', 'this._table.restate({ ...self, sequence });\n        this._restate({}, now);', ''],
  ['overflow', 'placement/overflow.js', 'if (pressure <= MAX_PRESSURE_WITHOUT_OVERFLOW)', 'if (true)', [
    ['placement/schedulerHost.js', 'if (!mayRedirect)', 'if (true)']
  ], 'should pass requests on when a zone'],
  ['abandoned', 'requests/requestHandler.js', 'if (now >= request.expiresAt)', 'if (!request.callerLeft && now >= request.expiresAt)', [],
    'should not keep an order open for ever'],
  ['lapsed-registration', 'discovery/catalog.js', "if (change.unreadable || listed.entry.state === 'draining' || now >= returnBy)", 'if (true)', [],
    'should keep servers whose registrations lapsed'],
  ['fuzzed-rows', 'discovery/registeredServer.js', 'return schema.safeParse(value).data;', 'return value;', [],
    'should name a server in range or none'],
  ['fuzzed-load', '../../../platform/dist/dialect.js', 'if (!parts)', 'if (!parts) return { running: NaN, waiting: 0, slots: 0, pace: 0 };\n        if (false)', [],
    'should read a load or none'],
  ['fuzzed-settings', '../../entry/dist/settings.js', 'throw new InvalidSettings', 'throw new Error', [], 'should accept settings or name the fault'],
  ['fuzzed-datagrams', '../../entry/dist/peers/datagramCodec.js', 'return FIELD_SCHEMAS[required].safeParse(value).data;', 'return value;', [],
    'should decode a message whose fields have their types'],
  ['fuzzed-caller', '../../entry/dist/caller/resolve.js', 'if (fault !== undefined)', 'if (false)', [
    ['../../entry/dist/runtime/entryNode.js', 'this._endFailed(effect);', 'throw error;']
  ], 'should answer the next request after a caller'],
  ['fuzzed-directory', '../../entry/dist/directory/directoryListener.js', 'switch (path) {', 'new URL(request.url, "http://entry");\n        switch (path) {', [
    ['../../entry/dist/runtime/httpListener.js', 'response.destroy();\n            }', 'throw error;\n            }']
  ], 'question to the directory'],
  ['fuzzed-server', '../../entry/dist/backend/backendClient.js', 'const fault = headFault(message);', 'const fault = undefined;', [
    ['../../entry/dist/runtime/entryNode.js', 'this._endFailed(effect);', 'throw error;']
  ], 'should pass on a whole answer or none'],
  ['departed-caller', 'requests/requestHandler.js', "this._options.outbox.put({ kind: 'discard', request: id });", '', [],
    'should keep nothing of requests whose callers left'],
  ['late-in-a-stop', 'requests/plannedStop.js', 'return expiresAt <= this.closesAt;', 'return true;', [], 'may not end within the grace time of a stop'],
  ['quota', 'customers/quotaBuckets.js', 'if (this._refill(bucket, rateOf(customer, share), now) > 0)', 'if (false)', [], 'quotas should'],
  ['quota', 'customers/quotaSlice.js', 'if (holder && (holder.instance !== instance || holder.incarnation > incarnation))', 'if (false)', [],
    'quota holders should'],
  ['quota', 'customers/quotaPool.js', 'if (share < MIN_SHARE - ROUNDING)', 'if (false)', [], 'quota holders should'],
  ['retry-slack', 'placement/schedulerShares.js', 'return isEstablished ? SCHEDULER_SHARE : this._ownShare(now)', 'return SCHEDULER_SHARE', [],
    'limits over all entries should'],
  ['customer-key', '../../entry/dist/backend/backendClient.js', 'replacedHeaders.add(name)', 'void name', [], 'which never passes on a key'],
  ['withdrawn-key', '../../entry/dist/caller/resolve.js', 'if (customer)', 'if (isKey)', [], 'with a key that was withdrawn'],
  ['starved-customer', 'customers/servedFractions.js', 'return fraction.granted / fraction.total <', 'return false && 0 <', [],
    'should serve no customer less'],
  ['rollout-order', 'rollouts/serviceVersions.js', 'if (startOf(server) <= oldestAt + COMMON_START_MS)', 'if (true)', [],
    'should give nothing to another version before'],
  ['exposure', 'rollouts/versionTrial.js', 'return former;\n        const target', 'return candidates;\n        const target', [
    ['rollouts/versionTrial.js', 'if (this._given + 1 > this._arrived * usedShare + usableSlack)', 'if (false)']
  ], 'within its exposure'],
  ['rollout-completed', 'rollouts/rolloutDecider.js', 'return this._isSettled(record.service, state, now) ?', 'return true ?', [],
    'roll-outs should'],
  ['rollout-bad', 'rollouts/versionJudgement.js', "return 'bad';", "return 'good';", [], 'should take back a bad version'],
  ['stop-cuts-nothing', 'entryCore.js', 'this.requests.open > 0 || ', '']
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

/** Runs all seeds in parallel. The first run that detects the broken invariant ends the others. */
async function search (invariant) {
  const runs = SEEDS.map((seed) => soak(seed, invariant))
  const found = await Promise.any(runs.map((run) => run.found)).catch(() => undefined)
  for (const run of runs) run.child.kill()
  return found
}

/** Resolves to a description if the spec with that title fails, else to undefined. */
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
