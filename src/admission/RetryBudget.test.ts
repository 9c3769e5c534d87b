import { describe, expect, it } from 'vitest';
import { RetryBudget } from './RetryBudget.js';

function countRetries(budget: RetryBudget, now: number): number {
  let retries = 0;
  while (budget.trySpend(now)) {
    retries += 1;
  }
  return retries;
}

describe('RetryBudget', () => {
  it('limits retries to a tenth of the requests plus three per second', () => {
    const budget = new RetryBudget(0);
    let retries = 0;
    for (let now = 0; now < 10_000; now += 10) {
      budget.recordRequest(now);
      retries += countRetries(budget, now);
    }
    expect(retries).toBeLessThanOrEqual(133);
    expect(retries).toBeGreaterThanOrEqual(125);
  });

  it('limits the accumulated retries, so that an outage is not followed by a retry storm', () => {
    const budget = new RetryBudget(0);
    expect(countRetries(budget, 3_600_000)).toBe(30);
  });

  it('adds no retries when the clock goes back', () => {
    const budget = new RetryBudget(1_000);
    countRetries(budget, 1_000);
    expect(budget.trySpend(0)).toBe(false);
  });
});
