/** Guards against client accounts that exceed their limit over all entries, or are refused below it. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { buildAccount } from './Fixtures.js';
import { QuotaPool } from './QuotaPool.js';
import { deriveWindowLimit } from './QuotaRule.js';
import { QuotaWallet } from './QuotaWallet.js';

const WINDOW_MS = 8_000;
const LIMIT = 100_000;
const LIMITS = { windowLimit: LIMIT, entries: 3 };
const STARTED = 1_000;

interface ISpent {
  readonly at: number;
  readonly tokens: number;
}

/** Entries and a hub without network: each request asks the hub at once, as an urgent exchange does. */
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
      wallet?.noteAnswer(now);
      wallet?.addGrant(clientAccount, tokens, waitMs, now);
    }
  }

  public send(entry: number, tokens: number, now: number): void {
    const wallet = this._wallets[entry];
    wallet?.noteAnswer(now);
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

describe('quota over all entries', () => {
  it('never exceeds the limit within any window', () => {
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
          let now = STARTED;
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

  it('refuses nothing of a client account that stays at half of its limit', () => {
    const fleet = new Fleet(3);
    for (let now = STARTED; now < STARTED + 30_000; now += 800) {
      [0, 1, 2].forEach((entry) => {
        fleet.exchange(entry, now);
      });
      fleet.send(Math.floor(now / 800) % 3, 5_000, now);
    }
    expect(fleet.refused).toEqual([]);
  });

  it('goes on under a new hub where the old one was, without doubling the limit', () => {
    const fleet = new Fleet(3);
    for (let now = STARTED; now < STARTED + 4_000; now += 100) {
      fleet.send(0, 9_000, now);
    }
    fleet.pool = new QuotaPool(LIMIT, WINDOW_MS, STARTED + 4_000, false);
    for (let now = STARTED + 4_000; now < STARTED + 7_000; now += 100) {
      [0, 1, 2].forEach((entry) => {
        fleet.exchange(entry, now);
      });
      fleet.send(1, 9_000, now);
    }
    expect(fleet.sumWorstWindow()).toBeLessThanOrEqual(LIMIT);
  });

  it('common stop: grants at once after it, but only a part of the limit in the first window', () => {
    const pool = new QuotaPool(LIMIT, WINDOW_MS, 0, true);
    expect(pool.exchange('n1', { held: 0, spent: 0 }, 2_000, 10).tokens).toBe(2_000);
    const { tokens } = pool.exchange('n2', { held: 0, spent: 0 }, LIMIT, 1_000);
    expect(tokens).toBeLessThanOrEqual(LIMIT * 0.6);
  });

  it('tells a refused client when to come back', () => {
    const pool = new QuotaPool(LIMIT, WINDOW_MS, 0, false);
    pool.exchange('n1', { held: 0, spent: LIMIT }, 0, STARTED);
    const { tokens, waitMs } = pool.exchange('n2', { held: 0, spent: 0 }, 10_000, STARTED);
    expect(tokens).toBe(0);
    expect(waitMs).toBe(800);
  });

  it('planned stop of the leader: spends an equal share of the limit while the hub is silent', () => {
    const wallet = new QuotaWallet(WINDOW_MS);
    const outcomes = Array.from({ length: 60 }, (_, i) =>
      wallet.trySpend('pag', 1_000, LIMITS, STARTED + i * 50),
    );
    // A third of 100,000 tokens.
    expect(outcomes.filter(({ kind }) => kind === 'spent')).toHaveLength(33);
    expect(outcomes.at(-1)?.kind).toBe('over');
  });

  it('uses the tolerance that the terms allow, but not all of it', () => {
    const account = buildAccount({ tokensPerSecond: 10_000, burstTokens: 20_000 });
    const limit = deriveWindowLimit(account, { windowMs: 8_000, excess: 0.1, tolerance: 50_000 });
    expect(limit).toBeGreaterThan(100_000);
    expect(limit).toBeLessThan(160_000);
  });
});
