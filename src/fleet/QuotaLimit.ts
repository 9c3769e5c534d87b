/** The limit of one client account in force at the hub, while it changes. */

/** A limit that falls at a steady pace, within one window, from what had been spent to the lower limit. */
interface IDescent {
  readonly startedAt: number;
  readonly from: number;
  readonly to: number;
}

/**
 * A lower limit comes into force over one window: what was spent under the higher one leaves the window in that time,
 * and as much as the lower limit allows is granted meanwhile. At once, it would let nothing be granted until most of
 * the earlier spending has left the window, and then all of it in a burst.
 *
 * @example
 * const limit = new QuotaLimit(100_000, 8_000);
 * limit.set(20_000, 80_000, now);
 * limit.get(now + 4_000); // 50_000
 */
export class QuotaLimit {
  private _descents: readonly IDescent[] = [];
  private _loweredAt = Number.NEGATIVE_INFINITY;

  /** @param _value tokens within the window */
  constructor(
    private _value: number,
    private readonly _windowMs: number,
  ) {}

  /** Time of the last change to a lower limit. */
  public get loweredAt(): number {
    return this._loweredAt;
  }

  /** @param spent tokens that were spent within the window by now */
  public set(value: number, spent: number, now: number): void {
    if (value === this._value) {
      return;
    }
    const from = Math.min(spent, this.get(now));
    if (value < this._value) {
      this._descents = [...this._descents, { startedAt: now, from, to: value }];
      this._loweredAt = now;
    }
    this._value = value;
    this._descents = this._descents
      .filter((descent) => descent.from > value && now - descent.startedAt < this._windowMs)
      .map((descent) => ({ ...descent, to: Math.max(descent.to, value) }));
  }

  public get(now: number): number {
    // An earlier descent to a limit between is in force until its end, though a later one is slower.
    const values = this._descents.map(({ startedAt, from, to }) => {
      const part = Math.min(1, (now - startedAt) / this._windowMs);
      return from + (to - from) * part;
    });
    return values.length === 0 ? this._value : Math.max(this._value, Math.min(...values));
  }
}
