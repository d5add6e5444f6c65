import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: resolveIgnoresFromGitignore() }),
  {
    rules: {
      'no-void': ['error', { allowAsStatement: true }],
      'no-restricted-syntax': ['error', {
        selector: 'ImportDeclaration[source.value=/^(node:|@switchridge\\/)/] > :matches(ImportSpecifier, ImportDefaultSpecifier)',
        message: 'Import namespaces: import * as name from ...'
      }]
    }
  }
]
