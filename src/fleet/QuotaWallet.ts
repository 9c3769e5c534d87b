/** Spends the tokens of each client account within the leases of the hub, without a call for each request. */
import { LEASE_WINDOWS } from './QuotaRule.js';

/** Time constant of the exponential average of demand. */
const DEMAND_TIME_CONSTANT_MS = 2_000;

/** Tokens are wanted in advance for the demand of this time, which spans a few exchanges. */
const PREFETCH_HORIZON_MS = 1_000;

/** Retry-After of a request whose lease does not suffice while the hub is out of reach. */
const HUB_LOST_RETRY_AFTER_MS = 350;

/** Length of the slices of the sliding window in which spending is counted. */
const SLICE_LENGTH_MS = 250;

/** A lease that does not change is reported again after this fraction of its lifetime. */
const RENEWAL_FRACTION = 0.12;

/** Spending in one slice of the sliding window. */
interface ISlice {
  readonly startsAt: number;
  spent: number;
}

interface IAccountBalance {
  /** Most tokens that this entry may spend within the window. */
  lease: number;
  /** Tokens that it may spend while the hub answers. */
  held: number;
  leaseExpiresAt: number;
  /** Exponential average of the demand, in tokens per millisecond. */
  demandPerMs: number;
  demandUpdatedAt: number;
  /** Tokens that requests lacked since the last report. */
  shortfall: number;
  /** Time at which the hub expects to have more tokens, by its last answer. */
  nextGrantAt: number;
  /** Time of the last report that the hub answered. */
  reportedAt: number;
  /** Tokens spent since the start of this process. */
  total: number;
  /** Slices of the window, oldest first. */
  slices: ISlice[];
}

export type SpendOutcome =
  | { readonly kind: 'spent' }
  /** The lease does not suffice: ask the hub for a larger one, then call `retrySpend`. */
  | { readonly kind: 'ask' }
  /** The client account is over its limit; more tokens are expected after this time. */
  | { readonly kind: 'over'; readonly retryAfterMs: number };

/** Part of a report to the hub that concerns one client account. */
export interface IWalletReport {
  readonly clientAccount: string;
  /** The unspent part of the lease. */
  readonly held: number;
  readonly wanted: number;
  readonly spent: number;
  readonly total: number;
}

/**
 * Spends within leases: what this entry spent within the sliding window never exceeds the lease, and nothing
 * is spent under a lease that has expired because the hub was out of reach. A lease is spent once while the hub
 * answers, and renewed by its answers.
 */
export class QuotaWallet {
  private readonly _balances = new Map<string, IAccountBalance>();
  private _isHubReachable = false;

  constructor(private readonly _windowMs: number) {}

  /** Spends tokens for a new request and counts them as demand. */
  public trySpend(account: string, tokens: number, now: number): SpendOutcome {
    const balance = this._ensureBalance(account, now);
    updateDemand(balance, now);
    balance.demandPerMs += tokens / DEMAND_TIME_CONSTANT_MS;
    return this.retrySpend(account, tokens, now);
  }

  /** As `trySpend`, for a request whose demand has been counted. */
  public retrySpend(account: string, tokens: number, now: number): SpendOutcome {
    const balance = this._ensureBalance(account, now);
    if (tokens <= this._getAvailable(balance, now)) {
      balance.held = Math.max(0, balance.held - tokens);
      recordSpending(balance, tokens, now);
      return { kind: 'spent' };
    }
    if (!this._isHubReachable) {
      balance.shortfall += tokens;
      return { kind: 'over', retryAfterMs: HUB_LOST_RETRY_AFTER_MS };
    }
    if (now < balance.nextGrantAt) {
      return { kind: 'over', retryAfterMs: balance.nextGrantAt - now };
    }
    balance.shortfall += tokens;
    return { kind: 'ask' };
  }

  /** Refunds the tokens of a request that did not run; `spentAt` is when they were spent. */
  public refund(account: string, tokens: number, spentAt: number): void {
    const balance = this._balances.get(account);
    // A refund in another slice would lower the sum of the window after the spending has left it.
    const slice = balance?.slices.findLast(({ startsAt }) => startsAt <= spentAt);
    if (balance !== undefined && slice !== undefined) {
      slice.spent -= tokens;
      balance.total -= tokens;
      balance.held += tokens;
    }
  }

  /**
   * Builds the report to the hub: of the client accounts named, and of those with a balance. Leases that have
   * not changed are left out until they are due for renewal.
   */
  public report(clientAccounts: readonly string[], now: number): IWalletReport[] {
    for (const clientAccount of clientAccounts) {
      this._ensureBalance(clientAccount, now);
    }
    const lines: IWalletReport[] = [];
    for (const [clientAccount, balance] of this._balances) {
      const line = this._reportBalance(clientAccount, balance, now);
      const isIdle = line.spent < 1 && line.wanted < 1;
      const isDue = now - balance.reportedAt >= this._windowMs * LEASE_WINDOWS * RENEWAL_FRACTION;
      if (!isIdle || isDue) {
        lines.push(line);
      }
    }
    return lines;
  }

  /** Builds the report of the client accounts whose requests wait for a larger lease. */
  public reportShortfalls(now: number): IWalletReport[] {
    return [...this._balances]
      .filter(([, balance]) => balance.shortfall > 0)
      .map(([clientAccount, balance]) => this._reportBalance(clientAccount, balance, now));
  }

  /** Records whether the hub answered the last call; while it does not, nobody is asked for tokens. */
  public setHubReachable(isReachable: boolean): void {
    this._isHubReachable = isReachable;
  }

  /**
   * Applies a lease that the hub granted in answer to a report.
   *
   * @param waitMs time until the hub expects more tokens; 0 if it granted all that was wanted
   * @param reportedAt when the report was sent, from which on the lease is valid
   */
  public applyLease(
    account: string,
    lease: number,
    waitMs: number,
    reportedAt: number,
    now: number,
  ): void {
    const balance = this._ensureBalance(account, now);
    const isSmaller = lease < balance.lease;
    const spent = this._sumSpent(balance, now);
    balance.lease = Math.max(lease, spent);
    balance.held = balance.lease - spent;
    balance.leaseExpiresAt = reportedAt + this._windowMs * LEASE_WINDOWS;
    // The hub can give the difference to others only once it is reported.
    balance.reportedAt = isSmaller ? Number.NEGATIVE_INFINITY : reportedAt;
    balance.nextGrantAt = waitMs > 0 ? now + waitMs : now;
  }

  /** Drops the balances of client accounts that no longer exist, once their spending has left the window. */
  public pruneAccounts(clientAccounts: ReadonlySet<string>, now: number): void {
    for (const [account, balance] of this._balances) {
      if (!clientAccounts.has(account) && this._sumSpent(balance, now) <= 0) {
        this._balances.delete(account);
      }
    }
  }

  private _reportBalance(
    clientAccount: string,
    balance: IAccountBalance,
    now: number,
  ): IWalletReport {
    updateDemand(balance, now);
    const wanted = balance.demandPerMs * PREFETCH_HORIZON_MS + balance.shortfall;
    balance.shortfall = 0;
    const spent = Math.max(0, this._sumSpent(balance, now));
    // What is not held any more is given back.
    balance.held = Math.max(0, this._getAvailable(balance, now));
    balance.lease = spent + balance.held;
    return { clientAccount, held: balance.held, wanted, spent, total: balance.total };
  }

  /**
   * Tokens that may be spent now. What was spent longer than a window ago may be spent again only while the hub is out
   * of reach; else it goes back to the hub, which divides it among all entries that want tokens by then.
   */
  private _getAvailable(balance: IAccountBalance, now: number): number {
    if (now >= balance.leaseExpiresAt) {
      return 0;
    }
    const unspent = balance.lease - this._sumSpent(balance, now);
    return this._isHubReachable ? Math.min(balance.held, unspent) : unspent;
  }

  private _sumSpent(balance: IAccountBalance, now: number): number {
    const oldest = balance.slices[0];
    const isOutdated = ({ startsAt }: ISlice): boolean =>
      now - startsAt > this._windowMs + SLICE_LENGTH_MS;
    if (oldest !== undefined && isOutdated(oldest)) {
      balance.slices = balance.slices.filter((slice) => !isOutdated(slice));
    }
    return balance.slices.reduce((sum, slice) => sum + slice.spent, 0);
  }

  private _ensureBalance(account: string, now: number): IAccountBalance {
    let balance = this._balances.get(account);
    if (balance === undefined) {
      balance = {
        lease: 0,
        held: 0,
        leaseExpiresAt: Number.NEGATIVE_INFINITY,
        demandPerMs: 0,
        demandUpdatedAt: now,
        shortfall: 0,
        nextGrantAt: 0,
        reportedAt: Number.NEGATIVE_INFINITY,
        total: 0,
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
  balance.total += tokens;
  let slice = balance.slices.at(-1);
  if (slice === undefined || now - slice.startsAt >= SLICE_LENGTH_MS) {
    slice = { startsAt: now, spent: 0 };
    balance.slices.push(slice);
  }
  slice.spent += tokens;
}
