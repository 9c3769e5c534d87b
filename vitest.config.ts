import { accessSync, constants } from 'node:fs';
import { tmpdir } from 'node:os';
import { defineConfig } from 'vitest/config';

const MEMORY_FOLDER = '/dev/shm';

/**
 * A memory file system if there is one: on a disk that others use, a sync may take a second, which is more than the time
 * limits of the tests allow. Slow disks have tests of their own.
 */
function findTestFolder(): string {
  try {
    accessSync(MEMORY_FOLDER, constants.W_OK);
    return MEMORY_FOLDER;
  } catch {
    return tmpdir();
  }
}

export default defineConfig({
  test: {
    include: [
      'src/**/*.test.ts',
      'platform/**/*.test.ts',
      'fakes/**/*.test.ts',
      'tools/**/*.test.ts',
    ],
    env: { TMPDIR: findTestFolder() },
    testTimeout: 20_000,
    server: { deps: { inline: ['ts-results'] } },
    pool: 'forks',
    poolOptions: { forks: { maxForks: 4 } },
  },
});
