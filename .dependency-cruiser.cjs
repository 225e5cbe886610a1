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

const SHARED = ['errors', 'invariants', 'random', 'hash', 'effects', 'events']

module.exports = {
  forbidden: [
    { name: 'no-orphans', severity: 'error', from: { orphan: true, path: '^packages/', pathNot: ['(jsCsp\\.d|index)\\.ts$'] }, to: {} },
    only('core', []),
    only('csp', []),
    only('platform', ['core']),
    only('entry', ['core', 'csp', 'platform']),
    only('operator', ['core', 'platform']),
    only('standins', ['core', 'csp', 'platform', 'entry']),
    only('laboratory', ['core', 'csp', 'platform', 'entry', 'standins']),
    { name: 'core-is-pure', severity: 'error', from: { path: '^packages/core/' }, to: { path: '^(node:)?(http|https|net|dgram|fs|timers|crypto|child_process|worker_threads)(/|$)' } },
    { name: 'no-child-processes', severity: 'error', from: { path: '^packages/' }, to: { path: '^(node:)?(child_process|cluster|worker_threads)(/|$)' } },
    folder('core/src/limits', [...SHARED, 'configuration/document']),
    folder('core/src/configuration', [...SHARED, 'membership']),
    folder('core/src/membership', [...SHARED, 'configuration/revisions', 'limits/backendServer']),
    folder('core/src/retries', [...SHARED, 'membership/tables', 'routing/request']),
    folder('core/src/measuring', [...SHARED, 'configuration/document', 'limits']),
    folder('core/src/routing', [...SHARED, 'configuration', 'limits', 'membership', 'retries']),
    folder('entry/src/platform', ['errors']),
    folder('entry/src/peers', ['errors', 'headers', 'backend', 'runtime']),
    folder('entry/src/backend', ['errors', 'headers', 'runtime']),
    folder('entry/src/operators', ['errors', 'caller', 'runtime']),
    { name: 'no-wiring-inside', severity: 'error', from: { path: '^packages/entry/src/(backend|caller|peers|platform|operators|runtime)/' }, to: { path: '^packages/entry/src/(wiring|bin)' } }
  ],
  options: {
    doNotFollow: { path: ['node_modules', '/dist/'] },
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.base.json' },
    enhancedResolveOptions: { exportsFields: ['exports'], conditionNames: ['types', 'import', 'default'] }
  }
}
