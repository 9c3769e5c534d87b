/**
 * Load pattern: a third of the engines fails under constant traffic. Without admission control the queue
 * grows until every response misses its objective.
 */
import { describe, expect, it } from 'vitest';
import { decideOverload } from './Overload.js';

const OBJECTIVE_MS = 500;
const SERVICE_MS = 60;
const LATE_VALUE = 0.3;

interface ISimulationResult {
  readonly value: number;
  readonly onTime: number;
  readonly longestMs: number;
  readonly refused: number;
}

/**
 * Simulates one engine with a FIFO queue and a constant service time. A refused client retries once. An
 * answer has the value 1 if it is on time and `LATE_VALUE` if not.
 */
function simulate(
  intervalMs: number,
  decide: (expectedMs: number) => number | undefined,
): ISimulationResult {
  const arrivals = Array.from({ length: 400 }, (_, i) => ({
    at: i * intervalMs,
    first: i * intervalMs,
  }));
  const count = arrivals.length;
  let freeAt = 0;
  let value = 0;
  let refused = 0;
  let onTime = 0;
  let longestMs = 0;
  while (arrivals.length > 0) {
    arrivals.sort((left, right) => left.at - right.at);
    const { at, first } = arrivals.shift() ?? { at: 0, first: 0 };
    const startsAt = Math.max(freeAt, at);
    const retryAfterMs = decide(startsAt + SERVICE_MS - at);
    if (retryAfterMs === undefined) {
      freeAt = startsAt + SERVICE_MS;
      const isOnTime = freeAt - first <= OBJECTIVE_MS;
      onTime += isOnTime ? 1 : 0;
      value += isOnTime ? 1 : LATE_VALUE;
      longestMs = Math.max(longestMs, freeAt - first);
    } else if (at === first) {
      arrivals.push({ at: at + retryAfterMs, first });
    } else {
      refused += 1;
    }
  }
  return { value: value / count, onTime: onTime / count, longestMs, refused: refused / count };
}

function shed(expectedMs: number): number | undefined {
  const decision = decideOverload(expectedMs, SERVICE_MS, OBJECTIVE_MS);
  return decision.kind === 'refuse' ? decision.retryAfterMs : undefined;
}

describe('decideOverload', () => {
  it.each([1.1, 1.25, 1.5])('keeps responses on time at %s times the capacity', (load) => {
    const queued = simulate(SERVICE_MS / load, () => undefined);
    const refusing = simulate(SERVICE_MS / load, shed);
    expect(refusing.onTime).toBeGreaterThan(2 * queued.onTime);
    expect(refusing.value).toBeGreaterThan(queued.value);
    // No client waits longer than the objective plus one Retry-After.
    expect(refusing.longestMs).toBeLessThan(2 * OBJECTIVE_MS);
  });

  it('refuses no request while the load is below the capacity', () => {
    expect(simulate(70, shed)).toMatchObject({ value: 1, refused: 0 });
  });

  it('serves a prompt whose service time exceeds its objective, as long as the queue is short', () => {
    expect(decideOverload(700, 650, OBJECTIVE_MS).kind).toBe('serve');
    expect(decideOverload(900, 650, OBJECTIVE_MS).kind).toBe('refuse');
  });

  it('returns a Retry-After that grows with the backlog, within bounds', () => {
    expect(decideOverload(401, SERVICE_MS, OBJECTIVE_MS)).toEqual({
      kind: 'refuse',
      retryAfterMs: 150,
    });
    expect(decideOverload(1_200, SERVICE_MS, OBJECTIVE_MS)).toEqual({
      kind: 'refuse',
      retryAfterMs: 700,
    });
    expect(decideOverload(60_000, SERVICE_MS, OBJECTIVE_MS)).toEqual({
      kind: 'refuse',
      retryAfterMs: 1_500,
    });
  });
});
