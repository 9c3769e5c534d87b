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
  it('limits retries to a tenth of the requests and three a second', () => {
    const budget = new RetryBudget(0);
    let retries = 0;
    for (let now = 0; now < 10_000; now += 10) {
      budget.recordRequest(now);
      retries += countRetries(budget, now);
    }
    expect(retries).toBeLessThanOrEqual(133);
    expect(retries).toBeGreaterThanOrEqual(125);
  });

  it('does not save up retries without limit, so that an outage is not followed by a storm', () => {
    const budget = new RetryBudget(0);
    expect(countRetries(budget, 3_600_000)).toBe(30);
  });

  it('ignores a time before the last one', () => {
    const budget = new RetryBudget(1_000);
    countRetries(budget, 1_000);
    expect(budget.trySpend(0)).toBe(false);
  });
});
