/** This entry's share of the fleet-wide budget for sending requests to a second target. */

/** Limits over all entries: repeats per window <= ratio * requests + slack. */
export interface IRetryLimits {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMs: number;
}

/** Part of the budget that is used; the rest covers what the entries can't see of each other. */
const USED_PART = 0.7;

/** The window is counted in this many slices. */
const SLICES = 10;

interface ISlice {
  readonly startsAt: number;
  requests: number;
  repeats: number;
}

/** Counts requests and repeats of each service in a sliding window. */
export class SharedRetryBudget {
  private readonly _services = new Map<string, ISlice[]>();

  constructor(private readonly _limits: IRetryLimits) {}

  /** Counts a request that a client sent. */
  public noteRequest(service: string, now: number): void {
    this._ensureSlice(service, now).requests += 1;
  }

  /** Takes one repeat from the budget; false if it is used up. */
  public trySpend(service: string, entries: number, now: number): boolean {
    const current = this._ensureSlice(service, now);
    let requests = 0;
    let repeats = 0;
    for (const slice of this._services.get(service) ?? []) {
      requests += slice.requests;
      repeats += slice.repeats;
    }
    const share = this._limits.slack / Math.max(1, entries);
    if (repeats + 1 > USED_PART * (this._limits.ratio * requests + share)) {
      return false;
    }
    current.repeats += 1;
    return true;
  }

  private _ensureSlice(service: string, now: number): ISlice {
    const sliceMs = this._limits.windowMs / SLICES;
    const kept = (this._services.get(service) ?? []).filter(
      (slice) => now - slice.startsAt < this._limits.windowMs + sliceMs,
    );
    let current = kept.at(-1);
    if (current === undefined || now - current.startsAt >= sliceMs) {
      current = { startsAt: now, requests: 0, repeats: 0 };
      kept.push(current);
    }
    this._services.set(service, kept);
    return current;
  }
}
