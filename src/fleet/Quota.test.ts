/** Guards against client accounts that exceed their limit across all entries, or are refused below it. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { buildAccount } from './Fixtures.js';
import { LIMIT, NOTHING_SPENT, QuotaFleet, runSteps, STEPS, WINDOW_MS } from './QuotaHarness.js';
import { QuotaPool } from './QuotaPool.js';
import { computeWindowLimit } from './QuotaRule.js';
import { QuotaWallet } from './QuotaWallet.js';

const STARTED_AT_MS = 1_000;

describe('quota across all entries', () => {
  it.each([1, 8, 70, 660])(
    'never exceeds the limit in any window with %i entries, also while hubs and entries are lost',
    (size) => {
      fc.assert(
        fc.property(STEPS, (steps) => {
          const fleet = new QuotaFleet(size);
          runSteps(fleet, size, steps);
          expect(fleet.sumWorstWindow()).toBeLessThanOrEqual(LIMIT);
        }),
        { numRuns: size > 100 ? 6 : 40 },
      );
    },
    30_000,
  );

  it.each([3, 8, 70])(
    'never exceeds the limit when a restarted process becomes the hub while one of %i entries is cut off with a lease',
    (size) => {
      const fleet = new QuotaFleet(size);
      for (let now = 0; now < 40_000; now += 100) {
        if (now === 14_000) {
          fleet.setFrozen(1);
        }
        if (now === 16_000) {
          fleet.replaceHubByNewProcess(now);
        }
        if (now % 500 === 0) {
          fleet.exchangeAll(now);
          fleet.record(now);
        }
        // While it is cut off, the entry spends what its lease allows.
        const isCutOff = now >= 14_000;
        const tokens = isCutOff ? 4_000 : 1_800;
        fleet.send(isCutOff ? 1 : (now / 100) % size, tokens, now);
        fleet.send((now / 100) % size, 1_800, now);
      }
      expect(fleet.sumWorstWindow()).toBeLessThanOrEqual(LIMIT);
    },
  );

  // The records do not name the processes that hold leases, so the hub takes all as stopped.
  it('never exceeds the limit when one of 3 entries survives a stop of the others and is cut off', () => {
    const fleet = new QuotaFleet(3);
    for (let now = 0; now < 40_000; now += 100) {
      if (now === 16_000) {
        fleet.setFrozen(1);
        fleet.restartAllBut(1, now);
      }
      if (now % 500 === 0) {
        fleet.exchangeAll(now);
        fleet.record(now);
      }
      const isCutOff = now >= 16_000;
      fleet.send(isCutOff ? 1 : (now / 100) % 3, isCutOff ? 4_000 : 1_800, now);
      fleet.send((now / 100) % 3, 1_800, now);
    }
    expect(fleet.sumWorstWindow()).toBeLessThanOrEqual(LIMIT);
  });

  it.each([3, 8, 70])(
    'refuses no request of a client account that stays at half of its limit with %i entries',
    (size) => {
      // Each of 70 entries sees a request of the account only once in 54 s.
      const fleet = new QuotaFleet(size);
      for (let now = 0; now < 60_000; now += 100) {
        if (now % 700 === 0) {
          fleet.exchangeAll(now);
          fleet.record(now);
        }
        if (now % 800 === 0) {
          fleet.send(Math.floor((now / 800) * 31) % size, 5_000, now);
        }
      }
      expect(fleet.refused).toEqual([]);
    },
  );

  it('serves a client account whose requests all arrive at one of 70 entries', () => {
    const fleet = new QuotaFleet(70);
    for (let now = 0; now < 30_000; now += 100) {
      if (now % 700 === 0) {
        fleet.exchangeAll(now);
        fleet.record(now);
      }
      fleet.send(5, 900, now);
    }
    // The account uses 72 percent of its limit.
    const refused = fleet.refused.reduce((sum, { tokens }) => sum + tokens, 0);
    expect(refused).toBeLessThan(0.02 * 300 * 900);
  });

  it('goes on within its leases while the hub is away for the time of an election', () => {
    const fleet = new QuotaFleet(8);
    for (let now = 0; now < 20_000; now += 100) {
      if (now === 10_000) {
        fleet.setHubReachable(false, now);
      }
      if (now === 12_000) {
        fleet.setHubReachable(true, now);
        fleet.replaceHub(now);
      }
      fleet.exchangeAll(now);
      fleet.record(now);
      fleet.send((now / 100) % 8, 600, now);
    }
    expect(fleet.refused).toEqual([]);
  });

  it('goes on at the earlier pace after a simultaneous stop, and never above the limit', () => {
    const fleet = new QuotaFleet(8);
    for (let now = 0; now < 30_000; now += 100) {
      if (now === 15_000) {
        fleet.restartAll(now);
      }
      if (now % 500 === 0) {
        fleet.exchangeAll(now);
      }
      if (now % 500 === 0) {
        fleet.record(now);
      }
      fleet.send((now / 100) % 8, 600, now);
    }
    const before = fleet.sumSpent(7_000, 15_000);
    expect(fleet.sumSpent(15_000, 23_000)).toBeGreaterThan(before / 2);
    expect(fleet.sumWorstWindow()).toBeLessThanOrEqual(LIMIT);
  });

  it('spends the whole limit, but no more, when a client account sends twice as much', () => {
    const fleet = new QuotaFleet(8);
    for (let now = 0; now < 24_000; now += 100) {
      fleet.exchangeAll(now);
      fleet.record(now);
      fleet.send((now / 100) % 8, 2_500, now);
    }
    expect(fleet.sumWorstWindow()).toBeLessThanOrEqual(LIMIT);
    expect(fleet.sumSpent(8_000, 16_000)).toBeGreaterThan(0.85 * LIMIT);
  });

  it('returns the time after which a refused client may retry', () => {
    const pool = new QuotaPool(LIMIT, WINDOW_MS, NOTHING_SPENT);
    const usage = { lease: 0, spent: 0, wanted: 0, total: 0 };
    const full = { lease: LIMIT, spent: LIMIT, wanted: 0, total: LIMIT };
    pool.exchange({ node: 'n1', incarnation: 'a' }, full, 2, STARTED_AT_MS);
    const asking = { ...usage, wanted: 10_000 };
    const run = { node: 'n2', incarnation: 'a' };
    const { lease, waitMs } = pool.exchange(run, asking, 2, STARTED_AT_MS);
    expect(lease).toBe(0);
    expect(waitMs).toBe(800);
  });

  // Guards against a process that is gone for good and whose lease nobody else can ever use.
  it('grants the lease of an entry that no longer reports to others after two windows', () => {
    const pool = new QuotaPool(LIMIT, WINDOW_MS, NOTHING_SPENT);
    const usage = { lease: 0, spent: 0, wanted: 0, total: 0 };
    const full = { lease: LIMIT, spent: LIMIT, wanted: 0, total: LIMIT };
    pool.exchange({ node: 'n1', incarnation: 'a' }, full, 2, STARTED_AT_MS);
    const run = { node: 'n2', incarnation: 'a' };
    const exchange = (now: number): number => {
      pool.raiseCeiling(LIMIT);
      return pool.exchange(run, { ...usage, wanted: 10_000 }, 2, now).lease;
    };
    expect(exchange(STARTED_AT_MS + 2 * WINDOW_MS - 1)).toBe(0);
    expect(exchange(STARTED_AT_MS + 2 * WINDOW_MS)).toBeGreaterThanOrEqual(10_000);
    expect(pool.isUnused(STARTED_AT_MS + 4 * WINDOW_MS)).toBe(true);
  });

  it('spends nothing under a lease that has expired', () => {
    // The hub may grant the tokens of a process that it has not heard of for two windows to others.
    const wallet = new QuotaWallet(WINDOW_MS);
    wallet.setHubReachable(true);
    wallet.applyLease('pag', 5_000, 0, STARTED_AT_MS, STARTED_AT_MS);
    expect(wallet.trySpend('pag', 1_000, STARTED_AT_MS + 100).kind).toBe('spent');
    wallet.setHubReachable(false);
    expect(wallet.trySpend('pag', 1_000, STARTED_AT_MS + WINDOW_MS).kind).toBe('over');
  });

  it('lowers no later window by the refund of a request that did not run', () => {
    const wallet = new QuotaWallet(WINDOW_MS);
    wallet.setHubReachable(true);
    wallet.applyLease('pag', 1_000, 0, 0, 0);
    wallet.trySpend('pag', 1_000, 0);
    wallet.refund('pag', 1_000, 0);
    wallet.applyLease('pag', 1_000, 0, 7_000, 7_000);
    wallet.trySpend('pag', 1_000, 8_000);
    wallet.applyLease('pag', 1_000, 0, 8_500, 8_500);
    expect(wallet.trySpend('pag', 1_000, 8_600).kind).not.toBe('spent');
  });

  it('uses most of the excess and tolerance that the terms allow, but not all', () => {
    const account = buildAccount({ tokensPerSecond: 10_000, burstTokens: 20_000 });
    const limit = computeWindowLimit(account, {
      windowMs: 8_000,
      excessRatio: 0.1,
      toleranceTokens: 50_000,
    });
    expect(limit).toBeGreaterThan(100_000);
    expect(limit).toBeLessThan(160_000);
  });
});
