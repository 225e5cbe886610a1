/** What each package and folder may import. */
const only = (from, allowed) => ({
  name: `${from}-imports`,
  severity: 'error',
  from: { path: `^packages/${from}/` },
  to: { path: '^packages/', pathNot: [`^packages/${from.split('/')[0]}/`, ...allowed.map((name) => `^packages/${name}/`)] }
})

const folder = (from, allowed) => ({
  name: `${from}-folder`,
  severity: 'error',
  from: { path: `^packages/${from}/` },
  to: {
    path: `^packages/${from.split('/')[0]}/`,
    pathNot: [`^packages/${from}/`, ...allowed.map((name) => `^packages/${from.split('/')[0]}/src/${name}`)]
  }
})

const SHARED = ['errors', 'invariants', 'random', 'hash', 'position', 'effects', 'events']

module.exports = {
  forbidden: [
    { name: 'no-circular', severity: 'error', from: {}, to: { circular: true, viaOnly: { dependencyTypesNot: ['type-only'] } } },
    { name: 'no-orphans', severity: 'error', from: { orphan: true, path: '^packages/', pathNot: ['(jsCsp\\.d|index)\\.ts$'] }, to: {} },
    { name: 'platform-is-an-adapter', severity: 'error', from: { path: '^packages/' }, to: { path: '^platform/' } },
    only('core', []),
    only('csp', []),
    only('store', ['core']),
    only('entry', ['core', 'csp', 'store']),
    only('operator', ['core', 'store']),
    only('standins', ['core', 'csp', 'store', 'entry']),
    only('laboratory', ['core', 'csp', 'store', 'entry', 'standins']),
    { name: 'core-is-pure', severity: 'error', from: { path: '^packages/core/' }, to: { path: '^(node:)?(http|https|net|dgram|fs|timers|crypto|child_process|worker_threads)(/|$)' } },
    { name: 'no-child-processes', severity: 'error', from: { path: '^(packages|platform)/' }, to: { path: '^(node:)?(child_process|cluster|worker_threads)(/|$)' } },
    folder('core/src/budgets', []),
    folder('core/src/configuration', SHARED),
    folder('core/src/customers', [...SHARED, 'budgets', 'configuration', 'members']),
    folder('core/src/discovery', ['position']),
    folder('core/src/store', [...SHARED, 'configuration', 'discovery', 'members', 'rollouts']),
    folder('core/src/members', [...SHARED, 'budgets', 'discovery', 'placement', 'store/row', 'rollouts/answerCounts']),
    folder('core/src/placement', [...SHARED, 'budgets', 'configuration', 'discovery', 'members', 'rollouts', 'customers/servedFractions']),
    folder('core/src/requests', [...SHARED, 'configuration', 'customers', 'discovery', 'members', 'placement', 'rollouts']),
    folder('core/src/rollouts', [...SHARED, 'configuration', 'discovery', 'members', 'placement', 'store/row']),
    folder('entry/src/backend', ['caller/exchange', 'dialect', 'errors', 'headers', 'pendingInput', 'serverStatement']),
    folder('entry/src/caller', ['backend/answer', 'dialect', 'errors', 'headers', 'pendingInput', 'runtime']),
    folder('entry/src/directory', ['dialect', 'runtime']),
    folder('entry/src/operators', ['caller/body', 'errors', 'runtime']),
    folder('entry/src/peers', ['errors']),
    folder('entry/src/reports', ['runtime']),
    folder('entry/src/store', ['errors']),
    { name: 'no-wiring-inside', severity: 'error', from: { path: '^packages/entry/src/(backend|caller|directory|peers|store|operators|reports|runtime)/' }, to: { path: '^packages/entry/src/(wiring|main|bin)' } }
  ],
  options: {
    doNotFollow: { path: ['node_modules', '/dist/'] },
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.base.json' },
    enhancedResolveOptions: { exportsFields: ['exports'], conditionNames: ['types', 'import', 'default'] }
  }
}
