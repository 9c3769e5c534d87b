/**
 * Decides how long a request waits when all targets that could take it have reached the limits that they named, or want no
 * requests for a time.
 */
import { hashText } from '../policy/TargetTable.js';

/** Bounds of the Retry-After. A limit may be lifted at any time, so that the upper one is low. */
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 5_000;

/** Clients that were refused together return within this part of their Retry-After after it. */
const RETRY_AFTER_SPREAD = 0.5;

export type TargetWaitDecision =
  | { readonly kind: 'wait'; readonly timeoutMs: number }
  | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/**
 * A request waits if it can expect a target in the time that it has, and is refused at once if it cannot.
 *
 * @param expectedWaitMs time until a target probably takes the request
 * @param remainingMs time for which the request may still wait
 * @param requestId spreads the clients that are refused together
 *
 * @example
 * const decision = decideTargetWait(250, 400, call.id);
 */
export function decideTargetWait(
  expectedWaitMs: number,
  remainingMs: number,
  requestId: string,
): TargetWaitDecision {
  if (remainingMs > 0 && expectedWaitMs <= remainingMs) {
    return { kind: 'wait', timeoutMs: remainingMs };
  }
  const boundedMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, expectedWaitMs));
  const spread = (hashText(requestId) / 2 ** 32) * RETRY_AFTER_SPREAD;
  return { kind: 'refuse', retryAfterMs: boundedMs * (1 + spread) };
}
