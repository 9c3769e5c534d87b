/** Limits retries in relation to requests, so that they do not multiply an overload. */

/** Retries that each request adds to the budget. */
const RETRIES_PER_REQUEST = 0.1;

/** Retries added each second, so that light traffic may retry too. */
const RETRIES_PER_SECOND = 3;

/** Capacity of the token bucket. */
const MAX_AVAILABLE_RETRIES = 30;

/**
 * Token bucket of retries, filled by requests and by time.
 *
 * @example
 * const budget = new RetryBudget(clock.now());
 * budget.recordRequest(now);
 * if (budget.trySpend(now)) { retry(); }
 */
export class RetryBudget {
  private _availableRetries = RETRIES_PER_SECOND;
  private _refilledAt: number;

  constructor(now: number) {
    this._refilledAt = now;
  }

  /** Adds the share of a request that is not a retry. */
  public recordRequest(now: number): void {
    this._refill(now);
    this._availableRetries = Math.min(
      MAX_AVAILABLE_RETRIES,
      this._availableRetries + RETRIES_PER_REQUEST,
    );
  }

  /** Spends one retry; returns false when the budget is used up. */
  public trySpend(now: number): boolean {
    this._refill(now);
    if (this._availableRetries < 1) {
      return false;
    }
    this._availableRetries -= 1;
    return true;
  }

  private _refill(now: number): void {
    const elapsedMs = Math.max(0, now - this._refilledAt);
    this._refilledAt = Math.max(this._refilledAt, now);
    this._availableRetries = Math.min(
      MAX_AVAILABLE_RETRIES,
      this._availableRetries + (elapsedMs * RETRIES_PER_SECOND) / 1_000,
    );
  }
}
