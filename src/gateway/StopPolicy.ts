/**
 * Decides what a process that stops may still begin. A request that it does not begin has not run, and another process
 * serves it; one that it begins and cannot end is lost if it may not be repeated.
 */
import type { Shutdown } from '../common/Shutdown.js';
import { isMechanismDisabled } from '../common/TestSwitches.js';
import type { IResponseSize, ResponseTimes } from './ResponseTimes.js';

/** A process that stops keeps no request longer than this for a connection, as another process serves it sooner. */
const MAX_WAIT_MS = 500;

/**
 * Deviations above the mean that a response may take. A wrong refusal costs its client one more try, a cut the whole
 * response, and a request that may not be repeated.
 */
const DEVIATIONS_OF_REPEATABLE = 4;
const DEVIATIONS_OF_OTHERS = 6;

/** A request whose response is to end before the process does. */
export interface IPlannedRun extends IResponseSize {
  readonly isRepeatable: boolean;
  /** When the call ends in any case, on the monotonic clock. */
  readonly deadlineAt: number;
}

/** Longest time that the response is expected to take; the time that the request has left if nothing is known of its route. */
export function estimateRunMs(run: IPlannedRun, times: ResponseTimes, now: number): number {
  const deviations = run.isRepeatable ? DEVIATIONS_OF_REPEATABLE : DEVIATIONS_OF_OTHERS;
  const remainingMs = Math.max(0, run.deadlineAt - now);
  return Math.min(remainingMs, times.estimate(run, deviations) ?? remainingMs);
}

/**
 * Latest time at which a request may be sent to a target; infinite while the process goes on.
 *
 * @param runMs expected duration of the response
 * @param waitsSince when the request began to wait for a connection to the target
 *
 * @example
 * const mayBegin = now <= computeLatestStart(shutdown, 800, now);
 */
export function computeLatestStart(
  { beganAt, endsAt }: Pick<Shutdown, 'beganAt' | 'endsAt'>,
  runMs: number,
  waitsSince: number,
): number {
  TEST_ONLY: if (isMechanismDisabled('stop-gate')) return Number.POSITIVE_INFINITY;
  return Math.min(endsAt - runMs, Math.max(beganAt, waitsSince) + MAX_WAIT_MS);
}
