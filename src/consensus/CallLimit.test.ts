import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { describe, expect, it } from 'vitest';
import { sleep } from '../common/Tasks.js';
import { runWithLimit } from './CallLimit.js';

const LONG_MS = 10_000;

describe('runWithLimit', () => {
  it('aborts at the limit after garbage collections, so that no call blocks a task for good', async () => {
    setFlagsFromString('--expose-gc');
    const collect = runInNewContext('gc') as () => void;
    const parent = new AbortController();
    const startedAt = performance.now();
    const calls = Array.from({ length: 100 }, () =>
      runWithLimit(parent.signal, 100, (signal) => sleep(LONG_MS, signal)),
    );
    for (let n = 0; n < 5; n += 1) {
      collect();
      await sleep(5, parent.signal);
    }
    await Promise.all(calls);
    expect(performance.now() - startedAt).toBeLessThan(LONG_MS);
  });

  it('aborts with its parent, also one that is aborted already', async () => {
    const parent = new AbortController();
    const startedAt = performance.now();
    const call = runWithLimit(parent.signal, LONG_MS, (signal) => sleep(LONG_MS, signal));
    parent.abort();
    await call;
    await runWithLimit(parent.signal, LONG_MS, (signal) => sleep(LONG_MS, signal));
    expect(performance.now() - startedAt).toBeLessThan(LONG_MS);
  });
});
