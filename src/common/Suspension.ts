/**
 * Detects that this machine was suspended. The monotonic clock does not count that time, so what was learned before may be
 * older than it seems.
 */

/** Shorter suspensions are not told from the time between two readings of the clocks. */
export const MIN_SUSPENSION_MS = 50;

export interface ISuspensions {
  /**
   * Monotonic time at which the last suspension was noticed; `-Infinity` if there was none. The age of what was learned
   * before it is not known.
   *
   * @param now monotonic time in milliseconds, just read
   */
  getResumedAt(now: number): number;
}

export const NO_SUSPENSIONS: ISuspensions = {
  getResumedAt: () => Number.NEGATIVE_INFINITY,
};

/**
 * Compares the monotonic clock with the time of day, which goes on while the machine is suspended. A step of the time of day
 * looks the same; then what is known is only learned once more.
 *
 * @example
 * const isKnownAge = learnedAt >= suspensions.getResumedAt(clock.now());
 */
export class SuspensionDetector implements ISuspensions {
  private _offset = Number.POSITIVE_INFINITY;
  private _resumedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly _readTimeOfDay: () => number = Date.now) {}

  public getResumedAt(now: number): number {
    const offset = this._readTimeOfDay() - now;
    if (offset - this._offset > MIN_SUSPENSION_MS) {
      this._resumedAt = now;
    }
    this._offset = offset;
    return this._resumedAt;
  }
}
