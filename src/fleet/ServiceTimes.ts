/** Response times of one service: sums over its requests, and how much longer each of its targets takes. */
import {
  addSample,
  addSums,
  createSums,
  computeCoefficients,
  scaleSums,
  type Coefficients,
  type ITimeSums,
} from './TimeFit.js';

/** Old responses lose weight with these time constants; a spell of a slow target lasts about 0.6 s. */
const SERVICE_TIME_CONSTANT_MS = 30_000;
const TARGET_TIME_CONSTANT_MS = 20_000;

/** Weight of the assumption that a target is as fast as its service, in samples. */
const EQUAL_TARGET_WEIGHT = 4;

/** Bounds of a target's factor. */
const MIN_FACTOR = 0.25;
const MAX_FACTOR = 4;

/** A target with less remaining weight is forgotten. */
const MIN_TARGET_SAMPLES = 0.1;

/** Responses of one target relative to the model of its service. */
export interface ITargetTimes {
  readonly target: string;
  samples: number;
  logRatios: number;
}

/** Sums of one service as they are reported. */
export interface IServiceReport extends Readonly<ITimeSums> {
  readonly targets: readonly Readonly<ITargetTimes>[];
}

/** Lasting factor of a target's response times, relative to its service. */
export interface ITargetFactor {
  readonly factor: number;
  readonly samples: number;
}

/**
 * Sums that forget. The mean of all targets' factors is 1, so that what concerns all of them goes into the coefficients.
 *
 * @example
 * const times = new ServiceTimes();
 * times.addReport(report, now);
 * const coefficients = times.computeCoefficients(FIRST_GUESS);
 */
export class ServiceTimes {
  private readonly _sums = createSums();
  private readonly _targets = new Map<string, ITargetTimes>();
  private _decayedAt: number | undefined;

  public get samples(): number {
    return this._sums.samples;
  }

  public get targets(): readonly Readonly<ITargetTimes>[] {
    return [...this._targets.values()];
  }

  /** Adds one response; see `addSample`. */
  public addResponse(
    target: string,
    terms: readonly number[],
    ratio: number,
    logRatio: number,
  ): void {
    addSample(this._sums, terms, ratio);
    this._addTarget({ target, samples: 1, logRatios: logRatio });
  }

  public addReport(report: IServiceReport): void {
    addSums(this._sums, report);
    for (const times of report.targets) {
      if (Number.isFinite(times.logRatios) && Number.isFinite(times.samples) && times.samples > 0) {
        this._addTarget(times);
      }
    }
  }

  public describe(): IServiceReport {
    const { samples, products, moments } = this._sums;
    return {
      samples,
      products: [...products],
      moments: [...moments],
      targets: this.targets.map((times) => ({ ...times })),
    };
  }

  /** Lets responses up to now lose weight. */
  public forget(now: number): void {
    const elapsedMs = Math.max(0, now - (this._decayedAt ?? now));
    this._decayedAt = now;
    if (elapsedMs === 0) {
      return;
    }
    scaleSums(this._sums, Math.exp(-elapsedMs / SERVICE_TIME_CONSTANT_MS));
    const factor = Math.exp(-elapsedMs / TARGET_TIME_CONSTANT_MS);
    for (const times of this._targets.values()) {
      times.samples *= factor;
      times.logRatios *= factor;
      if (times.samples < MIN_TARGET_SAMPLES) {
        this._targets.delete(times.target);
      }
    }
  }

  public computeCoefficients(guess: Coefficients): Coefficients {
    return computeCoefficients(this._sums, guess);
  }

  public computeFactors(): ReadonlyMap<string, ITargetFactor> {
    const all = [...this._targets.values()];
    const samples = all.reduce((sum, times) => sum + times.samples, 0);
    const mean = all.reduce((sum, times) => sum + times.logRatios, 0) / Math.max(1e-9, samples);
    return new Map(
      all.map((times) => {
        const difference = times.logRatios - times.samples * mean;
        const factor = Math.exp(difference / (times.samples + EQUAL_TARGET_WEIGHT));
        const bounded = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
        return [times.target, { factor: bounded, samples: times.samples }];
      }),
    );
  }

  private _addTarget({ target, samples, logRatios }: Readonly<ITargetTimes>): void {
    const times = this._targets.get(target) ?? { target, samples: 0, logRatios: 0 };
    times.samples += samples;
    times.logRatios += logRatios;
    this._targets.set(target, times);
  }
}
