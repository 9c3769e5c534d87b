/** Tokens of the client accounts that this entry may spend. */

/** Time constant of the average demand. */
const DEMAND_DECAY_MS = 2_000;

/** Time for which tokens are held in advance; covers a few exchanges. */
const HOLD_MS = 400;

/** Without exchange for this long the hub is taken as unreachable. */
const HUB_SILENT_MS = 350;

/** Length of the slices in which spending is counted. */
const SLICE_MS = 250;

interface ISlice {
  readonly startsAt: number;
  spent: number;
}

interface IAccountTokens {
  held: number;
  /** Average demand in tokens a millisecond. */
  demand: number;
  demandAt: number;
  /** Tokens that waiting requests lack. */
  lacking: number;
  /** From the hub's last answer: time until it has more. */
  waitUntil: number;
  /** Spending within the window, oldest first. */
  slices: ISlice[];
}

/** Limits of a client account as the entry knows them. */
export interface IWalletLimits {
  /** Most tokens of all entries within the window. */
  readonly windowLimit: number;
  /** Entries that share the limit. */
  readonly entries: number;
}

export type SpendOutcome =
  | { readonly kind: 'spent' }
  /** Ask the hub and try again. */
  | { readonly kind: 'ask' }
  /** The client account is over its limit; more is expected after this time. */
  | { readonly kind: 'over'; readonly retryAfterMs: number };

/** One line of a report to the hub. */
export interface IWalletReport {
  readonly clientAccount: string;
  readonly held: number;
  readonly wanted: number;
  readonly spent: number;
}

export class QuotaWallet {
  private readonly _accounts = new Map<string, IAccountTokens>();
  private _answeredAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly _windowMs: number) {}

  /** Spends tokens for a request, or says what to do instead. */
  public trySpend(
    account: string,
    tokens: number,
    limits: IWalletLimits,
    now: number,
  ): SpendOutcome {
    const entry = this._ensureAccount(account, now);
    updateDemand(entry, now);
    entry.demand += tokens / DEMAND_DECAY_MS;
    return this.retrySpend(account, tokens, limits, now);
  }

  /** As `trySpend`, for a request whose demand was counted before. */
  public retrySpend(
    account: string,
    tokens: number,
    limits: IWalletLimits,
    now: number,
  ): SpendOutcome {
    const entry = this._ensureAccount(account, now);
    if (entry.held >= tokens) {
      entry.held -= tokens;
      noteSpent(entry, tokens, now);
      return { kind: 'spent' };
    }
    if (now - this._answeredAt > HUB_SILENT_MS) {
      // Each entry's equal share of the limit: all together stay within it.
      const share = limits.windowLimit / Math.max(1, limits.entries);
      if (this._sumSpent(entry, now) + tokens > share) {
        return { kind: 'over', retryAfterMs: HUB_SILENT_MS };
      }
      noteSpent(entry, tokens, now);
      return { kind: 'spent' };
    }
    if (now < entry.waitUntil) {
      return { kind: 'over', retryAfterMs: entry.waitUntil - now };
    }
    entry.lacking += tokens;
    return { kind: 'ask' };
  }

  /** Gives back the tokens of a request that did not run. */
  public refund(account: string, tokens: number, now: number): void {
    const entry = this._ensureAccount(account, now);
    noteSpent(entry, -tokens, now);
    entry.held += tokens;
  }

  /** What to tell the hub. Gives up what is held beyond the demand. */
  public report(now: number): IWalletReport[] {
    const lines: IWalletReport[] = [];
    for (const [clientAccount, entry] of this._accounts) {
      updateDemand(entry, now);
      const wanted = entry.demand * HOLD_MS + entry.lacking;
      entry.lacking = 0;
      entry.held = Math.min(entry.held, Math.max(wanted, 1));
      const spent = this._sumSpent(entry, now);
      if (wanted < 1 && spent < 1) {
        this._accounts.delete(clientAccount);
      }
      lines.push({ clientAccount, held: entry.held, wanted, spent });
    }
    return lines;
  }

  public noteAnswer(now: number): void {
    this._answeredAt = now;
  }

  public addGrant(account: string, tokens: number, waitMs: number, now: number): void {
    const entry = this._ensureAccount(account, now);
    entry.held += tokens;
    entry.waitUntil = waitMs > 0 ? now + waitMs : now;
  }

  private _sumSpent(entry: IAccountTokens, now: number): number {
    entry.slices = entry.slices.filter(
      ({ startsAt }) => now - startsAt <= this._windowMs + SLICE_MS,
    );
    return entry.slices.reduce((sum, slice) => sum + slice.spent, 0);
  }

  private _ensureAccount(account: string, now: number): IAccountTokens {
    let entry = this._accounts.get(account);
    if (entry === undefined) {
      entry = {
        held: 0,
        demand: 0,
        demandAt: now,
        lacking: 0,
        waitUntil: 0,
        slices: [],
      };
      this._accounts.set(account, entry);
    }
    return entry;
  }
}

function updateDemand(entry: IAccountTokens, now: number): void {
  entry.demand *= Math.exp(-(now - entry.demandAt) / DEMAND_DECAY_MS);
  entry.demandAt = now;
}

function noteSpent(entry: IAccountTokens, tokens: number, now: number): void {
  let slice = entry.slices.at(-1);
  if (slice === undefined || now - slice.startsAt >= SLICE_MS) {
    slice = { startsAt: now, spent: 0 };
    entry.slices.push(slice);
  }
  slice.spent += tokens;
}
