import neostandard from 'neostandard'

/** For each package, the workspace packages that it may import: only those below it. */
const BASE = ['runtime']
const SHARED = [...BASE, 'telemetry', 'protocol']
const ALLOWED_IMPORTS = {
  runtime: [],
  telemetry: BASE,
  protocol: [...BASE, 'telemetry'],
  configuration: SHARED,
  replication: [...SHARED, 'configuration'],
  membership: [...SHARED, 'configuration'],
  health: [...SHARED, 'configuration', 'membership'],
  limits: [...SHARED, 'configuration', 'membership'],
  dispatch: [...SHARED, 'configuration'],
  request: [...SHARED, 'configuration', 'membership', 'health', 'limits', 'dispatch'],
  entry: [...SHARED, 'configuration', 'membership', 'health', 'limits', 'dispatch', 'request'],
  control: [...SHARED, 'configuration', 'replication', 'dispatch'],
  operator: [...SHARED, 'configuration'],
  bench: [...SHARED, 'configuration', 'replication', 'membership', 'health', 'limits', 'dispatch', 'request', 'control', 'operator', 'entry', 'testing'],
  testing: [...SHARED]
}

const PACKAGE_NAMES = Object.keys(ALLOWED_IMPORTS)

function forbiddenImports (allowed, self, extra) {
  return PACKAGE_NAMES
    .filter((name) => name !== self && !allowed.includes(name) && !extra.includes(name))
    .map((name) => ({ group: [`@hickoryspoke/${name}/*`], message: `${self} may import only packages below it` }))
}

function boundary (self, files, extra) {
  const patterns = [
    ...forbiddenImports(ALLOWED_IMPORTS[self], self, extra),
    PLATFORM_BOUNDARY,
    { group: ['../../*/src/*', '../../../*/src/*'], message: 'import other packages by name' }
  ]
  return { files, rules: { 'no-restricted-imports': ['error', { patterns }] } }
}

/** The platform's folder stands above all packages: nothing imports from it. */
const PLATFORM_BOUNDARY = {
  group: ['@hickoryspoke/platform', '@hickoryspoke/platform/*', '**/platform/src/*'],
  message: 'nothing outside platform/ may know the platform'
}

const boundaries = PACKAGE_NAMES.flatMap((name) => [
  boundary(name, [`packages/${name}/src/*.ts`], []),
  boundary(name, [`packages/${name}/src/tests/**/*.ts`], ['testing'])
])

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', '**/generated/**', 'node_modules/**'] }),
  {
    files: ['**/*.ts'],
    rules: {
      'no-restricted-syntax': ['error', { selector: 'TSEnumDeclaration', message: 'use a constant object' }],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      'max-lines': ['error', { max: 300, skipBlankLines: true, skipComments: true }],
      'max-len': ['error', { code: 160, ignoreUrls: true, ignoreTemplateLiterals: true, ignoreStrings: true }],
      'no-redeclare': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      '@typescript-eslint/no-redeclare': 'off'
    }
  },
  ...boundaries
]
