import { Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { AcceptBacklog } from './AcceptBacklog.js';

/** Accepts a connection in each of some turns, and returns the last one. */
async function acceptInTurns(backlog: AcceptBacklog, times: readonly number[]): Promise<Socket> {
  let socket = new Socket();
  for (const [index, now] of times.entries()) {
    if (index > 0) {
      await nextTurn();
    }
    socket = new Socket();
    backlog.recordAccept(socket, now);
  }
  return socket;
}

/** Number of turns for which the first request on a connection is held back. */
async function countTurns(backlog: AcceptBacklog, socket: Socket): Promise<number> {
  let turns = 0;
  const wait = { isOver: false };
  void backlog.waitForEnd(socket).then(() => {
    wait.isOver = true;
  });
  await Promise.resolve();
  await Promise.resolve();
  while (!wait.isOver) {
    turns += 1;
    await nextTurn();
  }
  return turns;
}

describe('AcceptBacklog', () => {
  it('grows while a connection is accepted in each turn', async () => {
    const backlog = new AcceptBacklog();
    await acceptInTurns(backlog, [1_000, 1_030, 1_060, 1_090]);
    expect(backlog.getAgeMs(1_100)).toBe(100);
  });

  it('ends with a turn without one', async () => {
    const backlog = new AcceptBacklog();
    await acceptInTurns(backlog, [1_000]);
    await nextTurn();
    await nextTurn();
    expect(backlog.getAgeMs(1_100)).toBe(0);
    await acceptInTurns(backlog, [1_200]);
    expect(backlog.getAgeMs(1_210)).toBe(10);
  });

  it('holds back the first request of a connection that may have waited for long', async () => {
    const backlog = new AcceptBacklog();
    const socket = await acceptInTurns(backlog, [1_000, 1_050, 1_100]);
    expect(await countTurns(backlog, socket)).toBe(2);
    expect(await countTurns(backlog, socket)).toBe(0);
  });

  it('holds back no request of one that has not', async () => {
    const backlog = new AcceptBacklog();
    expect(await countTurns(backlog, await acceptInTurns(backlog, [1_000]))).toBe(0);
    expect(await countTurns(backlog, await acceptInTurns(backlog, [1_040, 1_090]))).toBe(0);
  });
});
