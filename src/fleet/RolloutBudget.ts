/** Permits of the processes to send requests to a version that is rolled out; kept by the hub for one rollout. */
import { FULL_STEP, ROLLOUT_STEPS } from './RolloutPlan.js';

/** Limits of what a bad version may get, from the settings. */
export interface IRolloutBounds {
  readonly exposureShare: number;
  readonly exposureSlack: number;
  /** Time in milliseconds after its 50th bad response within which a version gets its last request. */
  readonly rollbackMs: number;
  /** Time in milliseconds within which an order is acknowledged. */
  readonly ackMs: number;
}

export const DEFAULT_ROLLOUT_BOUNDS: IRolloutBounds = {
  exposureShare: 0.1,
  exposureSlack: 50,
  rollbackMs: 5_000,
  ackMs: 5_000,
};

/** Lifetime of permits at steps up to the exposure share, and above it. */
export const PROBE_LEASE_MS = 1_000;
export const SHARE_LEASE_MS = 1_500;

/** Part of the exposure so far that is used at the steps up to the exposure share. */
const PROBE_PART = 0.8;

/** Part of the present request rate that is counted on until the deadline. */
const PROJECTED_RATE_PART = 0.9;

/** Time whose requests an entry gets permits for: it gets new ones after one exchange, or two if one is late. */
const GRANT_AHEAD_MS = 300;

/**
 * Permits beyond the expected number. Above the exposure share an entry with a few requests a second would otherwise fall
 * short of the share by a fifth, and a version that fails under load would not get its load before it gets all.
 */
const PROBE_BURST = 1;
const SHARE_BURST = 5;

/** Mean time from the sending of a request until the hub knows of it. */
const UNREPORTED_MS = 150;

/** Permits at the last step, where all requests go to the new version. */
const UNLIMITED_PERMITS = 1_000_000;

/** Time over which the request rate of an entry is averaged. */
const RATE_TIME_CONSTANT_MS = 1_000;

/** The rate of a process that has not reported for this long does not count. */
const RATE_TTL_MS = 2_000;

interface IRunUsage {
  /** Permits that the process may hold, by its report and what was granted since. */
  held: number;
  /** Requests of the service per millisecond. */
  rate: number;
  reportedAt: number;
}

/** What one process reports of its permits. */
export interface IPermitUsage {
  readonly requests: number;
  readonly sent: number;
  readonly held: number;
}

/** The state of the rollout when permits are granted. Times are milliseconds. */
export interface IGrantTerms {
  readonly step: number;
  readonly durationMs: number;
  readonly elapsedMs: number;
}

/**
 * Keeps what was sent to the new version, plus all permits that processes may hold, within the exposure. Permits of a
 * process that falls silent count until it reports again.
 *
 * @example
 * budget.report('10.1.0.5:7600/ab', { requests: 12, sent: 1, held: 2 }, now);
 * const permits = budget.grant('10.1.0.5:7600/ab', terms, now);
 */
export class RolloutBudget {
  private readonly _runs = new Map<string, IRunUsage>();
  private _requests: number;
  private _sent: number;

  /** @param earlier what the former leader recorded */
  constructor(
    private readonly _bounds: Pick<IRolloutBounds, 'exposureShare' | 'exposureSlack'>,
    earlier: { readonly requests: number; readonly exposed: number },
  ) {
    this._requests = earlier.requests;
    this._sent = earlier.exposed;
  }

  /** Requests of the service since the order. */
  public get requests(): number {
    return this._requests;
  }

  /** Requests that were sent to the new version, by the reports. */
  public get sent(): number {
    return this._sent;
  }

  /**
   * Requests that were or may be sent to the new version. Above the exposure share permits follow the share, and of those
   * that are outstanding only as many are used as the requests of the time between two reports.
   */
  public getExposed({ step }: Pick<IGrantTerms, 'step'>): number {
    const { share = 0 } = ROLLOUT_STEPS[step] ?? {};
    const runs = [...this._runs.values()];
    const outstanding = runs.map(({ held, rate }) =>
      share <= this._bounds.exposureShare ? held : share * rate * UNREPORTED_MS,
    );
    return outstanding.reduce((sum, item) => sum + item, this._sent);
  }

  /** Requests of the service per second, by the last reports. */
  public getRequestRate(now: number): number {
    const current = [...this._runs.values()].filter(
      ({ reportedAt }) => now - reportedAt <= RATE_TTL_MS,
    );
    return current.reduce((sum, { rate }) => sum + rate, 0) * 1_000;
  }

  /** Takes the report of one process, which answers for what was granted to it before. */
  public report(run: string, { requests, sent, held }: IPermitUsage, now: number): void {
    const usage = this._runs.get(run) ?? { held: 0, rate: 0, reportedAt: now };
    const elapsedMs = now - usage.reportedAt;
    if (elapsedMs > 0) {
      const weight = 1 - Math.exp(-elapsedMs / RATE_TIME_CONSTANT_MS);
      usage.rate += weight * (requests / elapsedMs - usage.rate);
    }
    usage.held = held < UNLIMITED_PERMITS / 2 ? held : 0;
    usage.reportedAt = now;
    this._requests += requests;
    this._sent += sent;
    this._runs.set(run, usage);
  }

  /** Number of permits that the process may hold from now on, in place of those that it has reported. */
  public grant(run: string, terms: IGrantTerms): number {
    const usage = this._runs.get(run);
    if (usage === undefined) {
      return 0;
    }
    if (terms.step >= FULL_STEP) {
      return UNLIMITED_PERMITS;
    }
    const share = ROLLOUT_STEPS[terms.step]?.share ?? 0;
    const isAbove = share > this._bounds.exposureShare;
    const wanted =
      Math.ceil(share * usage.rate * GRANT_AHEAD_MS) + (isAbove ? SHARE_BURST : PROBE_BURST);
    const limit = this._computeLimit(terms);
    if (isAbove) {
      usage.held = this.getExposed(terms) < limit ? wanted : 0;
      return usage.held;
    }
    const free = Math.floor(limit - (this.getExposed(terms) - usage.held));
    usage.held = Math.max(0, Math.min(wanted, free));
    return usage.held;
  }

  /** True if no more permits can be granted at this step. */
  public isExhausted(terms: IGrantTerms): boolean {
    return terms.step < FULL_STEP && this.getExposed(terms) + 1 > this._computeLimit(terms);
  }

  private _computeLimit({ step, durationMs, elapsedMs }: IGrantTerms): number {
    const { exposureShare, exposureSlack } = this._bounds;
    const { share = 0, budget = 0 } = ROLLOUT_STEPS[step] ?? {};
    const rate = elapsedMs > 0 ? this._requests / elapsedMs : 0;
    const projected =
      this._requests + PROJECTED_RATE_PART * rate * Math.max(0, durationMs - elapsedMs);
    const limit = budget * (exposureShare * projected + exposureSlack);
    return share <= exposureShare
      ? Math.min(limit, PROBE_PART * (exposureShare * this._requests + exposureSlack))
      : limit;
  }
}
