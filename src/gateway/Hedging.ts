/**
 * Decides when a request that may be repeated is also sent to a second target, as the first one takes unusually long.
 * The limits keep the additional work small; without a limit of the operator there is none.
 */
import { SharedRetryBudget } from '../fleet/SharedRetryBudget.js';

/** Window in which the share of hedged requests holds. An entry gets some 150 requests in it. */
const WINDOW_MS = 30_000;

/** A shorter delay would hedge requests whose first byte is on its way. */
const MIN_DELAY_MS = 60;

/** At most this part of the requests is slow enough to be hedged, whatever the operator allows. */
const MAX_CANDIDATE_SHARE = 0.05;

/** Responses of a service after which the spread of its times is known. */
const MIN_RESPONSES = 100;

/** Counts are halved beyond this number, so that the spread follows the service. */
const MAX_RESPONSES = 2_000;

/** Ratios of measured to expected time are counted by their logarithm, in buckets of a tenth from 1/16 to 16. */
const BUCKETS_PER_DOUBLING = 8;
const MAX_DOUBLINGS = 4;

/** After a sign that a service is short of capacity it gets no additional work for this time. */
const SHORTAGE_MS = 1_000;

interface ISpread {
  /** Responses by bucket of the ratio. */
  readonly counts: number[];
  total: number;
}

/** Settings of the operator. */
export interface IHedgingLimits {
  /** Part of a service's requests that may be hedged; 0: none. */
  readonly maxShare: number;
}

/**
 * Learns how far times exceed the expected ones, and limits the hedges of each service.
 *
 * @example
 * const delayMs = hedging.getDelayMs('lace', placement.expectedMs);
 * const mayHedge = hedging.trySpend('lace', now);
 */
export class Hedging {
  private readonly _spreads = new Map<string, ISpread>();
  private readonly _shortUntil = new Map<string, number>();
  private readonly _limit: SharedRetryBudget;

  constructor(private readonly _limits: IHedgingLimits) {
    this._limit = new SharedRetryBudget({
      ratio: _limits.maxShare,
      slack: 0,
      windowMs: WINDOW_MS,
    });
  }

  /** Counts a request that a client sent. */
  public recordRequest(service: string, now: number): void {
    this._limit.recordRequest(service, now);
  }

  /** Records a time to the first byte; for an attempt that was withdrawn before, the time until then. */
  public recordTime(service: string, expectedMs: number, actualMs: number): void {
    const ratio = Math.max(1, actualMs) / Math.max(1, expectedMs);
    const bucket = Math.round((Math.log2(ratio) + MAX_DOUBLINGS) * BUCKETS_PER_DOUBLING);
    const last = 2 * MAX_DOUBLINGS * BUCKETS_PER_DOUBLING;
    if (!Number.isFinite(bucket)) {
      return;
    }
    const spread = this._ensureSpread(service);
    const index = Math.min(last, Math.max(0, bucket));
    spread.counts[index] = (spread.counts[index] ?? 0) + 1;
    spread.total += 1;
    if (spread.total > MAX_RESPONSES) {
      spread.counts.forEach((count, i) => (spread.counts[i] = count / 2));
      spread.total /= 2;
    }
  }

  /** Records that requests of a service wait or are refused for lack of capacity. */
  public recordShortage(service: string, now: number): void {
    this._shortUntil.set(service, now + SHORTAGE_MS);
  }

  /** Time after which a request without a first byte is hedged; undefined if it is not. */
  public getDelayMs(service: string, expectedMs: number): number | undefined {
    const spread = this._spreads.get(service);
    if (!(this._limits.maxShare > 0) || spread === undefined || spread.total < MIN_RESPONSES) {
      return undefined;
    }
    const slowShare = Math.min(MAX_CANDIDATE_SHARE, this._limits.maxShare);
    let slower = spread.total;
    const bucket = spread.counts.findIndex((count) => {
      slower -= count;
      return slower <= slowShare * spread.total;
    });
    const ratio = 2 ** ((bucket + 0.5) / BUCKETS_PER_DOUBLING - MAX_DOUBLINGS);
    return Math.max(MIN_DELAY_MS, expectedMs * ratio);
  }

  /** Spends one hedge; false if the share of the service is used up or it is short of capacity. */
  public trySpend(service: string, now: number): boolean {
    const isShort = now < (this._shortUntil.get(service) ?? Number.NEGATIVE_INFINITY);
    return this._limits.maxShare > 0 && !isShort && this._limit.trySpend(service, 1, now);
  }

  private _ensureSpread(service: string): ISpread {
    const size = 2 * MAX_DOUBLINGS * BUCKETS_PER_DOUBLING + 1;
    const existing = this._spreads.get(service);
    const spread = existing ?? { counts: new Array<number>(size).fill(0), total: 0 };
    this._spreads.set(service, spread);
    return spread;
  }
}
