/** This entry's share of the fleet-wide budget for retries at another target. */

/** Limit across all entries: retries per window <= ratio * requests + slack. */
export interface IRetryLimits {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * Fraction of the budget that is used; the remainder covers what entries don't know of each other's
 * retries.
 */
const SAFETY_FACTOR = 0.7;

/** Number of slices in which the sliding window is counted. */
const SLICES_PER_WINDOW = 10;

interface ISlice {
  readonly startsAt: number;
  requests: number;
  retries: number;
}

/** Counts requests and retries of each service in a sliding window, and refuses retries above the budget. */
export class SharedRetryBudget {
  private readonly _slicesByService = new Map<string, ISlice[]>();

  constructor(private readonly _limits: IRetryLimits) {}

  /** Counts a request that a client sent. */
  public recordRequest(service: string, now: number): void {
    this._ensureSlice(service, now).requests += 1;
  }

  /** Spends one retry; false if the budget of the window is used up. `entries` share the slack. */
  public trySpend(service: string, entries: number, now: number): boolean {
    const current = this._ensureSlice(service, now);
    let requests = 0;
    let retries = 0;
    for (const slice of this._slicesByService.get(service) ?? []) {
      requests += slice.requests;
      retries += slice.retries;
    }
    const share = this._limits.slack / Math.max(1, entries);
    if (retries + 1 > SAFETY_FACTOR * (this._limits.ratio * requests + share)) {
      return false;
    }
    current.retries += 1;
    return true;
  }

  private _ensureSlice(service: string, now: number): ISlice {
    const sliceMs = this._limits.windowMs / SLICES_PER_WINDOW;
    const kept = (this._slicesByService.get(service) ?? []).filter(
      (slice) => now - slice.startsAt < this._limits.windowMs + sliceMs,
    );
    let current = kept.at(-1);
    if (current === undefined || now - current.startsAt >= sliceMs) {
      current = { startsAt: now, requests: 0, retries: 0 };
      kept.push(current);
    }
    this._slicesByService.set(service, kept);
    return current;
  }
}
