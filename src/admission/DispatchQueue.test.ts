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

/** A queue with its clock, the reported loads and the places given in order. */
class Bed {
  public readonly clock = new ManualClock();
  public loads = [0];
  public readonly served: string[] = [];
  public readonly refused: string[] = [];
  public readonly places: IDisposable[] = [];
  public readonly queue: DispatchQueue;
  private _count = 0;

  constructor(options: Partial<IDispatchQueueOptions> = {}) {
    const listLoads = (): IReportedLoad[] =>
      this.loads.map((load, index) => ({ target: `${index}`, load }));
    this.queue = new DispatchQueue(this.clock, { listLoads, maxPerTarget: 1, ...options });
  }

  public enter(account: string, fields: Partial<IDispatchRequest> = {}): AbortController {
    const leaving = new AbortController();
    this._count += 1;
    const request = { service: 'lace', requestId: `${this._count}`, clientAccount: account };
    const sizes = { weight: 1, cost: 1, priority: 0, deadlineMs: this.clock.time + 60_000 };
    void this.queue.enter({ ...request, ...sizes, ...fields }, leaving.signal).then((result) => {
      if (result.ok) {
        this.served.push(account);
        this.places.push(result.val);
      } else {
        this.refused.push(result.val.kind);
      }
    });
    return leaving;
  }

  /** Reports the loads of the targets. */
  public async report(...loads: number[]): Promise<void> {
    this.loads = loads;
    for (const target of ['0', '1', '2', '3']) {
      this.queue.refresh('lace', target, Number(target) >= loads.length);
    }
    await this.flush();
  }

  /** Lets pending promises run. */
  public async flush(): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
  }

  public async finishOne(): Promise<void> {
    await this.flush();
    this.places.shift()?.dispose();
    await this.flush();
  }
}

describe('DispatchQueue', () => {
  it('serves another account next while one floods', async () => {
    const bed = new Bed();
    for (let count = 0; count < 100; count++) {
      bed.enter('flood');
    }
    bed.enter('calm');
    await bed.finishOne();
    await bed.finishOne();
    expect(bed.served).toHaveLength(3);
    expect(bed.served).toContain('calm');
  });

  it('refuses at once what finds the queue full, so that no caller waits in vain', async () => {
    const bed = new Bed({ limits: { maxRequests: 2 } });
    for (let count = 0; count < 5; count++) {
      bed.enter('pag');
    }
    await bed.flush();
    expect(bed.refused).toEqual(['overloaded', 'overloaded']);
    expect(bed.queue.waiting).toBe(2);
  });

  it('refuses a request whose deadline passes while it waits', async () => {
    const bed = new Bed();
    bed.enter('pag');
    bed.enter('pag', { deadlineMs: bed.clock.time + 20 });
    await bed.flush();
    bed.clock.time += 21;
    await bed.report(0);
    expect([bed.refused, bed.queue.waiting]).toEqual([['overloaded'], 0]);
  });

  it('takes a request out when its caller leaves, so that no place is lost', async () => {
    const bed = new Bed();
    bed.enter('pag');
    const leaving = bed.enter('gone');
    bed.enter('next');
    leaving.abort();
    await bed.finishOne();
    expect([bed.served, bed.refused]).toEqual([['pag', 'next'], ['aborted']]);
  });

  it('leaves the load of other entries room, but not its own reported load', async () => {
    const bed = new Bed({ maxPerTarget: 10 });
    await bed.report(9, 8);
    for (let count = 0; count < 30; count++) {
      bed.enter('pag');
    }
    await bed.flush();
    // Two targets of 10; 17 are taken by others, so only the least share is left.
    expect(bed.served).toHaveLength(8);
    await bed.report(9 + 4, 8 + 4);
    expect(bed.served).toHaveLength(8);
    await bed.report(4, 4);
    expect(bed.served).toHaveLength(20);
  });

  it('lets requests through without targets, so that they are refused with the cause', async () => {
    const bed = new Bed();
    bed.enter('pag');
    bed.enter('pag');
    await bed.flush();
    await bed.report();
    expect(bed.served).toHaveLength(2);
  });

  it('neither loses a wakeup nor exceeds its bound, whatever happens', async () => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant('enter'), account: fc.constantFrom('a', 'b', 'c') }),
      fc.record({ kind: fc.constantFrom('finish', 'leave', 'wait'), at: fc.nat(20) }),
      fc.record({ kind: fc.constant('targets'), at: fc.integer({ min: 1, max: 4 }) }),
    );
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 60 }), async (steps) => {
        const bed = new Bed({ maxPerTarget: 2 });
        const leavings: AbortController[] = [];
        let entered = 0;
        let most = 1;
        for (const item of steps) {
          const at = 'at' in item ? item.at : 0;
          if ('account' in item) {
            leavings.push(bed.enter(item.account));
            entered += 1;
          } else if (item.kind === 'finish') {
            await bed.finishOne();
          } else if (item.kind === 'leave') {
            leavings[at % (leavings.length + 1)]?.abort();
          } else if (item.kind === 'targets') {
            most = Math.max(most, at);
            await bed.report(...Array.from({ length: at }, () => 0));
          } else {
            bed.clock.time += at * 100;
          }
          await bed.flush();
          expect(bed.queue.inProgress).toBeLessThanOrEqual(2 * most);
          const isFull = bed.queue.inProgress >= 2 * bed.loads.length;
          expect(bed.queue.waiting === 0 || isFull).toBe(true);
        }
        while (bed.places.length > 0) {
          await bed.finishOne();
        }
        expect([bed.queue.waiting, bed.queue.inProgress]).toEqual([0, 0]);
        expect(bed.served.length + bed.refused.length).toBe(entered);
      }),
      { numRuns: 200, seed: 20_261_204 },
    );
  });
});
