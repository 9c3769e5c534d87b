/** Bound of the retries, so that retries never multiply an overload. */

/** Retries earned by each request. */
const SHARE_OF_REQUESTS = 0.1;

/** Retries earned each second, so that light traffic may retry too. */
const RETRIES_PER_SECOND = 3;

/** Most retries that are saved up. */
const MAX_SAVED = 30;

/**
 * Token bucket of retries.
 *
 * @example
 * const budget = new RetryBudget(clock.now());
 * budget.recordRequest(now);
 * if (budget.trySpend(now)) { retry(); }
 */
export class RetryBudget {
  private _saved = RETRIES_PER_SECOND;
  private _refilledAt: number;

  constructor(now: number) {
    this._refilledAt = now;
  }

  /** Counts a request that is not a retry. */
  public recordRequest(now: number): void {
    this._refill(now);
    this._saved = Math.min(MAX_SAVED, this._saved + SHARE_OF_REQUESTS);
  }

  /** Takes one retry if there is one. */
  public trySpend(now: number): boolean {
    this._refill(now);
    if (this._saved < 1) {
      return false;
    }
    this._saved -= 1;
    return true;
  }

  private _refill(now: number): void {
    const elapsed = Math.max(0, now - this._refilledAt);
    this._refilledAt = Math.max(this._refilledAt, now);
    this._saved = Math.min(MAX_SAVED, this._saved + (elapsed * RETRIES_PER_SECOND) / 1_000);
  }
}
