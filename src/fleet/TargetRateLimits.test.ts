/** Guards against a limit that ends by a report that was under way, and against permits of two leaders at a time. */
import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { RateLimitReportSchema, type RateLimitReport } from '../gen/redwingwharf/v1/fleet_pb.js';
import { TargetRateLimits } from './TargetRateLimits.js';

const TARGET = { id: 'i-1', born: 1, perSecond: 2 };

function buildReport(ageMs: number, perSecond?: number): RateLimitReport {
  const limit = perSecond === undefined ? {} : { perSecond };
  return create(RateLimitReportSchema, { target: 'i-1', born: 1, ageMs, ...limit });
}

describe('TargetRateLimits', () => {
  it('ends a limit only by a request that was sent clearly later than the limit was named', () => {
    const limits = new TargetRateLimits(-10_000);
    expect(limits.applyReport(buildReport(0, 2), 1_000)).toBe(true);
    expect(limits.applyReport(buildReport(100), 1_700)).toBe(false);
    expect(limits.applyReport(buildReport(100), 1_900)).toBe(true);
  });

  it('ignores a limit that was named before the one it knows', () => {
    const limits = new TargetRateLimits(-10_000);
    expect(limits.applyReport(buildReport(0, 2), 1_000)).toBe(true);
    expect(limits.applyReport(buildReport(500, 9), 1_100)).toBe(false);
  });

  it('issues no permits while a former leader may do so', () => {
    const limits = new TargetRateLimits(0);
    expect(limits.grant('a', TARGET, { requests: 1 }, 1_400).permits).toBe(0);
    expect(limits.grant('a', TARGET, { requests: 1 }, 1_600).permits).toBe(1);
  });

  it('states the waiting time over the demand of all processes, without those that have stopped', () => {
    const limits = new TargetRateLimits(-10_000);
    expect(limits.grant('a', TARGET, { requests: 3 }, 0)).toMatchObject({ permits: 2 });
    expect(limits.grant('b', TARGET, { requests: 2 }, 0)).toMatchObject({ permits: 0 });
    const { waitMs } = limits.grant('b', TARGET, { requests: 2 }, 0);
    expect(waitMs).toBe(1_500);
    limits.keepDemands('a', new Set());
    expect(limits.grant('b', TARGET, { requests: 2 }, 0).waitMs).toBe(1_000);
  });
});
