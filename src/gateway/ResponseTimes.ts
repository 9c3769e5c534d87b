/** Learns how long complete responses take, to tell whether one can end before the process does. */

/** Weights of a sample in the mean and in the mean deviation (RFC 6298). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;

/** Routes come and go with the configuration; more than these are not kept. */
const MAX_ROUTES = 1_000;

interface IEstimate {
  mean: number;
  deviation: number;
}

/** A response whose duration is expected or was measured. */
export interface IResponseSize {
  readonly route: string;
  /** Tokens that the response may have; 0 if the request states none. */
  readonly outputTokens: number;
  /** Expected time to the first byte, in milliseconds, if a model of the target tells it; else 0. */
  readonly expectedFirstMs: number;
}

/**
 * Mean duration of the responses of each route and its deviation. Of a response with tokens, the time after the expected
 * first byte counts for each token.
 *
 * @example
 * times.record({ route: 'assist', outputTokens: 58, expectedFirstMs: 90 }, 700);
 * const ms = times.estimate({ route: 'assist', outputTokens: 200, expectedFirstMs: 90 }, 2);
 */
export class ResponseTimes {
  /** For each token of the responses that state tokens, and for each response that states none. */
  private readonly _estimates = new Map<string, IEstimate>();

  /** Records a complete response that took `totalMs` from the first byte of its request. */
  public record(size: IResponseSize, totalMs: number): void {
    const sample = Math.max(0, totalMs - size.expectedFirstMs) / countUnits(size);
    const key = getKey(size);
    const estimate = this._estimates.get(key);
    if (estimate !== undefined) {
      const error = sample - estimate.mean;
      estimate.deviation += DEVIATION_WEIGHT * (Math.abs(error) - estimate.deviation);
      estimate.mean += MEAN_WEIGHT * error;
      return;
    }
    const [oldest] = this._estimates.keys();
    if (oldest !== undefined && this._estimates.size >= MAX_ROUTES) {
      this._estimates.delete(oldest);
    }
    this._estimates.set(key, { mean: sample, deviation: sample / 2 });
  }

  /**
   * Expected duration in milliseconds, longer than the mean by a number of deviations; undefined if no response of the
   * route has been recorded that states tokens if this one does.
   */
  public estimate(size: IResponseSize, deviations: number): number | undefined {
    const estimate = this._estimates.get(getKey(size));
    return (
      estimate &&
      size.expectedFirstMs + countUnits(size) * (estimate.mean + deviations * estimate.deviation)
    );
  }
}

function getKey({ route, outputTokens }: IResponseSize): string {
  return `${outputTokens > 0 ? 'tokens' : 'whole'} ${route}`;
}

function countUnits({ outputTokens }: IResponseSize): number {
  return Math.max(1, outputTokens);
}
