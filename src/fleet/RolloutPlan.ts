/** The steps of a rollout, and when it goes on to the next one. */

/** One step: a share of the service's requests, kept up for at least a part of the rollout's duration. */
export interface IRolloutStep {
  readonly share: number;
  /** Part of the duration. */
  readonly dwell: number;
  /** Responses of the new version that the step needs at usual rates. */
  readonly answers: number;
  /** Part of the exposure of the whole duration that is used up to the end of the step; the rest is kept for later ones. */
  readonly budget: number;
}

/**
 * With these dwell times a version gets about a tenth of the requests of the whole duration before it gets all, and
 * reaches 100% in the middle of the duration: streams on the old version last for some seconds more.
 */
export const ROLLOUT_STEPS: readonly IRolloutStep[] = [
  { share: 0.05, dwell: 0.11, answers: 10, budget: 0.4 },
  { share: 0.1, dwell: 0.11, answers: 15, budget: 0.4 },
  { share: 0.3, dwell: 0.05, answers: 20, budget: 0.6 },
  { share: 0.6, dwell: 0.1, answers: 30, budget: 0.95 },
  { share: 1, dwell: 0, answers: 0, budget: 1 },
  { share: 1, dwell: 0, answers: 0, budget: 1 },
];

/** From this step on all requests go to the new version; the old ones get those that no new target can take. */
export const FULL_STEP = 4;

/** At this step the old versions get nothing any more. */
export const CLOSING_STEP = 5;

/** Fewest responses with which a step is left, for services with few requests. */
const MIN_ANSWERS = 4;

/** Part of the responses expected by the service's rate that must have arrived: the last ones still run. */
const EXPECTED_ANSWERS_PART = 0.5;

/** A route without a response of the new version holds a step up for this many times its dwell time at most. */
const MAX_ROUTE_WAIT_FACTOR = 1.4;

/** Part of the dwell time after which a step ends whose budget is used up: the responses to it have arrived. */
const MIN_EXHAUSTED_DWELL = 0.9;

/**
 * A step of this share or more lasts until the version has got nearly its share: faults that show only under load would else
 * show at 100% first.
 */
const MIN_LOAD_SHARE = 0.5;
const LOAD_PART = 0.92;

/** What is known of a running rollout. Times are milliseconds. */
export interface IRolloutProgress {
  readonly step: number;
  readonly durationMs: number;
  readonly elapsedMs: number;
  /** Time since the step was committed and a target of the version was ready. */
  readonly stepMs: number;
  /** Judged responses of the new version to requests of this step. */
  readonly answers: number;
  /** Share of the requests that has gone to the new version since the entries have heard of the step. */
  readonly stepShare: number;
  /** True if a route that the old version serves regularly has no response of the new one yet. */
  readonly lacksRoute: boolean;
  /** True if no route shows signs of harm that are not settled yet. */
  readonly isHealthy: boolean;
  /** Requests of the service per second. */
  readonly requestRate: number;
  readonly hasReadyTarget: boolean;
  /** True if the budget allows no more requests to the new version at this step. */
  readonly isExhausted: boolean;
  /** True if all entries have heard of the step, which sends all requests to the new version, and no old target has open requests. */
  readonly hasLeftOld: boolean;
}

export type RolloutDecision =
  | { readonly kind: 'stay' }
  | { readonly kind: 'advance'; readonly step: number }
  | { readonly kind: 'complete' }
  | { readonly kind: 'roll_back'; readonly reason: string };

/**
 * Decides what follows for a version that is not known to be bad.
 *
 * @example
 * const decision = decideRollout({ step: 0, durationMs: 12_000, elapsedMs: 1_700, ...evidence });
 */
export function decideRollout(progress: IRolloutProgress): RolloutDecision {
  const { step, durationMs, elapsedMs, stepMs } = progress;
  if (step >= FULL_STEP) {
    return !progress.hasLeftOld
      ? { kind: 'stay' }
      : step >= CLOSING_STEP
        ? { kind: 'complete' }
        : { kind: 'advance', step: CLOSING_STEP };
  }
  if (elapsedMs >= durationMs) {
    const reason = progress.hasReadyTarget
      ? 'the evidence did not suffice before the deadline'
      : 'no target of the version was ready before the deadline';
    return { kind: 'roll_back', reason };
  }
  const { dwell, answers, share } = ROLLOUT_STEPS[step] ?? { dwell: 1, answers: 0, share: 0 };
  const dwellMs = dwell * durationMs;
  const expected = (EXPECTED_ANSWERS_PART * share * progress.requestRate * dwellMs) / 1_000;
  const needed = Math.max(MIN_ANSWERS, Math.min(answers, expected));
  const hasDwelt =
    stepMs >= dwellMs || (progress.isExhausted && stepMs >= MIN_EXHAUSTED_DWELL * dwellMs);
  const waitsForRoute = progress.lacksRoute && stepMs < MAX_ROUTE_WAIT_FACTOR * dwellMs;
  const lacksLoad =
    share >= MIN_LOAD_SHARE &&
    progress.stepShare < LOAD_PART * share &&
    stepMs < MAX_ROUTE_WAIT_FACTOR * dwellMs &&
    !progress.isExhausted;
  const mayAdvance =
    !lacksLoad &&
    progress.hasReadyTarget &&
    hasDwelt &&
    !waitsForRoute &&
    progress.isHealthy &&
    progress.answers >= needed;
  return mayAdvance ? { kind: 'advance', step: step + 1 } : { kind: 'stay' };
}
