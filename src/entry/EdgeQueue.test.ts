import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { DispatchQueue } from '../admission/DispatchQueue.js';
import { Metrics } from '../common/Metrics.js';
import { Ok } from '../common/Result.js';
import { EdgeHarness, waitFor } from './EdgeHarness.js';
import { OpenRequest } from './OpenRequests.js';
import { admitPlainCall } from './PlainFlow.js';
import { QueueStage } from './QueueStage.js';
import type { IFlowServices, IRequestContext } from './Types.js';

const ACCOUNT = { id: 'pag', tokensPerSecond: 10, priority: 0, services: ['order-desk'] };

function createContext(requestId: string): IRequestContext {
  const caller = { account: ACCOUNT, keyId: '1' };
  const open = new OpenRequest(requestId, caller as never, 60_000);
  const service = { name: 'order-desk', timeoutMs: 60_000 };
  return { requestId, caller, open, service, startedAt: 0 } as unknown as IRequestContext;
}

describe('a refused request', () => {
  it('is refunded all its tokens and reported as not run', async () => {
    const clock = { now: () => 0 };
    const queue = new DispatchQueue(clock, {
      listLoads: () => [{ target: 'desk-0', load: 0 }],
      maxRequestsPerTarget: 1,
      limits: { maxRequests: 0 },
    });
    const stage = new QueueStage(queue, { clock, metrics: new Metrics() } as IFlowServices);
    const settled: number[] = [];
    const admission = { settle: (usedTokens: number) => settled.push(usedTokens) };
    const admitter = { admit: () => Promise.resolve(Ok(admission)) };
    const body = Buffer.alloc(40);
    const first = await admitPlainCall(admitter, stage, createContext('1'), body);
    const second = await admitPlainCall(admitter, stage, createContext('2'), body);
    expect([first.ok, settled]).toEqual([true, [10, 0]]);
    expect(second.val).toMatchObject({ code: 'overloaded', ran: 'no' });
    expect((second.val as { retryAfterMs: number }).retryAfterMs).toBeGreaterThan(0);
  });
});

describe('the fair queue of the entry', () => {
  let harness: EdgeHarness;

  beforeAll(async () => {
    harness = await EdgeHarness.start({
      engines: [],
      overrides: { queue: { maxRequestsPerTarget: 8 } },
      serviceTimeoutMs: 60_000,
    });
  });

  afterAll(async () => {
    await harness.dispose();
  });

  it('serves a client account before the backlog of another one that sends too much', async () => {
    await harness.addAccount('hvar', 1e8);
    const { text: key } = await harness.createKey('hvar');
    let flooded = 0;
    // One target runs 8 requests at a time, so these 80 take ten rounds of a second, also if they arrive over some seconds.
    const flood = Array.from({ length: 80 }, async () => {
      const body = JSON.stringify({ delayMs: 1_000 });
      const answer = await harness.call('/stock/linen', { method: 'POST', body });
      flooded += 1;
      return answer.status;
    });
    await waitFor('a backlog', () => {
      const text = harness.entries[0]?.metrics.render() ?? '';
      return Number(/^redwingwharf_queued_requests (\d+)$/m.exec(text)?.[1] ?? 0) > 40;
    });
    const otherAnswer = await harness.call('/stock/linen', { key });
    expect(otherAnswer.status).toBe(200);
    expect(flooded).toBeLessThan(60);
    const statuses = new Set(await Promise.all(flood));
    expect([...statuses]).toEqual([201]);
  });
});
