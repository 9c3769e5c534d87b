/** Compares the responses of a new software version with those of the old ones; sequential tests for each route. */

/** Responses of one version on one route. */
export interface IAnswerCounts {
  readonly good: number;
  readonly bad: number;
  /** Logarithms of the time to the first byte divided by the expected one: number, sum and sum of squares. */
  readonly times: number;
  readonly logSum: number;
  readonly logSquareSum: number;
}

export interface IRouteEvidence extends IAnswerCounts {
  readonly route: string;
  readonly isNew: boolean;
}

export type RolloutVerdict =
  | { readonly kind: 'bad'; readonly reason: string }
  | {
      readonly kind: 'sound';
      /** False while a test shows signs of harm that further responses will confirm or not. */
      readonly isHealthy: boolean;
    };

/** Increase of the failure rate that counts as harm. */
const HARMFUL_FAILURE_INCREASE = 0.2;

/** Bounds of the failure rate assumed for a sound version. */
const MIN_FAILURE_RATE = 0.02;
const MAX_FAILURE_RATE = 0.7;

/** Responses that the assumptions about a route without evidence are worth. */
const PRIOR_ANSWERS = 10;
const PRIOR_FAILURES = 0.3;

/**
 * Logarithms of the slowdown that counts as sound, and as harm. Targets differ in speed by a factor of 2.4 at most
 * (0.55 to 1.3), and their mean by much less, so a factor of two lies between the two.
 */
const SOUND_SLOWDOWN = Math.log(1.4);
const HARMFUL_SLOWDOWN = Math.log(2.9);

/** Variance of the logarithms assumed before responses tell, and its bounds. */
const PRIOR_VARIANCE = 0.4;
const MIN_VARIANCE = 0.15;
const MAX_VARIANCE = 1.5;

/**
 * A test rolls back above this threshold, which grows with the logarithm of the number of responses: harm is detected
 * after few responses, and the chance of a false alarm over thousands of them stays at about 1 in 1,000.
 */
const BASE_THRESHOLD = 7.7;
const THRESHOLD_UNIT_ANSWERS = 30;

/** Added for response times, whose spread differs between targets. */
const SLOWNESS_MARGIN = 1;

/** Part of the threshold above which a route shows signs of harm. */
const DOUBT_FRACTION = 0.25;

const NO_ANSWERS: IAnswerCounts = { good: 0, bad: 0, times: 0, logSum: 0, logSquareSum: 0 };

/** Cumulative sums of one route. */
interface IRouteTest {
  old: IAnswerCounts;
  fresh: IAnswerCounts;
  failureScore: number;
  slownessScore: number;
}

/** Counts of a route, for the log. */
export interface IRouteSummary {
  readonly route: string;
  readonly old: IAnswerCounts;
  readonly fresh: IAnswerCounts;
}

/**
 * Cumulative sum tests (CUSUM) of the log-likelihood ratio of a harmful version to a sound one. Sums that fall below
 * zero restart there, so that a version that turns bad late is detected as fast as one that is bad from the beginning.
 *
 * @example
 * judge.add({ route: 'assist', isNew: true, good: 9, bad: 1, times: 9, logSum: 0.3, logSquareSum: 1.1 });
 * if (judge.getVerdict().kind === 'bad') rollBack();
 */
export class RolloutJudge {
  private readonly _routes = new Map<string, IRouteTest>();
  private _verdict: Extract<RolloutVerdict, { kind: 'bad' }> | undefined;

  /** Judged responses of the new version on all routes. */
  public get answers(): number {
    return sumAnswers([...this._routes.values()].map(({ fresh }) => fresh));
  }

  /** Adds responses that were received since the last call. A verdict `bad` stays. */
  public add(evidence: IRouteEvidence): void {
    const test = this._ensure(evidence.route);
    if (!evidence.isNew) {
      test.old = addCounts(test.old, evidence);
      return;
    }
    this._updateFailures(test, evidence);
    this._updateSlowness(test, evidence);
    test.fresh = addCounts(test.fresh, evidence);
    const answers = test.fresh.good + test.fresh.bad;
    const threshold = computeThreshold(Math.max(answers, test.fresh.times));
    const { route } = evidence;
    if (test.failureScore > threshold) {
      const failures = `${test.fresh.bad} of ${answers} responses failed`;
      const others = `${test.old.bad} of ${test.old.good + test.old.bad} of other versions`;
      this._verdict ??= { kind: 'bad', reason: `route ${route}: ${failures}, ${others}` };
    } else if (test.slownessScore > threshold + SLOWNESS_MARGIN) {
      const factor = Math.exp(getMean(test.fresh) - getMean(test.old)).toFixed(1);
      const reason = `route ${route}: slower by a factor of ${factor} over ${test.fresh.times} responses`;
      this._verdict ??= { kind: 'bad', reason };
    }
  }

  public getVerdict(): RolloutVerdict {
    const isHealthy = [...this._routes.values()].every(({ fresh, failureScore, slownessScore }) => {
      const limit =
        DOUBT_FRACTION * computeThreshold(Math.max(fresh.good + fresh.bad, fresh.times));
      return failureScore <= limit && slownessScore <= limit;
    });
    return this._verdict ?? { kind: 'sound', isHealthy };
  }

  public listRoutes(): readonly IRouteSummary[] {
    return [...this._routes].map(([route, { old, fresh }]) => ({ route, old, fresh }));
  }

  private _ensure(route: string): IRouteTest {
    const existing = this._routes.get(route);
    if (existing !== undefined) {
      return existing;
    }
    const test = { old: NO_ANSWERS, fresh: NO_ANSWERS, failureScore: 0, slownessScore: 0 };
    this._routes.set(route, test);
    return test;
  }

  private _updateFailures(test: IRouteTest, { good, bad }: IAnswerCounts): void {
    const sound = estimateFailureRate(test.old);
    const harmful = Math.min(0.95, sound + HARMFUL_FAILURE_INCREASE);
    const change = bad * Math.log(harmful / sound) + good * Math.log((1 - harmful) / (1 - sound));
    test.failureScore = Math.max(0, test.failureScore + change);
  }

  private _updateSlowness(test: IRouteTest, { times, logSum }: IAnswerCounts): void {
    // Without responses of the old version nothing tells how well the expected times fit the route.
    if (times === 0 || test.old.times < PRIOR_ANSWERS / 2) {
      return;
    }
    const variance = estimateVariance(test.old);
    const middle = getMean(test.old) + (SOUND_SLOWDOWN + HARMFUL_SLOWDOWN) / 2;
    const change = ((HARMFUL_SLOWDOWN - SOUND_SLOWDOWN) / variance) * (logSum - times * middle);
    test.slownessScore = Math.max(0, test.slownessScore + change);
  }
}

/** Adds the numbers of responses that were good or bad. */
export function sumAnswers(counts: readonly IAnswerCounts[]): number {
  return counts.reduce((sum, { good, bad }) => sum + good + bad, 0);
}

function computeThreshold(answers: number): number {
  return BASE_THRESHOLD + Math.log(1 + answers / THRESHOLD_UNIT_ANSWERS);
}

/** The failure rate of the old versions, and as much more as it is uncertain. */
function estimateFailureRate({ good, bad }: IAnswerCounts): number {
  const answers = good + bad + PRIOR_ANSWERS;
  const rate = (bad + PRIOR_FAILURES) / answers;
  const uncertainty = Math.sqrt((rate * (1 - rate)) / answers);
  return Math.min(MAX_FAILURE_RATE, Math.max(MIN_FAILURE_RATE, rate + uncertainty));
}

function getMean({ times, logSum }: IAnswerCounts): number {
  return times === 0 ? 0 : logSum / times;
}

function estimateVariance({ times, logSum, logSquareSum }: IAnswerCounts): number {
  const spread = Math.max(0, logSquareSum - (times === 0 ? 0 : (logSum * logSum) / times));
  const variance = (spread + PRIOR_VARIANCE * PRIOR_ANSWERS) / (times + PRIOR_ANSWERS);
  return Math.min(MAX_VARIANCE, Math.max(MIN_VARIANCE, variance));
}

function addCounts(left: IAnswerCounts, right: IAnswerCounts): IAnswerCounts {
  return {
    good: left.good + right.good,
    bad: left.bad + right.bad,
    times: left.times + right.times,
    logSum: left.logSum + right.logSum,
    logSquareSum: left.logSquareSum + right.logSquareSum,
  };
}
