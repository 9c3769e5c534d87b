/** Tells what the outcome of an attempt says of the software version of its target. */
import { sleep } from '../common/Tasks.js';
import type { AttemptOutcome } from './Attempt.js';
import type { IAnswerEvidence } from './RolloutGate.js';

const MIN_ERROR_STATUS = 300;

/** A target that listens accepts a connection within this time, also while its processor is busy. */
const MAX_PROBE_MS = 250;

const MIN_SERVER_ERROR_STATUS = 500;

/** Reasons with which this entry ends attempts that have received a part of the response. */
const OWN_REASONS: ReadonlySet<string> = new Set(['the request is quarantined']);

/** What an attempt has shown until its end, and the times that were measured and expected. */
export interface IEndedAttempt {
  readonly outcome: AttemptOutcome;
  readonly status: number | undefined;
  /** True if the first byte of a successful response arrived, which counted as good then. */
  readonly hasFirstByte: boolean;
  readonly totalMs: number;
  readonly expectedMs: number;
}

/**
 * Tells what the end of an attempt adds to what its first byte told. A crash of a target, a cut link, a refusal and a client
 * that left are no evidence. A response that breaks off is evidence only if the target still accepts connections.
 *
 * @example
 * const answer = await describeEvidence({ outcome, status: 500, hasFirstByte: false, totalMs: 40, expectedMs }, probe);
 */
export async function describeEvidence(
  { outcome, status, hasFirstByte, totalMs, expectedMs }: IEndedAttempt,
  probe: () => Promise<boolean>,
): Promise<IAnswerEvidence | undefined> {
  switch (outcome.kind) {
    case 'answered': {
      const isError = status !== undefined && status >= MIN_SERVER_ERROR_STATUS;
      const result = isError ? 'bad' : 'good';
      return hasFirstByte ? undefined : { result, firstMs: undefined, expectedMs };
    }
    case 'failed': {
      const isBad =
        outcome.isBroken === true ? await isListening(probe) : isFault(status, outcome.reason);
      const result = hasFirstByte ? 'bad_after_all' : 'bad';
      return isBad ? { result, firstMs: undefined, expectedMs } : undefined;
    }
    case 'ended':
      // Until the time limit nothing came, so the response would have taken at least as long.
      return outcome.reason === 'time limit' && status === undefined
        ? { result: undefined, firstMs: totalMs, expectedMs }
        : undefined;
    case 'withdrawn':
    case 'not_run':
    case 'unsent':
    case 'stopping':
      return undefined;
  }
}

/** An attempt that this entry ended itself, or a status below 500, tells nothing of the version. */
function isFault(status: number | undefined, reason: string): boolean {
  const isError = status !== undefined && status >= MIN_ERROR_STATUS;
  return isError
    ? status >= MIN_SERVER_ERROR_STATUS
    : status !== undefined && !OWN_REASONS.has(reason);
}

/** A probe through a cut link has no answer, which takes longer than that of a target that listens. */
async function isListening(probe: () => Promise<boolean>): Promise<boolean> {
  const isSettled = new AbortController();
  const late = sleep(MAX_PROBE_MS, isSettled.signal).then(() => false);
  const answer = await Promise.race([probe(), late]);
  isSettled.abort();
  return answer;
}
