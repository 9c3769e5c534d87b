import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { IDisposable } from '../common/Lifecycle.js';
import {
  DispatchQueue,
  type IDispatchQueueOptions,
  type IDispatchRequest,
  type IReportedLoad,
} from './DispatchQueue.js';

class ManualClock {
  public time = 10_000;

  public now(): number {
    return this.time;
  }
}

/** Queue under test with a manual clock; `loads` are the reported loads, `dispatchSlots` the issued slots. */
class QueueHarness {
  public readonly clock = new ManualClock();
  public loads = [0];
  public readonly admitted: string[] = [];
  public readonly refused: string[] = [];
  public readonly dispatchSlots: IDisposable[] = [];
  public readonly queue: DispatchQueue;
  private _count = 0;

  constructor(options: Partial<IDispatchQueueOptions> = {}) {
    const listLoads = (): IReportedLoad[] =>
      this.loads.map((load, index) => ({ target: `${index}`, load }));
    this.queue = new DispatchQueue(this.clock, { listLoads, maxRequestsPerTarget: 1, ...options });
  }

  public acquire(account: string, fields: Partial<IDispatchRequest> = {}): AbortController {
    const caller = new AbortController();
    this._count += 1;
    const request = { service: 'lace', requestId: `${this._count}`, clientAccount: account };
    const sizes = { weight: 1, cost: 1, priority: 0, deadlineMs: this.clock.time + 60_000 };
    void this.queue.acquire({ ...request, ...sizes, ...fields }, caller.signal).then((result) => {
      if (result.ok) {
        this.admitted.push(account);
        this.dispatchSlots.push(result.val);
      } else {
        this.refused.push(result.val.kind);
      }
    });
    return caller;
  }

  /** Reports one load for each target; the other targets are gone. */
  public async report(...loads: number[]): Promise<void> {
    this.loads = loads;
    for (const target of ['0', '1', '2', '3']) {
      this.queue.handleTargetReport('lace', target, Number(target) >= loads.length);
    }
    await this.flushPromises();
  }

  /** Lets pending promises run. */
  public async flushPromises(): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
  }

  public async releaseOne(): Promise<void> {
    await this.flushPromises();
    this.dispatchSlots.shift()?.dispose();
    await this.flushPromises();
  }
}

describe('DispatchQueue', () => {
  it('does not let a flood of one account starve another', async () => {
    const harness = new QueueHarness();
    for (let count = 0; count < 100; count++) {
      harness.acquire('flood');
    }
    harness.acquire('calm');
    await harness.releaseOne();
    await harness.releaseOne();
    expect(harness.admitted).toHaveLength(3);
    expect(harness.admitted).toContain('calm');
  });

  it('refuses requests at once while the queue is full, so that none waits in vain', async () => {
    const harness = new QueueHarness({ limits: { maxRequests: 2 } });
    for (let count = 0; count < 5; count++) {
      harness.acquire('pag');
    }
    await harness.flushPromises();
    expect(harness.refused).toEqual(['overloaded', 'overloaded']);
    expect(harness.queue.waitingCount).toBe(2);
  });

  it('refuses a request whose deadline passes while it waits', async () => {
    const harness = new QueueHarness();
    harness.acquire('pag');
    harness.acquire('pag', { deadlineMs: harness.clock.time + 20 });
    await harness.flushPromises();
    harness.clock.time += 21;
    await harness.report(0);
    expect([harness.refused, harness.queue.waitingCount]).toEqual([['overloaded'], 0]);
  });

  it('removes a request whose caller disconnects, so that no dispatch slot leaks', async () => {
    const harness = new QueueHarness();
    harness.acquire('pag');
    const disconnecting = harness.acquire('gone');
    harness.acquire('next');
    disconnecting.abort();
    await harness.releaseOne();
    expect([harness.admitted, harness.refused]).toEqual([['pag', 'next'], ['aborted']]);
  });

  it('subtracts the load of other entries from its bound, but not its own reported load', async () => {
    const harness = new QueueHarness({ maxRequestsPerTarget: 10 });
    await harness.report(9, 8);
    for (let count = 0; count < 30; count++) {
      harness.acquire('pag');
    }
    await harness.flushPromises();
    // Two targets of 10, of which others use 17, so only the guaranteed minimum of 4 each is left.
    expect(harness.admitted).toHaveLength(8);
    await harness.report(9 + 4, 8 + 4);
    expect(harness.admitted).toHaveLength(8);
    await harness.report(4, 4);
    expect(harness.admitted).toHaveLength(20);
  });

  it('does not queue requests without targets, so that target selection refuses them with the reason', async () => {
    const harness = new QueueHarness();
    harness.acquire('pag');
    harness.acquire('pag');
    await harness.flushPromises();
    await harness.report();
    expect(harness.admitted).toHaveLength(2);
  });

  it('never exceeds its bound or leaves requests waiting below it (property)', async () => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant('enter'), account: fc.constantFrom('a', 'b', 'c') }),
      fc.record({ kind: fc.constantFrom('finish', 'leave', 'wait'), at: fc.nat(20) }),
      fc.record({ kind: fc.constant('targets'), at: fc.integer({ min: 1, max: 4 }) }),
    );
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 60 }), async (steps) => {
        const harness = new QueueHarness({ maxRequestsPerTarget: 2 });
        const callers: AbortController[] = [];
        let acquireCount = 0;
        let maxTargets = 1;
        for (const item of steps) {
          const at = 'at' in item ? item.at : 0;
          if ('account' in item) {
            callers.push(harness.acquire(item.account));
            acquireCount += 1;
          } else if (item.kind === 'finish') {
            await harness.releaseOne();
          } else if (item.kind === 'leave') {
            callers[at % (callers.length + 1)]?.abort();
          } else if (item.kind === 'targets') {
            maxTargets = Math.max(maxTargets, at);
            await harness.report(...Array.from({ length: at }, () => 0));
          } else {
            harness.clock.time += at * 100;
          }
          await harness.flushPromises();
          expect(harness.queue.inProgressCount).toBeLessThanOrEqual(2 * maxTargets);
          const isFull = harness.queue.inProgressCount >= 2 * harness.loads.length;
          expect(harness.queue.waitingCount === 0 || isFull).toBe(true);
        }
        while (harness.dispatchSlots.length > 0) {
          await harness.releaseOne();
        }
        expect([harness.queue.waitingCount, harness.queue.inProgressCount]).toEqual([0, 0]);
        expect(harness.admitted.length + harness.refused.length).toBe(acquireCount);
      }),
      { numRuns: 200, seed: 20_261_204 },
    );
  });
});
