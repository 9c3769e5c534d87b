import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { describe, expect, it } from 'vitest';
import { limitSignal, runPeriodically, sleep } from './Tasks.js';

describe('sleep', () => {
  it('ends early on abort, so that shutdown does not wait for timers', async () => {
    const controller = new AbortController();
    const startedAt = performance.now();
    const sleeping = sleep(60_000, controller.signal);
    controller.abort();
    await sleeping;
    expect(performance.now() - startedAt).toBeLessThan(5_000);
  });
});

describe('runPeriodically', () => {
  it('goes on after a failed step, so that one lost call does not end a task', async () => {
    const controller = new AbortController();
    const failures: unknown[] = [];
    let steps = 0;
    await runPeriodically(
      1,
      controller.signal,
      () => {
        steps += 1;
        if (steps === 3) {
          controller.abort();
        }
        return steps === 1 ? Promise.reject(new Error('lost')) : Promise.resolve();
      },
      (error) => failures.push(error),
    );
    expect(steps).toBe(3);
    expect(failures).toHaveLength(1);
  });
});

describe('limitSignal', () => {
  it('guards against a limit that is lost when the garbage is collected', async () => {
    setFlagsFromString('--expose-gc');
    const collectGarbage = runInNewContext('gc') as () => void;
    const parent = new AbortController();
    const signals = Array.from({ length: 20 }, () => limitSignal(parent.signal, 100));
    collectGarbage();
    await sleep(20, parent.signal);
    collectGarbage();
    await sleep(300, parent.signal);
    expect(signals.filter((signal) => signal.aborted)).toHaveLength(20);
  });

  it('accepts the remaining time of a deadline, which is no whole number', async () => {
    const signal = limitSignal(new AbortController().signal, 0.5);
    await sleep(5_000, signal);
    expect(signal.aborted).toBe(true);
  });
});
