/**
 * Time sources. Functions that decide something take the time as an argument, so that tests control it;
 * only long-running tasks read a clock.
 */

/** A clock that never goes backwards. */
export interface IClock {
  /** Milliseconds since an arbitrary origin; not comparable between processes. */
  now(): number;
}

/** The process's monotonic clock, which adjustments of the system time don't affect. */
export class MonotonicClock implements IClock {
  public now(): number {
    return performance.now();
  }
}

/**
 * A clock for tests that changes only when it is advanced.
 *
 * @example
 * const clock = new ManualClock();
 * clock.advance(250);
 */
export class ManualClock implements IClock {
  private _now: number;

  constructor(startMs = 0) {
    this._now = startMs;
  }

  public now(): number {
    return this._now;
  }

  /** Moves the clock forward by `ms` milliseconds. */
  public advance(ms: number): void {
    this._now += ms;
  }
}
