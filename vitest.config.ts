import { configDefaults, defineConfig } from 'vitest/config';

/** Tests with real processes under load, which run one at a time: `npm run test:crowd`. */
const CROWD_TESTS = 'platform/crowd/**/*.test.ts';
const isCrowdRun = process.env.REDWINGWHARF_CROWD === '1';

export default defineConfig({
  test: {
    include: isCrowdRun
      ? [CROWD_TESTS]
      : ['src/**/*.test.ts', 'platform/**/*.test.ts', 'fakes/**/*.test.ts', 'tools/**/*.test.ts'],
    exclude: isCrowdRun ? configDefaults.exclude : [...configDefaults.exclude, CROWD_TESTS],
    fileParallelism: !isCrowdRun,
    runner: './tools/KnownFailureRunner.ts',
    testTimeout: 20_000,
    server: { deps: { inline: ['ts-results'] } },
    pool: 'forks',
    poolOptions: { forks: { maxForks: 4 } },
  },
});
