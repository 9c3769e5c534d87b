/** Guards against streams that wait in the queue until their clients have given them up. */
import { describe, expect, it } from 'vitest';
import { buildRoute } from '../../fleet/Fixtures.js';
import { computeFirstEventLimit } from './CallAdmission.js';

describe('computeFirstEventLimit', () => {
  it.each([
    { latencyObjectiveMs: 415, gapObjectiveMs: 250, limitMs: 2_000 },
    { latencyObjectiveMs: 1_007, gapObjectiveMs: 250, limitMs: 4_028 },
    { latencyObjectiveMs: 615, gapObjectiveMs: 500, limitMs: 4_000 },
    { latencyObjectiveMs: 300, gapObjectiveMs: undefined, limitMs: 2_000 },
  ])('is the longest gap that a client bears: $limitMs ms', ({ limitMs, ...route }) => {
    expect(computeFirstEventLimit(buildRoute(route))).toBe(limitMs);
  });

  it('does not end the wait for a response that is no stream', () => {
    expect(computeFirstEventLimit(buildRoute({ kind: 'safe' }))).toBe(Number.POSITIVE_INFINITY);
  });
});
