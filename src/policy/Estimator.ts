/** Estimated time to first token, from speeds learned from answers. */

/** Prefill speed assumed until answers tell more, in tokens per millisecond. */
const INITIAL_TOKENS_PER_MS = 10;

/** Mean prompt work of a request assumed until answers tell more. */
const INITIAL_SERVICE_MS = 100;

/** Answers with fewer computed tokens tell more about the hop than about the speed. */
const MIN_SAMPLE_TOKENS = 500;

/**
 * Waiting makes the engine look slower than it is, so that a fast sample counts more than a slow
 * one.
 */
const FASTER_GAIN = 0.3;
const SLOWER_GAIN = 0.02;

const SERVICE_GAIN = 0.05;

/** Time to reach a target and back within one data centre, and to another one. */
const LOCAL_HOP_MS = 0.6;
const REMOTE_HOP_MS = 2;

interface ISpeed {
  tokensPerMs: number;
  serviceMs: number;
}

/** Learns how fast each target computes prompts. */
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

  /** Milliseconds to compute this many prompt tokens on the target. */
  public estimatePrefill(targetId: string, missedTokens: number): number {
    return missedTokens / this._get(targetId).tokensPerMs;
  }

  /** Mean prompt work of one request at the target in milliseconds. */
  public getServiceMs(targetId: string): number {
    return this._get(targetId).serviceMs;
  }

  /** Milliseconds on the network. */
  public getHopMs(dataCentre: string): number {
    return dataCentre === this._dataCentre ? LOCAL_HOP_MS : REMOTE_HOP_MS;
  }

  /** Estimated time to first token in milliseconds. */
  public estimateTtft(
    target: { readonly id: string; readonly dataCentre: string },
    waitMs: number,
    missedTokens: number,
  ): number {
    const prefillMs = this.estimatePrefill(target.id, missedTokens);
    return waitMs + prefillMs + this.getHopMs(target.dataCentre);
  }

  /** Learns from an answer; `ttftMs` counts from the dispatch. */
  public observe(
    target: { readonly id: string; readonly dataCentre: string },
    missedTokens: number,
    ttftMs: number,
  ): void {
    const computeMs = ttftMs - this.getHopMs(target.dataCentre);
    const speed = this._ensure(target.id);
    if (missedTokens >= MIN_SAMPLE_TOKENS && computeMs > 0) {
      this._updateSpeed(speed, missedTokens / computeMs);
      this._updateSpeed(this._fleet, missedTokens / computeMs);
    }
    const serviceMs = missedTokens / speed.tokensPerMs;
    speed.serviceMs += SERVICE_GAIN * (serviceMs - speed.serviceMs);
    this._fleet.serviceMs += SERVICE_GAIN * (serviceMs - this._fleet.serviceMs);
  }

  public drop(targetId: string): void {
    this._speeds.delete(targetId);
  }

  private _updateSpeed(speed: ISpeed, sample: number): void {
    const gain = sample > speed.tokensPerMs ? FASTER_GAIN : SLOWER_GAIN;
    speed.tokensPerMs += gain * (sample - speed.tokensPerMs);
  }

  private _get(targetId: string): ISpeed {
    return this._speeds.get(targetId) ?? this._fleet;
  }

  private _ensure(targetId: string): ISpeed {
    const known = this._speeds.get(targetId);
    if (known !== undefined) {
      return known;
    }
    const speed = { ...this._fleet };
    this._speeds.set(targetId, speed);
    return speed;
  }
}
