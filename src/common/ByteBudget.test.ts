/** Guards against a crowd that holds all memory, and against the eviction of small and busy requests in its place. */
import { describe, expect, it } from 'vitest';
import { ByteBudget, type BudgetShare } from './ByteBudget.js';

function open(budget: ByteBudget, name: string, evicted: string[]): BudgetShare {
  const share = budget.openShare();
  share.onEvict = () => {
    evicted.push(name);
  };
  return share;
}

describe('ByteBudget', () => {
  // 60 bodies of 4 MB that stop short of their end: the ordinary body that comes next must be taken.
  it('evicts a large body that has stopped, not a small one that grows', () => {
    const budget = new ByteBudget(1_000);
    const evicted: string[] = [];
    open(budget, 'stopped', evicted).extend(600, 0);
    open(budget, 'large', evicted).extend(390, 5_000);
    open(budget, 'small', evicted).extend(20, 5_000);
    expect(evicted).toEqual(['stopped']);
    expect(budget.usedBytes).toBe(410);
  });

  // Endless bodies: the one that grows may be the largest itself.
  it('evicts the share that grows if it holds most', () => {
    const budget = new ByteBudget(1_000);
    const evicted: string[] = [];
    open(budget, 'small', evicted).extend(10, 0);
    open(budget, 'endless', evicted).extend(1_001, 0);
    expect(evicted).toEqual(['endless']);
  });

  // A request that a target runs cannot be refused any more.
  it('does not evict pinned shares, and counts them', () => {
    const budget = new ByteBudget(1_000);
    const evicted: string[] = [];
    const running = open(budget, 'running', evicted);
    running.extend(1_200, 0);
    expect(evicted).toEqual(['running']);
    const other = open(budget, 'other', evicted);
    other.keep();
    other.extend(1_200, 0);
    expect(evicted).toEqual(['running']);
    expect(budget.isExceeded).toBe(true);
    other.close();
    other.close();
    expect(budget.usedBytes).toBe(0);
  });

  it('counts nothing for a share after it was closed', () => {
    const budget = new ByteBudget(1_000);
    const share = budget.openShare();
    share.close();
    share.extend(10, 0);
    expect(budget.usedBytes).toBe(0);
  });
});
