/** Holds the tokens of each client account that this entry may spend without asking the hub. */

/** Time constant of the exponential average of demand. */
const DEMAND_TIME_CONSTANT_MS = 2_000;

/** Tokens are held in advance for the demand of this time, which spans a few exchanges. */
const PREFETCH_HORIZON_MS = 400;

/** The hub counts as unreachable when it has not answered for this long. */
const HUB_TIMEOUT_MS = 350;

/** Length of the slices of the sliding window in which spending is counted. */
const SLICE_LENGTH_MS = 250;

/** Spending in one slice of the sliding window. */
interface ISlice {
  readonly startsAt: number;
  spent: number;
}

interface IAccountBalance {
  held: number;
  /** Exponential average of the demand, in tokens per millisecond. */
  demandPerMs: number;
  demandUpdatedAt: number;
  /** Tokens that requests lacked since the last report. */
  shortfall: number;
  /** Time at which the hub expects to have more tokens, by its last answer. */
  nextGrantAt: number;
  /** Slices of the window, oldest first. */
  slices: ISlice[];
}

/** Limit of a client account, as this entry knows it. */
export interface IWalletLimits {
  /** Most tokens that all entries together may spend within the window. */
  readonly windowLimit: number;
  /** Number of entries that share the limit. */
  readonly entries: number;
}

export type SpendOutcome =
  | { readonly kind: 'spent' }
  /** The entry holds too few tokens: exchange with the hub, then call `retrySpend`. */
  | { readonly kind: 'ask' }
  /** The client account is over its limit; more tokens are expected after this time. */
  | { readonly kind: 'over'; readonly retryAfterMs: number };

/** Part of a report to the hub that concerns one client account. */
export interface IWalletReport {
  readonly clientAccount: string;
  readonly held: number;
  readonly wanted: number;
  readonly spent: number;
}

/**
 * Spends tokens that the hub granted, and estimates the demand for which to hold tokens. While the hub is
 * unreachable, each entry may spend an equal share of the limit.
 */
export class QuotaWallet {
  private readonly _balances = new Map<string, IAccountBalance>();
  private _hubAnsweredAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly _windowMs: number) {}

  /** Spends tokens for a new request and counts them as demand. */
  public trySpend(
    account: string,
    tokens: number,
    limits: IWalletLimits,
    now: number,
  ): SpendOutcome {
    const balance = this._ensureBalance(account, now);
    updateDemand(balance, now);
    balance.demandPerMs += tokens / DEMAND_TIME_CONSTANT_MS;
    return this.retrySpend(account, tokens, limits, now);
  }

  /** As `trySpend`, for a request whose demand has been counted. */
  public retrySpend(
    account: string,
    tokens: number,
    limits: IWalletLimits,
    now: number,
  ): SpendOutcome {
    const balance = this._ensureBalance(account, now);
    if (balance.held >= tokens) {
      balance.held -= tokens;
      recordSpending(balance, tokens, now);
      return { kind: 'spent' };
    }
    if (now - this._hubAnsweredAt > HUB_TIMEOUT_MS) {
      // With an equal share each, all entries together stay within the limit.
      const share = limits.windowLimit / Math.max(1, limits.entries);
      if (this._sumSpent(balance, now) + tokens > share) {
        return { kind: 'over', retryAfterMs: HUB_TIMEOUT_MS };
      }
      recordSpending(balance, tokens, now);
      return { kind: 'spent' };
    }
    if (now < balance.nextGrantAt) {
      return { kind: 'over', retryAfterMs: balance.nextGrantAt - now };
    }
    balance.shortfall += tokens;
    return { kind: 'ask' };
  }

  /** Refunds the tokens of a request that did not run. */
  public refund(account: string, tokens: number, now: number): void {
    const balance = this._ensureBalance(account, now);
    recordSpending(balance, -tokens, now);
    balance.held += tokens;
  }

  /** Builds the report to the hub. Drops held tokens beyond the demand, and accounts without use. */
  public report(now: number): IWalletReport[] {
    const lines: IWalletReport[] = [];
    for (const [clientAccount, balance] of this._balances) {
      updateDemand(balance, now);
      const wanted = balance.demandPerMs * PREFETCH_HORIZON_MS + balance.shortfall;
      balance.shortfall = 0;
      balance.held = Math.min(balance.held, Math.max(wanted, 1));
      const spent = this._sumSpent(balance, now);
      if (wanted < 1 && spent < 1) {
        this._balances.delete(clientAccount);
      }
      lines.push({ clientAccount, held: balance.held, wanted, spent });
    }
    return lines;
  }

  /** Records that the hub has answered, so that it counts as reachable. */
  public recordHubAnswer(now: number): void {
    this._hubAnsweredAt = now;
  }

  /** Adds tokens that the hub granted; `waitMs` is the time until it expects more, 0 if it granted all. */
  public addGrant(account: string, tokens: number, waitMs: number, now: number): void {
    const balance = this._ensureBalance(account, now);
    balance.held += tokens;
    balance.nextGrantAt = waitMs > 0 ? now + waitMs : now;
  }

  private _sumSpent(balance: IAccountBalance, now: number): number {
    balance.slices = balance.slices.filter(
      ({ startsAt }) => now - startsAt <= this._windowMs + SLICE_LENGTH_MS,
    );
    return balance.slices.reduce((sum, slice) => sum + slice.spent, 0);
  }

  private _ensureBalance(account: string, now: number): IAccountBalance {
    let balance = this._balances.get(account);
    if (balance === undefined) {
      balance = {
        held: 0,
        demandPerMs: 0,
        demandUpdatedAt: now,
        shortfall: 0,
        nextGrantAt: 0,
        slices: [],
      };
      this._balances.set(account, balance);
    }
    return balance;
  }
}

function updateDemand(balance: IAccountBalance, now: number): void {
  balance.demandPerMs *= Math.exp(-(now - balance.demandUpdatedAt) / DEMAND_TIME_CONSTANT_MS);
  balance.demandUpdatedAt = now;
}

function recordSpending(balance: IAccountBalance, tokens: number, now: number): void {
  let slice = balance.slices.at(-1);
  if (slice === undefined || now - slice.startsAt >= SLICE_LENGTH_MS) {
    slice = { startsAt: now, spent: 0 };
    balance.slices.push(slice);
  }
  slice.spent += tokens;
}
