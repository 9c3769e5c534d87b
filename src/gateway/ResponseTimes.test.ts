/** Guards against wrong durations, by which a stopping process refuses what it could serve or begins what it cannot. */
import { describe, expect, it } from 'vitest';
import { ResponseTimes } from './ResponseTimes.js';

const SIZE = { route: 'assist', outputTokens: 10, expectedFirstMs: 100 };

function buildTimes(totalMs: number, count = 100): ResponseTimes {
  const times = new ResponseTimes();
  for (let i = 0; i < count; i += 1) {
    times.record(SIZE, totalMs);
  }
  return times;
}

describe('ResponseTimes', () => {
  it('knows nothing of a route without a response', () => {
    expect(buildTimes(300).estimate({ ...SIZE, route: 'other' }, 2)).toBeUndefined();
  });

  it('expects as long as the responses took', () => {
    expect(buildTimes(300).estimate(SIZE, 2)).toBeCloseTo(300);
  });

  it('expects a response with more tokens to take longer', () => {
    expect(buildTimes(300).estimate({ ...SIZE, outputTokens: 100 }, 2)).toBeCloseTo(2_100);
  });

  it('counts a response without tokens as a whole', () => {
    const times = new ResponseTimes();
    const plain = { route: 'orders', outputTokens: 0, expectedFirstMs: 0 };
    times.record(plain, 400);
    expect(times.estimate(plain, 0)).toBe(400);
  });

  // Requests of a route need not state tokens; the time of a response is none of a token.
  it('does not take the time for each token as that of a whole response', () => {
    const times = buildTimes(300);
    const plain = { ...SIZE, outputTokens: 0 };
    expect(times.estimate(plain, 6)).toBeUndefined();
    times.record(plain, 300);
    expect(times.estimate(plain, 0)).toBeCloseTo(300);
    expect(times.estimate(SIZE, 0)).toBeCloseTo(300);
  });

  // After one response its duration says little, so the estimate is long.
  it('expects a longer time the less the durations agree', () => {
    expect(buildTimes(300, 1).estimate(SIZE, 2)).toBeGreaterThan(450);
  });

  it('forgets the oldest of more routes than it keeps', () => {
    const times = buildTimes(300);
    for (let i = 0; i < 1_000; i += 1) {
      times.record({ ...SIZE, route: `route-${i}` }, 300);
    }
    expect(times.estimate(SIZE, 2)).toBeUndefined();
    expect(times.estimate({ ...SIZE, route: 'route-999' }, 2)).toBeDefined();
  });
});
