/** Rate limit of the simulation and an independent check of it. */

/** Token bucket of one client account for the whole fleet, in place of grants from the ledger. */
export class TokenBucket {
  private _availableTokens: number;
  private _refilledAt = 0;

  constructor(
    private readonly _ratePerMs: number,
    private readonly _burstTokens: number,
  ) {
    this._availableTokens = _burstTokens;
  }

  /** Spends the tokens and returns true, or spends none and returns false when there are fewer. */
  public trySpend(tokens: number, now: number): boolean {
    this._availableTokens = Math.min(
      this._burstTokens,
      this._availableTokens + (now - this._refilledAt) * this._ratePerMs,
    );
    this._refilledAt = now;
    if (this._availableTokens < tokens) {
      return false;
    }
    this._availableTokens -= tokens;
    return true;
  }
}

/**
 * Measures how far the admitted tokens exceed `rate * t + burst` over any interval t. It shares no
 * code with the token bucket, so that it detects errors of the bucket.
 */
export class AdmissionMeter {
  private _maxExcessTokens = 0;
  /** Admitted tokens less what the rate has yielded since, never below zero. */
  private _unpaidTokens = 0;
  private _recordedAt = 0;

  constructor(
    private readonly _ratePerMs: number,
    private readonly _burstTokens: number,
  ) {}

  /** Largest excess over any interval so far, in tokens. */
  public get overAdmittedTokens(): number {
    return this._maxExcessTokens;
  }

  public record(tokens: number, now: number): void {
    this._unpaidTokens =
      Math.max(0, this._unpaidTokens - (now - this._recordedAt) * this._ratePerMs) + tokens;
    this._recordedAt = now;
    // Rounding down hides differences below one token, which are rounding errors of the two
    // methods.
    this._maxExcessTokens = Math.max(
      this._maxExcessTokens,
      Math.floor(this._unpaidTokens - this._burstTokens),
    );
  }
}
