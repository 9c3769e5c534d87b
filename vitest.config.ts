import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: [
      'src/**/*.test.ts',
      'platform/**/*.test.ts',
      'fakes/**/*.test.ts',
      'tools/**/*.test.ts',
    ],
    runner: './tools/KnownFailureRunner.ts',
    testTimeout: 20_000,
    server: { deps: { inline: ['ts-results'] } },
    pool: 'forks',
    poolOptions: { forks: { maxForks: 4 } },
  },
});
