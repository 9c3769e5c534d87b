/** Grants the tokens of one client account to the entries on demand; part of the hub. */

/** Fraction of the scarce tokens left that one exchange may take, so that other entries get some too. */
const MAX_GRANT_FRACTION = 0.5;

/**
 * Time for which a new hub grants only a share of the limit, since the entries may not have reported yet what
 * they spent.
 */
const WARM_UP_MS = 500;

/** Entries among which a new hub divides the limit, since it does not know their number yet. */
const WARM_UP_ENTRIES = 8;

/**
 * Fraction of the limit that is granted at the start of the first window after a simultaneous stop of all
 * processes, as what was spent before it is lost. It rises to the full limit within the window.
 */
const COLD_START_FRACTION = 0.5;

/** Result of one exchange. */
export interface IQuotaDecision {
  readonly tokens: number;
  /** Milliseconds until the tokens that were not granted are expected; 0 if all were, or while warming up. */
  readonly waitMs: number;
}

/** What one entry reports. */
export interface IQuotaUsage {
  /** Tokens that the entry holds and has not spent. */
  readonly held: number;
  /** Tokens that the entry spent within the window. */
  readonly spent: number;
}

/**
 * Enforces a sliding-window limit across all entries: what they hold plus what they spent within the window
 * never exceeds the limit. Its state comes from the entries' reports only, so a new hub recovers it with one
 * report of each entry.
 */
export class QuotaPool {
  private readonly _usageByEntry = new Map<string, IQuotaUsage & { readonly at: number }>();

  constructor(
    /** Most tokens within the window. */
    private _limit: number,
    private readonly _windowMs: number,
    private readonly _startedAt: number,
    /** True: all processes may have just started, so that none knows what was spent before. */
    private readonly _isColdStart: boolean,
  ) {}

  public setLimit(limit: number): void {
    this._limit = limit;
  }

  /** Records an entry's report and grants what it lacks up to `wanted`, as far as the window allows. */
  public exchange(entry: string, usage: IQuotaUsage, wanted: number, now: number): IQuotaDecision {
    this._usageByEntry.set(entry, { ...usage, at: now });
    const requested = Math.max(0, wanted - usage.held);
    const isWarmingUp = now - this._startedAt < WARM_UP_MS;
    const limit = this._computeLimit(now);
    const available = Math.max(
      0,
      isWarmingUp
        ? limit / WARM_UP_ENTRIES - usage.held - usage.spent
        : limit - this._sumUsage(now),
    );
    const tokens = Math.min(
      requested,
      requested <= available * MAX_GRANT_FRACTION ? available : available * MAX_GRANT_FRACTION,
    );
    this._usageByEntry.set(entry, { held: usage.held + tokens, spent: usage.spent, at: now });
    const shortfall = requested - tokens;
    return {
      tokens,
      waitMs:
        shortfall > 0 && !isWarmingUp
          ? Math.ceil((shortfall / Math.max(1, this._limit)) * this._windowMs)
          : 0,
    };
  }

  private _computeLimit(now: number): number {
    const elapsedWindows = (now - this._startedAt) / this._windowMs;
    return this._isColdStart && elapsedWindows < 1
      ? this._limit * (COLD_START_FRACTION + (1 - COLD_START_FRACTION) * elapsedWindows)
      : this._limit;
  }

  private _sumUsage(now: number): number {
    let sum = 0;
    for (const [entry, { held, spent, at }] of this._usageByEntry) {
      if (now - at > this._windowMs) {
        this._usageByEntry.delete(entry);
      } else {
        sum += held + spent;
      }
    }
    return sum;
  }
}
