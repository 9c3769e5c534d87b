/** Guards against retries that multiply the load of targets that are already overloaded. */
import { describe, expect, it } from 'vitest';
import { SharedRetryBudget } from './SharedRetryBudget.js';

const LIMITS = { ratio: 0.2, slack: 60, windowMs: 10_000 };

function spendAll(budget: SharedRetryBudget, entries: number, now: number): number {
  let spent = 0;
  while (budget.trySpend('lace', entries, now)) {
    spent += 1;
  }
  return spent;
}

describe('SharedRetryBudget', () => {
  it('keeps the retries of all entries within ratio and slack', () => {
    const budgets = Array.from({ length: 6 }, () => new SharedRetryBudget(LIMITS));
    let spent = 0;
    for (const budget of budgets) {
      for (let i = 0; i < 100; i += 1) {
        budget.recordRequest('lace', i * 50);
      }
      spent += spendAll(budget, 6, 5_000);
    }
    expect(spent).toBeLessThanOrEqual(0.2 * 600 + 60);
    expect(spent).toBeGreaterThan(100);
  });

  it('allows retries again when the window has passed', () => {
    const budget = new SharedRetryBudget(LIMITS);
    expect(spendAll(budget, 6, 0)).toBe(7);
    expect(spendAll(budget, 6, 5_000)).toBe(0);
    expect(spendAll(budget, 6, 12_000)).toBe(7);
  });

  it('keeps a separate budget for each service', () => {
    const budget = new SharedRetryBudget(LIMITS);
    spendAll(budget, 6, 0);
    expect(budget.trySpend('orders', 6, 0)).toBe(true);
  });
});
