/** Guards against requests that wait longer than they should, and against requests that are lost in the queue. */
import { setMaxListeners } from 'node:events';
import { describe, expect, it } from 'vitest';
import { MonotonicClock } from '../../common/Clock.js';
import { SILENT_LOG } from '../../common/Log.js';
import { Metrics } from '../../common/Metrics.js';
import { sleep } from '../../common/Tasks.js';
import type { IAssessedTarget } from './AdmissionDecision.js';
import { AdmissionQueue, type AdmissionOutcome, type IAdmissionItem } from './AdmissionQueue.js';

const clock = new MonotonicClock();

function buildQueue(): AdmissionQueue {
  return new AdmissionQueue({ mayWait: true, clock, metrics: new Metrics(), log: SILENT_LOG });
}

function buildTarget(queueMs: number): IAssessedTarget {
  const backlogTokens = queueMs * 55;
  return { expectedMs: 60 + queueMs, serviceMs: 60, tokens: 2_000, backlogTokens, hasQueue: false };
}

function buildItem(
  target: () => IAssessedTarget | undefined,
  changes: Partial<IAdmissionItem> = {},
): IAdmissionItem {
  const now = clock.now();
  return {
    id: 'r1',
    service: 'lace',
    priority: 0,
    account: 'pag',
    objectiveMs: 500,
    arrivedAt: now,
    deadlineAt: now + 4_000,
    signals: [],
    assess: target,
    ...changes,
  };
}

describe('AdmissionQueue', () => {
  it('admits a request without delay while there is room, so that its load counts for the next', () => {
    const outcome = buildQueue().admit(
      buildItem(() => buildTarget(0)),
      clock.now(),
    );
    expect(outcome).toMatchObject({ kind: 'serve' });
  });

  it('sends a waiting request soon after its target has room', async () => {
    let target = buildTarget(2_000);
    const queue = buildQueue();
    const outcome = queue.admit(
      buildItem(() => target),
      clock.now(),
    );
    expect(outcome).toBeInstanceOf(Promise);
    await sleep(100);
    target = buildTarget(50);
    const roomAt = clock.now();
    expect(await outcome).toMatchObject({ kind: 'serve' });
    expect(clock.now() - roomAt).toBeLessThan(150);
  });

  it('sends the more urgent of two waiting requests first, and the other one once there is room for it', async () => {
    let queueMs = 2_000;
    const queue = buildQueue();
    const order: string[] = [];
    const admit = async (id: string, priority: number): Promise<void> => {
      const deadlineAt = clock.now() + 15_000;
      const changes = { id, priority, objectiveMs: 2_000, deadlineAt };
      const item = buildItem(() => buildTarget(queueMs), changes);
      const { kind } = await queue.admit(item, clock.now());
      order.push(`${id} ${kind}`);
      queueMs += 300;
    };
    const waiting = [admit('letter', 2), admit('urgent', 0)];
    await sleep(20);
    queueMs = 1_300;
    await sleep(120);
    expect(order).toEqual(['urgent serve']);
    queueMs = 0;
    await Promise.all(waiting);
    expect(order).toEqual(['urgent serve', 'letter serve']);
  });

  it('ends the wait of a request whose client leaves, and keeps nothing of it', async () => {
    const queue = buildQueue();
    const client = new AbortController();
    const outcome = queue.admit(
      buildItem(() => buildTarget(2_000), { signals: [client.signal] }),
      clock.now(),
    );
    client.abort();
    expect(await outcome).toEqual({ kind: 'aborted' });
    expect(queue.services.get('lace')?.size).toBe(0);
  });

  // Guards against refusals that come when the client has given up.
  it('refuses a waiting request before its deadline if no target gets room', async () => {
    const queue = buildQueue();
    const now = clock.now();
    const item = buildItem(() => buildTarget(500), { deadlineAt: now + 900 });
    const outcome = await queue.admit(item, now);
    expect(outcome).toMatchObject({ kind: 'refuse' });
    expect(clock.now()).toBeLessThan(now + 900 - 100);
  });

  it('sends a request that has no target to wait for', async () => {
    let target: IAssessedTarget | undefined = buildTarget(2_000);
    const outcome = buildQueue().admit(
      buildItem(() => target),
      clock.now(),
    );
    target = undefined;
    expect(await outcome).toMatchObject({ kind: 'serve' });
  });

  it('refuses what exceeds the bound of one account, and still takes requests of another', async () => {
    const queue = buildQueue();
    const client = new AbortController();
    setMaxListeners(0, client.signal);
    const target = buildTarget(2_000);
    const outcomes = Array.from({ length: 501 }, (_, i) =>
      queue.admit(
        buildItem(() => target, { id: `r${i}`, signals: [client.signal], deadlineAt: 1e9 }),
        clock.now(),
      ),
    );
    expect(await outcomes.at(-1)).toMatchObject({ kind: 'refuse', reason: 'queue_full' });
    const other = buildItem(() => target, { account: 'other', signals: [client.signal] });
    const outcome: AdmissionOutcome | Promise<AdmissionOutcome> = queue.admit(other, clock.now());
    client.abort();
    expect(await outcome).toEqual({ kind: 'aborted' });
  });
});
