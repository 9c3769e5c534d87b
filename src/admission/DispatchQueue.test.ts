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

/** Queue under test with a manual clock; `loads` are the reported loads, `permits` the issued ones. */
class QueueHarness {
  public readonly clock = new ManualClock();
  public loads = [0];
  public readonly admitted: string[] = [];
  public readonly refused: string[] = [];
  public readonly permits: IDisposable[] = [];
  public readonly queue: DispatchQueue;
  private _count = 0;

  constructor(options: Partial<IDispatchQueueOptions> = {}) {
    const listLoads = (): IReportedLoad[] =>
      this.loads.map((load, index) => ({ target: `${index}`, load }));
    this.queue = new DispatchQueue(this.clock, { listLoads, maxPerTarget: 1, ...options });
  }

  public enter(account: string, fields: Partial<IDispatchRequest> = {}): AbortController {
    const caller = new AbortController();
    this._count += 1;
    const request = { service: 'lace', requestId: `${this._count}`, clientAccount: account };
    const sizes = { weight: 1, cost: 1, priority: 0, deadlineMs: this.clock.time + 60_000 };
    void this.queue.enter({ ...request, ...sizes, ...fields }, caller.signal).then((result) => {
      if (result.ok) {
        this.admitted.push(account);
        this.permits.push(result.val);
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
      this.queue.refresh('lace', target, Number(target) >= loads.length);
    }
    await this.flushPromises();
  }

  /** Lets pending promises run. */
  public async flushPromises(): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
  }

  public async releaseOne(): Promise<void> {
    await this.flushPromises();
    this.permits.shift()?.dispose();
    await this.flushPromises();
  }
}

describe('DispatchQueue', () => {
  it('does not let a flood of one account starve another', async () => {
    const bed = new QueueHarness();
    for (let count = 0; count < 100; count++) {
      bed.enter('flood');
    }
    bed.enter('calm');
    await bed.releaseOne();
    await bed.releaseOne();
    expect(bed.admitted).toHaveLength(3);
    expect(bed.admitted).toContain('calm');
  });

  it('refuses requests at once while the queue is full, so that none waits in vain', async () => {
    const bed = new QueueHarness({ limits: { maxRequests: 2 } });
    for (let count = 0; count < 5; count++) {
      bed.enter('pag');
    }
    await bed.flushPromises();
    expect(bed.refused).toEqual(['overloaded', 'overloaded']);
    expect(bed.queue.waiting).toBe(2);
  });

  it('refuses a request whose deadline passes while it waits', async () => {
    const bed = new QueueHarness();
    bed.enter('pag');
    bed.enter('pag', { deadlineMs: bed.clock.time + 20 });
    await bed.flushPromises();
    bed.clock.time += 21;
    await bed.report(0);
    expect([bed.refused, bed.queue.waiting]).toEqual([['overloaded'], 0]);
  });

  it('removes a request whose caller disconnects, so that no permit leaks', async () => {
    const bed = new QueueHarness();
    bed.enter('pag');
    const leaving = bed.enter('gone');
    bed.enter('next');
    leaving.abort();
    await bed.releaseOne();
    expect([bed.admitted, bed.refused]).toEqual([['pag', 'next'], ['aborted']]);
  });

  it('subtracts the load of other entries from its bound, but not its own reported load', async () => {
    const bed = new QueueHarness({ maxPerTarget: 10 });
    await bed.report(9, 8);
    for (let count = 0; count < 30; count++) {
      bed.enter('pag');
    }
    await bed.flushPromises();
    // Two targets of 10, of which others use 17, so only the guaranteed minimum of 4 each is left.
    expect(bed.admitted).toHaveLength(8);
    await bed.report(9 + 4, 8 + 4);
    expect(bed.admitted).toHaveLength(8);
    await bed.report(4, 4);
    expect(bed.admitted).toHaveLength(20);
  });

  it('does not queue requests without targets, so that target selection refuses them', async () => {
    const bed = new QueueHarness();
    bed.enter('pag');
    bed.enter('pag');
    await bed.flushPromises();
    await bed.report();
    expect(bed.admitted).toHaveLength(2);
  });

  it('never exceeds its bound or leaves requests waiting below it (property)', async () => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant('enter'), account: fc.constantFrom('a', 'b', 'c') }),
      fc.record({ kind: fc.constantFrom('finish', 'leave', 'wait'), at: fc.nat(20) }),
      fc.record({ kind: fc.constant('targets'), at: fc.integer({ min: 1, max: 4 }) }),
    );
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 60 }), async (steps) => {
        const bed = new QueueHarness({ maxPerTarget: 2 });
        const callers: AbortController[] = [];
        let enteredCount = 0;
        let maxTargets = 1;
        for (const item of steps) {
          const at = 'at' in item ? item.at : 0;
          if ('account' in item) {
            callers.push(bed.enter(item.account));
            enteredCount += 1;
          } else if (item.kind === 'finish') {
            await bed.releaseOne();
          } else if (item.kind === 'leave') {
            callers[at % (callers.length + 1)]?.abort();
          } else if (item.kind === 'targets') {
            maxTargets = Math.max(maxTargets, at);
            await bed.report(...Array.from({ length: at }, () => 0));
          } else {
            bed.clock.time += at * 100;
          }
          await bed.flushPromises();
          expect(bed.queue.inProgress).toBeLessThanOrEqual(2 * maxTargets);
          const isFull = bed.queue.inProgress >= 2 * bed.loads.length;
          expect(bed.queue.waiting === 0 || isFull).toBe(true);
        }
        while (bed.permits.length > 0) {
          await bed.releaseOne();
        }
        expect([bed.queue.waiting, bed.queue.inProgress]).toEqual([0, 0]);
        expect(bed.admitted.length + bed.refused.length).toBe(enteredCount);
      }),
      { numRuns: 200, seed: 20_261_204 },
    );
  });
});
