import { getEventListeners } from 'node:events';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { describe, expect, it } from 'vitest';
import {
  createTimeoutSignal,
  deriveTimeoutSignal,
  runPeriodically,
  runWithTimeout,
  sleep,
} from './Tasks.js';

const SLEEP_MS = 10_000;

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

// Guards against a wait that ends at once because Node's timers fire a time over 2^31 ms immediately.
describe('a time longer than timers can wait', () => {
  it('is not over at once', async () => {
    const { signal } = new AbortController();
    const limited = [createTimeoutSignal(3e9), deriveTimeoutSignal(signal, 3e9)];
    const isOver = await runWithTimeout(signal, 3e9, async (inner) => {
      await Promise.race([sleep(3e9, inner), new Promise((resolve) => setTimeout(resolve, 20))]);
      return inner.aborted;
    });
    expect(isOver).toBe(false);
    expect(limited.map(({ aborted }) => aborted)).toEqual([false, false]);
  });
});

describe('runPeriodically', () => {
  it('continues after a failed step, so that one lost call does not end a task', async () => {
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

describe('deriveTimeoutSignal', () => {
  // A timeout signal that is only weakly held can be garbage-collected, and then it is never aborted.
  it('is aborted at the limit after garbage collections', async () => {
    setFlagsFromString('--expose-gc');
    const collectGarbage = runInNewContext('gc') as () => void;
    const parent = new AbortController();
    const signals = Array.from({ length: 20 }, () => deriveTimeoutSignal(parent.signal, 100));
    collectGarbage();
    await sleep(20, parent.signal);
    collectGarbage();
    await sleep(300, parent.signal);
    expect(signals.filter((signal) => signal.aborted)).toHaveLength(20);
  });

  it('removes its listener from the parent, so that a parent that lives as long as the process does not accumulate them', async () => {
    const parent = new AbortController();
    const signals = Array.from({ length: 5 }, () => deriveTimeoutSignal(parent.signal, 1));
    await Promise.all(signals.map((signal) => sleep(5_000, signal)));
    expect(getEventListeners(parent.signal, 'abort')).toHaveLength(0);
  });

  it('is aborted at once when its parent already is, so that no call starts after a stop', () => {
    const parent = new AbortController();
    parent.abort();
    expect(deriveTimeoutSignal(parent.signal, 60_000).aborted).toBe(true);
  });

  it('accepts a fractional number of milliseconds, such as the remaining time of a deadline', async () => {
    const signal = deriveTimeoutSignal(new AbortController().signal, 0.5);
    await sleep(5_000, signal);
    expect(signal.aborted).toBe(true);
  });
});

describe('runWithTimeout', () => {
  it('aborts at the limit after garbage collections, so that no call blocks a task forever', async () => {
    setFlagsFromString('--expose-gc');
    const collect = runInNewContext('gc') as () => void;
    const parent = new AbortController();
    const startedAt = performance.now();
    const calls = Array.from({ length: 100 }, () =>
      runWithTimeout(parent.signal, 100, (signal) => sleep(SLEEP_MS, signal)),
    );
    for (let n = 0; n < 5; n += 1) {
      collect();
      await sleep(5, parent.signal);
    }
    await Promise.all(calls);
    expect(performance.now() - startedAt).toBeLessThan(SLEEP_MS);
  });

  it('aborts with its parent, and at once when the parent is already aborted', async () => {
    const parent = new AbortController();
    const startedAt = performance.now();
    const call = runWithTimeout(parent.signal, SLEEP_MS, (signal) => sleep(SLEEP_MS, signal));
    parent.abort();
    await call;
    await runWithTimeout(parent.signal, SLEEP_MS, (signal) => sleep(SLEEP_MS, signal));
    expect(performance.now() - startedAt).toBeLessThan(SLEEP_MS);
  });
});
