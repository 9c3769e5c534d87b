/** Token bucket over the whole fleet, in place of the grants of the replicated ledger. */

export class TokenBucket {
  private _level: number;
  private _refilledAt = 0;

  constructor(
    private readonly _ratePerMs: number,
    private readonly _burst: number,
  ) {
    this._level = _burst;
  }

  /** Takes the tokens, or nothing when there are fewer. */
  public trySpend(tokens: number, now: number): boolean {
    this._level = Math.min(this._burst, this._level + (now - this._refilledAt) * this._ratePerMs);
    this._refilledAt = now;
    if (this._level < tokens) {
      return false;
    }
    this._level -= tokens;
    return true;
  }
}

/**
 * Measures independently of the bucket how far the admitted tokens exceed `rate * t + burst` over
 * any interval.
 */
export class AdmissionMeter {
  private _excess = 0;
  private _debt = 0;
  private _at = 0;

  constructor(
    private readonly _ratePerMs: number,
    private readonly _burst: number,
  ) {}

  /** Largest excess over any interval so far. */
  public get overAdmitted(): number {
    return this._excess;
  }

  public record(tokens: number, now: number): void {
    this._debt = Math.max(0, this._debt - (now - this._at) * this._ratePerMs) + tokens;
    this._at = now;
    // Rounding errors of the two different computations are below one token.
    this._excess = Math.max(this._excess, Math.floor(this._debt - this._burst));
  }
}
