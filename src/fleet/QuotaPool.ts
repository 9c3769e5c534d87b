/** Tokens of one client account at the hub, handed out to the entries on demand. */

/** Part of what is left that one exchange may take when it is scarce, so that others get some too. */
const LARGEST_PART = 0.5;

/** Until then the entries may not have reported what they spent, and a new hub grants only a share. */
const LEARN_MS = 500;

/** Entries that a new hub reckons with at least. */
const MIN_ENTRIES = 8;

/**
 * Part of the limit that is granted within the first window after a common stop: what was spent before it
 * is not known any more.
 */
const FRESH_PART = 0.5;

/** What an entry gets. */
export interface IQuotaDecision {
  readonly tokens: number;
  /** Time until the rest of what was wanted is expected; 0 if all was granted. */
  readonly waitMs: number;
}

/** Report of one entry. */
export interface IQuotaUse {
  /** Tokens that the entry holds. */
  readonly held: number;
  /** Tokens that it spent within the window. */
  readonly spent: number;
}

/**
 * Sliding window over all entries: what they spent within the window and what they hold never exceeds
 * the limit. All of its state comes from the entries, so a new hub knows it after one round of reports.
 */
export class QuotaPool {
  private readonly _uses = new Map<string, IQuotaUse & { readonly at: number }>();

  constructor(
    /** Most tokens within the window. */
    private _limit: number,
    private readonly _windowMs: number,
    private readonly _startedAt: number,
    /** True: the processes have just started, and none may know what was spent before. */
    private readonly _isFresh: boolean,
  ) {}

  public setLimit(limit: number): void {
    this._limit = limit;
  }

  /** Takes an entry's report and grants what it lacks, as far as the window allows. */
  public exchange(entry: string, use: IQuotaUse, wanted: number, now: number): IQuotaDecision {
    this._uses.set(entry, { ...use, at: now });
    const missing = Math.max(0, wanted - use.held);
    const isLearning = now - this._startedAt < LEARN_MS;
    const limit = this._deriveLimit(now);
    const left = Math.max(
      0,
      isLearning ? limit / MIN_ENTRIES - use.held - use.spent : limit - this._sumUse(now),
    );
    const tokens = Math.min(missing, missing <= left * LARGEST_PART ? left : left * LARGEST_PART);
    this._uses.set(entry, { held: use.held + tokens, spent: use.spent, at: now });
    const lacking = missing - tokens;
    return {
      tokens,
      waitMs:
        lacking > 0 && !isLearning
          ? Math.ceil((lacking / Math.max(1, this._limit)) * this._windowMs)
          : 0,
    };
  }

  private _deriveLimit(now: number): number {
    const age = (now - this._startedAt) / this._windowMs;
    return this._isFresh && age < 1
      ? this._limit * (FRESH_PART + (1 - FRESH_PART) * age)
      : this._limit;
  }

  private _sumUse(now: number): number {
    let sum = 0;
    for (const [entry, { held, spent, at }] of this._uses) {
      if (now - at > this._windowMs) {
        this._uses.delete(entry);
      } else {
        sum += held + spent;
      }
    }
    return sum;
  }
}
