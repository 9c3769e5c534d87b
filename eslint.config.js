import { readFileSync } from 'node:fs';
import prettier from 'eslint-config-prettier';
import redos from 'eslint-plugin-redos';
import tseslint from 'typescript-eslint';

// Names of functions and methods must begin with a verb from the list in docs/naming.md.
const verbs = readFileSync(new URL('docs/naming.md', import.meta.url), 'utf8')
  .split('<!-- verbs -->')[1]
  .trim()
  .split(/\s+/);
const verbPattern = `^(${verbs.join('|')})($|[A-Z0-9])`;
const verbFirst = { regex: verbPattern, match: true };

export default tseslint.config(
  { ignores: ['dist', 'target', 'journal', 'src/gen', 'node_modules', 'eslint.config.js'] },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  prettier,
  {
    // platform/ adapts the product to its platform; the product must not depend on it.
    files: ['src/**/*.ts', 'fakes/**/*.ts', 'tools/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: [{ group: ['**/platform/**'] }] }],
    },
  },
  {
    // Expressions that process bytes of others must not take more than linear time.
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    ignores: ['**/*.test.ts', 'platform/soak/**'],
    plugins: { redos },
    rules: { 'redos/no-vulnerable': ['error', { permittableComplexities: [] }] },
  },
  { files: ['**/*.mjs'], ...tseslint.configs.disableTypeChecked },
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/explicit-function-return-type': ['error', { allowExpressions: true }],
      '@typescript-eslint/explicit-member-accessibility': [
        'error',
        { overrides: { constructors: 'no-public' } },
      ],
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: 'function', format: ['camelCase'], custom: verbFirst },
        {
          selector: 'classMethod',
          modifiers: ['private'],
          format: ['camelCase'],
          leadingUnderscore: 'require',
          custom: verbFirst,
        },
        { selector: 'classMethod', format: ['camelCase'], custom: verbFirst },
        {
          selector: 'classProperty',
          modifiers: ['private'],
          format: ['camelCase'],
          leadingUnderscore: 'require',
        },
        { selector: 'interface', format: ['PascalCase'], prefix: ['I'] },
        { selector: 'class', format: ['PascalCase'] },
        { selector: 'typeAlias', format: ['PascalCase'] },
      ],
      '@typescript-eslint/no-restricted-types': 'off',
      'no-restricted-syntax': [
        'error',
        { selector: 'TSEnumDeclaration', message: 'Use a constant object with `as const`.' },
      ],
    },
  },
);
