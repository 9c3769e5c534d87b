import { setImmediate as nextTurn } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { AcceptBacklog } from './AcceptBacklog.js';

describe('AcceptBacklog', () => {
  it('grows while a connection is accepted in each turn', async () => {
    const backlog = new AcceptBacklog();
    const ages: number[] = [];
    for (const now of [1_000, 1_030, 1_060, 1_090]) {
      ages.push(backlog.recordAccept(now));
      await nextTurn();
    }
    expect(ages).toEqual([0, 30, 60, 90]);
    expect(backlog.getAgeMs(1_100)).toBe(100);
  });

  it('ends with a turn without one', async () => {
    const backlog = new AcceptBacklog();
    backlog.recordAccept(1_000);
    await nextTurn();
    await nextTurn();
    expect(backlog.getAgeMs(1_100)).toBe(0);
    expect(backlog.recordAccept(1_200)).toBe(0);
  });

  it('counts connections of one turn as one', () => {
    const backlog = new AcceptBacklog();
    expect([backlog.recordAccept(1_000), backlog.recordAccept(1_010)]).toEqual([0, 10]);
  });
});
