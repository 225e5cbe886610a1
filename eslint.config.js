import neostandard from 'neostandard'

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'target/**'] },
  ...neostandard({ ts: true, noJsx: true }),
  {
    files: ['**/*.ts'],
    rules: {
      'max-len': ['error', { code: 140 }],
      'max-lines': ['error', { max: 420, skipBlankLines: true, skipComments: true }],
      'no-void': 'off'
    }
  }
]
