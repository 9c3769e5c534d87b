/** Guards against a search for the leader that waits for the timeout of processes that are down. */
import { describe, expect, it } from 'vitest';
import { sleep } from '../common/Tasks.js';
import { findLeader, type LeaderQuery } from './LeaderSearch.js';

const SIGNAL = new AbortController().signal;

/** Processes that answer at once with the leader's address; all others hang until the call is aborted. */
function buildQuery(leaders: Readonly<Record<string, string>>): LeaderQuery {
  return async (address, signal) => {
    const leaderAddress = leaders[address];
    if (leaderAddress === undefined) {
      await sleep(10_000, signal);
      return undefined;
    }
    return { leads: leaderAddress === address, leaderAddress };
  };
}

describe('findLeader after a simultaneous stop', () => {
  it('returns the leader without waiting for processes that are still down', async () => {
    const startedAt = performance.now();
    const query = buildQuery({ c: 'c', d: '' });
    expect(await findLeader(['a', 'b', 'c', 'd'], query, SIGNAL)).toBe('c');
    expect(performance.now() - startedAt).toBeLessThan(1_000);
  });

  it('returns the reported leader at the timeout if no process has answered as leader', async () => {
    const query = buildQuery({ b: 'c' });
    expect(await findLeader(['a', 'b'], query, AbortSignal.timeout(50))).toBe('c');
  });

  it('returns undefined if no process knows a leader', async () => {
    expect(await findLeader(['a', 'b'], buildQuery({ a: '', b: '' }), SIGNAL)).toBeUndefined();
  });
});
