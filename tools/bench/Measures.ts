/** Records the measurements of one run and summarises them. */
import { build, type Histogram } from 'hdr-histogram-js';
import { ACCOUNT_RATE_SHARES } from './Deployments.js';
import type { ITailSample } from './Tail.js';

/** Histograms hold integers, so times are recorded in units of 0.01 ms and 0.1 us. */
const TTFT_HISTOGRAM_UNITS_PER_MS = 100;
const DECISION_HISTOGRAM_UNITS_PER_US = 10;

const MEDIAN_PERCENTILE = 50;
const TAIL_PERCENTILE = 99;

/** Figures of one run of one policy; the property names are keys of the printed result. */
export interface IRunFigures {
  /** Fraction of the prompt tokens that came from a prefix cache. */
  readonly prefixHitRate: number;
  /** Prompt tokens of chunks that some engine had computed before. */
  readonly wastedRecomputeTokens: number;
  readonly ttftP50Ms: number;
  readonly ttftP99Ms: number;
  /** Smallest ratio of served to admitted tokens over the client accounts. */
  readonly worstAccountShare: number;
  /** Requests refused or expired although their client account was within its rate and burst. */
  readonly wrongfulRefusals: number;
  /** Largest number of tokens admitted beyond rate and burst of a client account. */
  readonly overAdmittedTokens: number;
  /** Requests refused because the client account exceeded its rate and burst. */
  readonly refusedOverRate: number;
  readonly decisionP50Us: number;
  readonly decisionP99Us: number;
  readonly decisions: number;
  readonly answered: number;
  readonly failed: number;
  readonly retries: number;
  /** Dispatches that busy targets refused without running them. */
  readonly busyRefusals: number;
  /** Prefill time of all engines as a fraction of their measured time. */
  readonly utilisation: number;
  /** Median of |estimated - actual| time to first token of the policy's decisions. */
  readonly estimateErrorP50Ms: number;
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 1e9,
    numberOfSignificantValueDigits: 3,
  });
}

/** Collects the figures of one run. */
export class Measures {
  private readonly _ttft = createHistogram();
  private readonly _decisionTime = createHistogram();
  private readonly _estimateError = createHistogram();
  private readonly _tailSamples: ITailSample[];
  private readonly _entitledTokens = ACCOUNT_RATE_SHARES.map(() => 0);
  private readonly _servedTokens = ACCOUNT_RATE_SHARES.map(() => 0);
  private _promptTokens = 0;
  private _cachedTokens = 0;
  private _wastedTokens = 0;
  private _wrongfulRefusals = 0;
  private _refusedOverRate = 0;
  private _answered = 0;
  private _failed = 0;
  private _retries = 0;
  private _busyRefusals = 0;

  /** @param tailSamples receives the samples of `recordTailSample` */
  constructor(tailSamples: ITailSample[] = []) {
    this._tailSamples = tailSamples;
  }

  public recordTailSample(sample: ITailSample): void {
    this._tailSamples.push(sample);
  }

  public recordPrefill(promptTokens: number, cachedTokens: number, wastedTokens: number): void {
    this._promptTokens += promptTokens;
    this._cachedTokens += cachedTokens;
    this._wastedTokens += wastedTokens;
  }

  public recordTtft(ms: number): void {
    this._ttft.recordValue(Math.max(1, Math.round(ms * TTFT_HISTOGRAM_UNITS_PER_MS)));
  }

  public recordDecisionTime(us: number): void {
    this._decisionTime.recordValue(Math.max(1, Math.round(us * DECISION_HISTOGRAM_UNITS_PER_US)));
  }

  public recordEstimate(estimatedMs: number, actualMs: number): void {
    const error = Math.abs(estimatedMs - actualMs);
    this._estimateError.recordValue(Math.max(1, Math.round(error * TTFT_HISTOGRAM_UNITS_PER_MS)));
  }

  /** Records tokens that the rate limit admitted and the client account is entitled to. */
  public recordEntitledTokens(accountIndex: number, tokens: number): void {
    this._entitledTokens[accountIndex] = (this._entitledTokens[accountIndex] ?? 0) + tokens;
  }

  public recordServed(accountIndex: number, tokens: number): void {
    this._servedTokens[accountIndex] = (this._servedTokens[accountIndex] ?? 0) + tokens;
    this._answered += 1;
  }

  /** Records a request refused or expired although its account was within its rate and burst. */
  public recordWrongfulRefusal(): void {
    this._wrongfulRefusals += 1;
  }

  public recordRefusedOverRate(): void {
    this._refusedOverRate += 1;
  }

  /**
   * Records a request that failed after its first token, or whose answer was complete only after
   * its deadline.
   */
  public recordFailure(): void {
    this._failed += 1;
  }

  /** Records a dispatch that a busy target refused without running it. */
  public recordBusyRefusal(): void {
    this._busyRefusals += 1;
  }

  public recordRetry(): void {
    this._retries += 1;
  }

  public summarise(overAdmittedTokens: number, utilisation: number): IRunFigures {
    const servedShares = this._entitledTokens.map((entitled, accountIndex) =>
      entitled === 0 ? 1 : (this._servedTokens[accountIndex] ?? 0) / entitled,
    );
    return {
      prefixHitRate: this._cachedTokens / Math.max(1, this._promptTokens),
      wastedRecomputeTokens: this._wastedTokens,
      ttftP50Ms: this._ttft.getValueAtPercentile(MEDIAN_PERCENTILE) / TTFT_HISTOGRAM_UNITS_PER_MS,
      ttftP99Ms: this._ttft.getValueAtPercentile(TAIL_PERCENTILE) / TTFT_HISTOGRAM_UNITS_PER_MS,
      worstAccountShare: Math.min(...servedShares),
      wrongfulRefusals: this._wrongfulRefusals,
      overAdmittedTokens,
      refusedOverRate: this._refusedOverRate,
      decisionP50Us:
        this._decisionTime.getValueAtPercentile(MEDIAN_PERCENTILE) /
        DECISION_HISTOGRAM_UNITS_PER_US,
      decisionP99Us:
        this._decisionTime.getValueAtPercentile(TAIL_PERCENTILE) / DECISION_HISTOGRAM_UNITS_PER_US,
      decisions: this._decisionTime.totalCount,
      answered: this._answered,
      failed: this._failed,
      retries: this._retries,
      busyRefusals: this._busyRefusals,
      utilisation,
      estimateErrorP50Ms:
        this._estimateError.getValueAtPercentile(MEDIAN_PERCENTILE) / TTFT_HISTOGRAM_UNITS_PER_MS,
    };
  }
}
