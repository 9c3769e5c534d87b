/** Guards against client accounts that exceed their limit across all entries, or are refused below it. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { buildAccount } from './Fixtures.js';
import { QuotaPool } from './QuotaPool.js';
import { computeWindowLimit } from './QuotaRule.js';
import { QuotaWallet } from './QuotaWallet.js';

const WINDOW_MS = 8_000;
const LIMIT = 100_000;
const LIMITS = { windowLimit: LIMIT, entries: 3 };
const STARTED_AT_MS = 1_000;

interface ISpent {
  readonly at: number;
  readonly tokens: number;
}

/** Entries that call a hub in memory; a request that lacks tokens exchanges at once, as in production. */
class Fleet {
  public readonly spent: ISpent[] = [];
  public readonly refused: ISpent[] = [];
  public pool: QuotaPool;
  private readonly _wallets: QuotaWallet[];

  constructor(entries: number) {
    this.pool = new QuotaPool(LIMIT, WINDOW_MS, 0, false);
    this._wallets = Array.from({ length: entries }, () => new QuotaWallet(WINDOW_MS));
  }

  public exchange(entry: number, now: number): void {
    const wallet = this._wallets[entry];
    for (const { clientAccount, held, wanted, spent } of wallet?.report(now) ?? []) {
      const { tokens, waitMs } = this.pool.exchange(`n${entry}`, { held, spent }, wanted, now);
      wallet?.recordHubAnswer(now);
      wallet?.addGrant(clientAccount, tokens, waitMs, now);
    }
  }

  public send(entry: number, tokens: number, now: number): void {
    const wallet = this._wallets[entry];
    wallet?.recordHubAnswer(now);
    let outcome = wallet?.trySpend('pag', tokens, LIMITS, now);
    if (outcome?.kind === 'ask') {
      this.exchange(entry, now);
      outcome = wallet?.retrySpend('pag', tokens, LIMITS, now);
    }
    (outcome?.kind === 'spent' ? this.spent : this.refused).push({ at: now, tokens });
  }

  public sumWorstWindow(): number {
    return Math.max(
      0,
      ...this.spent.map(({ at }) =>
        this.spent
          .filter((item) => item.at >= at && item.at < at + WINDOW_MS)
          .reduce((sum, item) => sum + item.tokens, 0),
      ),
    );
  }
}

describe('quota across all entries', () => {
  it('never exceeds the limit in any window', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            entry: fc.nat({ max: 2 }),
            tokens: fc.integer({ min: 100, max: 20_000 }),
            pauseMs: fc.nat({ max: 400 }),
          }),
          { minLength: 50, maxLength: 200 },
        ),
        (requests) => {
          const fleet = new Fleet(3);
          let now = STARTED_AT_MS;
          for (const { entry, tokens, pauseMs } of requests) {
            now += pauseMs;
            [0, 1, 2].forEach((other) => {
              fleet.exchange(other, now);
            });
            fleet.send(entry, tokens, now);
          }
          expect(fleet.sumWorstWindow()).toBeLessThanOrEqual(LIMIT);
        },
      ),
      { numRuns: 60 },
    );
  });

  it('refuses no request of a client account that stays at half of its limit', () => {
    const fleet = new Fleet(3);
    for (let now = STARTED_AT_MS; now < STARTED_AT_MS + 30_000; now += 800) {
      [0, 1, 2].forEach((entry) => {
        fleet.exchange(entry, now);
      });
      fleet.send(Math.floor(now / 800) % 3, 5_000, now);
    }
    expect(fleet.refused).toEqual([]);
  });

  it('does not grant the limit a second time when a new hub replaces the old one', () => {
    const fleet = new Fleet(3);
    for (let now = STARTED_AT_MS; now < STARTED_AT_MS + 4_000; now += 100) {
      fleet.send(0, 9_000, now);
    }
    fleet.pool = new QuotaPool(LIMIT, WINDOW_MS, STARTED_AT_MS + 4_000, false);
    for (let now = STARTED_AT_MS + 4_000; now < STARTED_AT_MS + 7_000; now += 100) {
      [0, 1, 2].forEach((entry) => {
        fleet.exchange(entry, now);
      });
      fleet.send(1, 9_000, now);
    }
    expect(fleet.sumWorstWindow()).toBeLessThanOrEqual(LIMIT);
  });

  it('grants at once after a simultaneous stop, but only a fraction of the limit in the first window', () => {
    const pool = new QuotaPool(LIMIT, WINDOW_MS, 0, true);
    expect(pool.exchange('n1', { held: 0, spent: 0 }, 2_000, 10).tokens).toBe(2_000);
    const { tokens } = pool.exchange('n2', { held: 0, spent: 0 }, LIMIT, 1_000);
    expect(tokens).toBeLessThanOrEqual(LIMIT * 0.6);
  });

  it('returns the time after which a refused client may retry', () => {
    const pool = new QuotaPool(LIMIT, WINDOW_MS, 0, false);
    pool.exchange('n1', { held: 0, spent: LIMIT }, 0, STARTED_AT_MS);
    const { tokens, waitMs } = pool.exchange('n2', { held: 0, spent: 0 }, 10_000, STARTED_AT_MS);
    expect(tokens).toBe(0);
    expect(waitMs).toBe(800);
  });

  it('spends an equal share of the limit while the hub is unreachable', () => {
    // Occurs after a planned stop of the leader, until another one is elected.
    const wallet = new QuotaWallet(WINDOW_MS);
    const outcomes = Array.from({ length: 60 }, (_, i) =>
      wallet.trySpend('pag', 1_000, LIMITS, STARTED_AT_MS + i * 50),
    );
    // A third of 100,000 tokens.
    expect(outcomes.filter(({ kind }) => kind === 'spent')).toHaveLength(33);
    expect(outcomes.at(-1)?.kind).toBe('over');
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
