/** Guards against a search for the leader that waits for processes that are down. */
import { describe, expect, it } from 'vitest';
import { sleep } from '../common/Tasks.js';
import { findLeader, type LeaderQuestion } from './LeaderSearch.js';

const SIGNAL = new AbortController().signal;

/** Processes that answer at once; all others hang until they are given up. */
function buildQuestion(leaders: Readonly<Record<string, string>>): LeaderQuestion {
  return async (address, signal) => {
    const leaderAddress = leaders[address];
    if (leaderAddress === undefined) {
      await sleep(10_000, signal);
      return undefined;
    }
    return { leads: leaderAddress === address, leaderAddress };
  };
}

describe('findLeader after a common stop', () => {
  it('waits for no process that is still down when another one leads', async () => {
    const startedAt = performance.now();
    const ask = buildQuestion({ c: 'c', d: '' });
    expect(await findLeader(['a', 'b', 'c', 'd'], ask, SIGNAL)).toBe('c');
    expect(performance.now() - startedAt).toBeLessThan(1_000);
  });

  it('takes who was named when the time is up', async () => {
    const ask = buildQuestion({ b: 'c' });
    expect(await findLeader(['a', 'b'], ask, AbortSignal.timeout(50))).toBe('c');
  });

  it('finds none when nobody knows one', async () => {
    expect(await findLeader(['a', 'b'], buildQuestion({ a: '', b: '' }), SIGNAL)).toBeUndefined();
  });
});
