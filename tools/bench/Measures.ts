/** What is measured during one run. */
import { build, type Histogram } from 'hdr-histogram-js';
import { ACCOUNT_SHARES } from './Deployments.js';
import type { ITailSample } from './Tail.js';

/** Histograms hold whole numbers; times are recorded in units of 0.01 ms and 0.1 us. */
const TTFT_UNITS_PER_MS = 100;
const DECISION_UNITS_PER_US = 10;

const PERCENT_MEDIAN = 50;
const PERCENT_TAIL = 99;

/** Figures of one run of one policy. */
export interface IRunFigures {
  readonly prefixHitRate: number;
  readonly wastedRecomputeTokens: number;
  readonly ttftP50Ms: number;
  readonly ttftP99Ms: number;
  readonly worstAccountShare: number;
  readonly wrongfulRefusals: number;
  readonly overAdmittedTokens: number;
  readonly refusedOverRate: number;
  readonly decisionP50Us: number;
  readonly decisionP99Us: number;
  readonly decisions: number;
  readonly answered: number;
  readonly failed: number;
  readonly retries: number;
  /** Dispatches that busy targets refused unrun. */
  readonly busyRefusals: number;
  readonly utilisation: number;
  /** Error of the estimates of the policy: median of |estimated - real| in ms. */
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
  private readonly _decision = createHistogram();
  private readonly _estimateError = createHistogram();
  private readonly _tail: ITailSample[];
  private readonly _due = ACCOUNT_SHARES.map(() => 0);
  private readonly _served = ACCOUNT_SHARES.map(() => 0);
  private _promptTokens = 0;
  private _cachedTokens = 0;
  private _wastedTokens = 0;
  private _wrongfulRefusals = 0;
  private _refusedOverRate = 0;
  private _answered = 0;
  private _failed = 0;
  private _retries = 0;
  private _busy = 0;

  /** @param tail receives the samples of `recordTail` */
  constructor(tail: ITailSample[] = []) {
    this._tail = tail;
  }

  public recordTail(sample: ITailSample): void {
    this._tail.push(sample);
  }

  public recordPrefill(promptTokens: number, cachedTokens: number, wastedTokens: number): void {
    this._promptTokens += promptTokens;
    this._cachedTokens += cachedTokens;
    this._wastedTokens += wastedTokens;
  }

  public recordTtft(ms: number): void {
    this._ttft.recordValue(Math.max(1, Math.round(ms * TTFT_UNITS_PER_MS)));
  }

  public recordDecision(us: number): void {
    this._decision.recordValue(Math.max(1, Math.round(us * DECISION_UNITS_PER_US)));
  }

  public recordEstimate(estimatedMs: number, realMs: number): void {
    const error = Math.abs(estimatedMs - realMs);
    this._estimateError.recordValue(Math.max(1, Math.round(error * TTFT_UNITS_PER_MS)));
  }

  /** Tokens that the account may use according to its rate and burst. */
  public recordDue(account: number, tokens: number): void {
    this._due[account] = (this._due[account] ?? 0) + tokens;
  }

  public recordServed(account: number, tokens: number): void {
    this._served[account] = (this._served[account] ?? 0) + tokens;
    this._answered += 1;
  }

  /** A refusal although the account was within its rate and burst. */
  public recordWrongfulRefusal(): void {
    this._wrongfulRefusals += 1;
  }

  public recordRefusedOverRate(): void {
    this._refusedOverRate += 1;
  }

  /** A request that was dispatched and got no complete response. */
  public recordFailed(): void {
    this._failed += 1;
  }

  /** A dispatch that a busy target refused unrun. */
  public recordBusy(): void {
    this._busy += 1;
  }

  public recordRetry(): void {
    this._retries += 1;
  }

  public summarise(overAdmittedTokens: number, utilisation: number): IRunFigures {
    const shares = this._due.map((due, account) =>
      due === 0 ? 1 : (this._served[account] ?? 0) / due,
    );
    return {
      prefixHitRate: this._cachedTokens / Math.max(1, this._promptTokens),
      wastedRecomputeTokens: this._wastedTokens,
      ttftP50Ms: this._ttft.getValueAtPercentile(PERCENT_MEDIAN) / TTFT_UNITS_PER_MS,
      ttftP99Ms: this._ttft.getValueAtPercentile(PERCENT_TAIL) / TTFT_UNITS_PER_MS,
      worstAccountShare: Math.min(...shares),
      wrongfulRefusals: this._wrongfulRefusals,
      overAdmittedTokens,
      refusedOverRate: this._refusedOverRate,
      decisionP50Us: this._decision.getValueAtPercentile(PERCENT_MEDIAN) / DECISION_UNITS_PER_US,
      decisionP99Us: this._decision.getValueAtPercentile(PERCENT_TAIL) / DECISION_UNITS_PER_US,
      decisions: this._decision.totalCount,
      answered: this._answered,
      failed: this._failed,
      retries: this._retries,
      busyRefusals: this._busy,
      utilisation,
      estimateErrorP50Ms:
        this._estimateError.getValueAtPercentile(PERCENT_MEDIAN) / TTFT_UNITS_PER_MS,
    };
  }
}
