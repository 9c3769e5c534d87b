/** Time sources. Deciding functions take the time as an argument; only tasks read a clock. */

/** A clock that never goes backwards. */
export interface IClock {
  /** Milliseconds since an arbitrary point in the past of this process. */
  now(): number;
}

/** The process's monotonic clock. Wall-clock steps don't affect it. */
export class MonotonicClock implements IClock {
  public now(): number {
    return performance.now();
  }
}

/**
 * A clock that stands still until it is advanced.
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
