/** Estimates the time to first token from speeds learned from answers. */

/** Prefill speed assumed until the first answer. */
const INITIAL_TOKENS_PER_MS = 10;

/** Mean prefill time of a request assumed until the first answer. */
const INITIAL_SERVICE_MS = 100;

/** Answers with fewer computed tokens are ignored: the round trip dominates their time. */
const MIN_SAMPLE_TOKENS = 500;

/**
 * Queueing time makes samples slower than the engine, so the moving average gives a fast sample more
 * weight than a slow one.
 */
const FASTER_SMOOTHING_FACTOR = 0.3;
const SLOWER_SMOOTHING_FACTOR = 0.02;

const SERVICE_SMOOTHING_FACTOR = 0.05;

/** Round trip time to a target in the same data centre, and to one in another data centre. */
const LOCAL_ROUND_TRIP_MS = 0.6;
const REMOTE_ROUND_TRIP_MS = 2;

interface ISpeed {
  tokensPerMs: number;
  /** Mean prefill time of a request. */
  serviceMs: number;
}

/**
 * Estimates prefill and response times of each target, from moving averages over its answers. Targets
 * without answers get the average of the fleet.
 */
export class Estimator {
  private readonly _dataCentre: string;
  private readonly _speeds = new Map<string, ISpeed>();
  private readonly _fleet: ISpeed = {
    tokensPerMs: INITIAL_TOKENS_PER_MS,
    serviceMs: INITIAL_SERVICE_MS,
  };

  /** @param dataCentre data centre of this process */
  constructor(dataCentre: string) {
    this._dataCentre = dataCentre;
  }

  /** Time in milliseconds in which the target computes this many prompt tokens. */
  public estimatePrefill(targetId: string, missedTokens: number): number {
    return missedTokens / this._getSpeed(targetId).tokensPerMs;
  }

  /** Mean prefill time of a request at the target in milliseconds. */
  public getServiceMs(targetId: string): number {
    return this._getSpeed(targetId).serviceMs;
  }

  /** Round trip time to a target of the data centre in milliseconds. */
  public getRoundTripMs(dataCentre: string): number {
    return dataCentre === this._dataCentre ? LOCAL_ROUND_TRIP_MS : REMOTE_ROUND_TRIP_MS;
  }

  /** Estimated time to first token in milliseconds, for a request that waits `waitMs` in the queue. */
  public estimateTtft(
    target: { readonly id: string; readonly dataCentre: string },
    waitMs: number,
    missedTokens: number,
  ): number {
    const prefillMs = this.estimatePrefill(target.id, missedTokens);
    return waitMs + prefillMs + this.getRoundTripMs(target.dataCentre);
  }

  /**
   * Updates the averages with an answer.
   *
   * @param missedTokens prompt tokens that the target had to compute
   * @param ttftMs time from the dispatch to the first token
   */
  public observe(
    target: { readonly id: string; readonly dataCentre: string },
    missedTokens: number,
    ttftMs: number,
  ): void {
    const computeMs = ttftMs - this.getRoundTripMs(target.dataCentre);
    const speed = this._ensureSpeed(target.id);
    if (missedTokens >= MIN_SAMPLE_TOKENS && computeMs > 0) {
      this._updateSpeed(speed, missedTokens / computeMs);
      this._updateSpeed(this._fleet, missedTokens / computeMs);
    }
    const serviceMs = missedTokens / speed.tokensPerMs;
    speed.serviceMs += SERVICE_SMOOTHING_FACTOR * (serviceMs - speed.serviceMs);
    this._fleet.serviceMs += SERVICE_SMOOTHING_FACTOR * (serviceMs - this._fleet.serviceMs);
  }

  public drop(targetId: string): void {
    this._speeds.delete(targetId);
  }

  private _updateSpeed(speed: ISpeed, sample: number): void {
    const factor = sample > speed.tokensPerMs ? FASTER_SMOOTHING_FACTOR : SLOWER_SMOOTHING_FACTOR;
    speed.tokensPerMs += factor * (sample - speed.tokensPerMs);
  }

  private _getSpeed(targetId: string): ISpeed {
    return this._speeds.get(targetId) ?? this._fleet;
  }

  private _ensureSpeed(targetId: string): ISpeed {
    const existing = this._speeds.get(targetId);
    if (existing !== undefined) {
      return existing;
    }
    const speed = { ...this._fleet };
    this._speeds.set(targetId, speed);
    return speed;
  }
}
