/**
 * Admission control. When requests arrive faster than the targets can serve them, queueing makes every
 * response late. Refusing the requests that would be late keeps the others on time and the queue so short
 * that a client that retries is served.
 */

/**
 * A request is refused if the expected time to its first byte exceeds this fraction of its latency
 * objective. With a third of the engines down, 0.8 serves more requests on both sites than 0.7, 1.0, 1.2,
 * 1.5 or 2.5.
 */
const MAX_EXPECTED_FACTOR = 0.8;

/**
 * A long prompt takes most of its objective even on an idle target. It is refused only if its queueing
 * time exceeds this fraction of the objective; otherwise the longest requests would never be served.
 */
const MAX_WAIT_FACTOR = 0.4;

/** Bounds of the Retry-After of a request refused because of overload. */
const MIN_OVERLOAD_RETRY_AFTER_MS = 150;
const MAX_OVERLOAD_RETRY_AFTER_MS = 1_500;

export type OverloadDecision =
  { readonly kind: 'serve' } | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/**
 * Decides whether to serve or refuse one request. Retries get the same limits as first tries: a longer
 * limit for them makes all other requests late, and a shorter one refuses clients a second time although
 * there is capacity for them.
 *
 * @param expectedMs expected time to the first byte at the best target
 * @param serviceMs the part of `expectedMs` that the request takes on an idle target
 *
 * @example
 * const decision = decideOverload(placement.expectedMs, placement.serviceMs, route.latencyObjectiveMs);
 */
export function decideOverload(
  expectedMs: number,
  serviceMs: number,
  latencyObjectiveMs: number,
): OverloadDecision {
  const limitMs = Math.max(
    latencyObjectiveMs * MAX_EXPECTED_FACTOR,
    serviceMs + latencyObjectiveMs * MAX_WAIT_FACTOR,
  );
  if (expectedMs <= limitMs) {
    return { kind: 'serve' };
  }
  // The target must first work off the backlog that exceeds the objective.
  const backlogMs = expectedMs - latencyObjectiveMs;
  return {
    kind: 'refuse',
    retryAfterMs: Math.min(
      MAX_OVERLOAD_RETRY_AFTER_MS,
      Math.max(MIN_OVERLOAD_RETRY_AFTER_MS, backlogMs),
    ),
  };
}
