/**
 * Guards against targets that get more requests than the limit that they name, whatever the number of entries, and
 * against limits that outlast their end or hold back more than they say.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { buildTarget } from '../fleet/Fixtures.js';
import { setRateLimit, TargetRateLimits } from '../fleet/TargetRateLimits.js';
import type { TargetRecord } from '../gen/redwingwharf/v1/fleet_pb.js';
import { TargetLimits } from './TargetLimits.js';

const STEP_MS = 10;
const WINDOW_MS = 4_000;

/** Several entries with one hub and one target, in simulated time. */
class SimulatedFleet {
  public now = 0;
  public readonly target: TargetRecord = buildTarget({ id: 'i-1' });
  public readonly sentAt: number[] = [];
  public hub = new TargetRateLimits(-10_000);
  private readonly _entries: {
    readonly limits: TargetLimits;
    exchangeAt: number;
    isCut: boolean;
  }[];

  constructor(
    entryCount: number,
    perSecond: number,
    private readonly _random: () => number,
    private readonly _exchangeIntervalMs: number,
  ) {
    setRateLimit(this.target, perSecond);
    this._entries = Array.from({ length: entryCount }, () => {
      const limits = new TargetLimits({
        countEntries: () => entryCount,
        findTarget: () => this.target,
        random: this._random,
      });
      limits.setHubReachable(true, 0);
      return { limits, exchangeAt: this._random() * this._exchangeIntervalMs, isCut: false };
    });
  }

  /** Cuts a part of the entries from the hub, and joins the others. */
  public cut(share: number): void {
    for (const entry of this._entries) {
      entry.isCut = this._random() < share;
      entry.limits.setHubReachable(!entry.isCut, this.now);
    }
  }

  public replaceHub(): void {
    this.hub = new TargetRateLimits(this.now);
  }

  /** Each entry has a request in a step with the given chance. */
  public run(durationMs: number, chance: number): void {
    const endsAt = this.now + durationMs;
    for (; this.now < endsAt; this.now += STEP_MS) {
      for (const [index, entry] of this._entries.entries()) {
        if (!entry.isCut && this.now >= entry.exchangeAt) {
          entry.exchangeAt = this.now + this._exchangeIntervalMs * (0.75 + this._random() / 2);
          this._exchange(`entry-${index}`, entry.limits);
        }
        if (this._random() < chance) {
          this._send(entry.limits);
        }
      }
    }
  }

  /** Most requests in any window. */
  public countMost(): number {
    const counts = this.sentAt.map(
      (from) => this.sentAt.filter((at) => at >= from && at < from + WINDOW_MS).length,
    );
    return Math.max(0, ...counts);
  }

  private _exchange(node: string, limits: TargetLimits): void {
    const { demands } = limits.listReports(this.now);
    const { id, born, rateLimit: perSecond = 0 } = this.target;
    const grants = demands.map((demand) =>
      this.hub.grant(node, { id, born, perSecond }, demand, this.now),
    );
    limits.applyGrants(grants, this.now, this.now);
  }

  private _send(limits: TargetLimits): void {
    if (limits.hasPermit(this.target, this.now)) {
      limits.take(this.target, this.now);
      this.sentAt.push(this.now);
    } else {
      limits.recordLacking(this.target);
    }
  }
}

function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

function countAllowed(perSecond: number): number {
  return Math.floor((1.5 * perSecond * WINDOW_MS) / 1_000 + 5);
}

function buildLimits(target: TargetRecord): TargetLimits {
  return new TargetLimits({ countEntries: () => 4, findTarget: () => target, random: () => 0.5 });
}

describe('TargetLimits', () => {
  // Each entry by itself would send its own N a second, which is what broke LIMIT.
  it.each([
    { entries: 1, perSecond: 2, intervalMs: 100 },
    { entries: 7, perSecond: 1.7, intervalMs: 100 },
    { entries: 7, perSecond: 0, intervalMs: 100 },
    { entries: 7, perSecond: 40, intervalMs: 100 },
    { entries: 70, perSecond: 2, intervalMs: 350 },
    { entries: 70, perSecond: 0.3, intervalMs: 350 },
  ])(
    'keeps $entries entries together to a limit of $perSecond a second',
    ({ entries, perSecond, intervalMs }) => {
      fc.assert(
        fc.property(fc.integer(), fc.constantFrom(0.002, 0.05, 0.5), (seed, chance) => {
          const fleet = new SimulatedFleet(entries, perSecond, createRandom(seed), intervalMs);
          fleet.run(12_000, chance);
          expect(fleet.countMost()).toBeLessThanOrEqual(countAllowed(perSecond));
        }),
        { numRuns: 5, seed: 1 },
      );
    },
  );

  it('lets entries use most of a limit while all have requests', () => {
    const fleet = new SimulatedFleet(7, 5, createRandom(3), 100);
    fleet.run(20_000, 0.05);
    expect(fleet.sentAt.length).toBeGreaterThan(20 * 5 * 0.8);
  });

  it('keeps to the limit while entries are cut from the hub, and across a change of the hub', () => {
    fc.assert(
      fc.property(
        fc.integer(),
        fc.constantFrom(1.7, 5, 20),
        fc.array(fc.constantFrom('cut some', 'cut all', 'join', 'replace'), { maxLength: 6 }),
        (seed, perSecond, events) => {
          const fleet = new SimulatedFleet(7, perSecond, createRandom(seed), 100);
          fleet.run(2_000, 0.1);
          for (const event of events) {
            if (event === 'replace') {
              fleet.replaceHub();
            } else {
              fleet.cut({ 'cut some': 0.4, 'cut all': 1, join: 0 }[event]);
            }
            fleet.run(2_500, 0.1);
          }
          expect(fleet.countMost()).toBeLessThanOrEqual(countAllowed(perSecond));
        },
      ),
      { numRuns: 60, seed: 2 },
    );
  });

  it('still sends some requests while it is cut from the hub', () => {
    const fleet = new SimulatedFleet(7, 5, createRandom(4), 100);
    fleet.cut(1);
    fleet.run(20_000, 0.1);
    expect(fleet.sentAt.length).toBeGreaterThan(20);
  });

  it('ends a limit only by a response to a request that was sent after it was known', () => {
    const target = buildTarget({ id: 'i-1' });
    const limits = buildLimits(target);
    limits.recordNotice(target, { kind: 'limited', perSecond: 2 }, 0, 100);
    limits.recordNotice(target, { kind: 'unlimited' }, 50, 200);
    limits.recordNotice(target, { kind: 'unreadable' }, 150, 200);
    expect(limits.getLimit(target)).toBe(2);
    limits.recordNotice(target, { kind: 'unlimited' }, 150, 200);
    expect(limits.getLimit(target)).toBeUndefined();
  });

  it('goes by the record once a hub has received what this entry saw', () => {
    // Another entry may see the end of the limit first.
    const target = buildTarget({ id: 'i-1' });
    const limits = buildLimits(target);
    limits.recordNotice(target, { kind: 'limited', perSecond: 2 }, 0, 100);
    const reports = limits.listReports(150);
    expect(reports.observations).toMatchObject([{ target: 'i-1', perSecond: 2, ageMs: 50 }]);
    limits.removeReported(reports);
    expect(limits.getLimit(target)).toBeUndefined();
    limits.repeatReports();
    expect(limits.getLimit(target)).toBe(2);
  });

  it('knows no limit of a target that has started again', () => {
    const target = buildTarget({ id: 'i-1', born: 1 });
    const limits = buildLimits(target);
    limits.recordNotice(target, { kind: 'limited', perSecond: 2 }, 0, 100);
    expect(limits.getLimit(buildTarget({ id: 'i-1', born: 2 }))).toBeUndefined();
  });

  it('ignores what an earlier start of the target said', () => {
    const limits = buildLimits(buildTarget({ id: 'i-1', born: 2 }));
    const current = buildTarget({ id: 'i-1', born: 2 });
    limits.recordNotice(current, { kind: 'limited', perSecond: 2 }, 0, 100);
    const former = buildTarget({ id: 'i-1', born: 1 });
    expect(limits.recordNotice(former, { kind: 'limited', perSecond: 9 }, 0, 200)).toBe(false);
    expect(limits.getLimit(current)).toBe(2);
  });

  // A request that waits for another reason would ask again in a loop.
  it('waits as long as asked for a target without a limit while no hub is reachable', async () => {
    const target = buildTarget({ id: 'i-1' });
    const { signal } = new AbortController();
    const options = { priority: 0, arrivedAt: 0, timeoutMs: 60, signals: [signal] };
    const startedAt = performance.now();
    await buildLimits(target).waitForPermit(target, options, 0);
    expect(performance.now() - startedAt).toBeGreaterThan(50);
  });

  it('wakes waiting requests in order of their urgency, as many as there are permits', async () => {
    const target = buildTarget({ id: 'i-1' });
    setRateLimit(target, 2);
    const limits = buildLimits(target);
    limits.setHubReachable(true, 0);
    const order: string[] = [];
    const wait = async (name: string, priority: number, arrivedAt: number): Promise<void> => {
      const { signal } = new AbortController();
      await limits.waitForPermit(
        target,
        { priority, arrivedAt, timeoutMs: 300, signals: [signal] },
        0,
      );
      order.push(name);
    };
    const all = [wait('late', 0, 60), wait('idle', 3, 0), wait('early', 0, 0)];
    expect(limits.listReports(0).demands).toMatchObject([{ target: 'i-1', requests: 3 }]);
    const { id, born } = target;
    limits.applyGrants([{ target: id, born, permits: 2, waitMs: 100 }], 0, 0);
    await Promise.all(all);
    expect(order).toEqual(['early', 'late', 'idle']);
  });
});
