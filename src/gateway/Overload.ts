/**
 * Decides in an overload who is served and who is told to come back. While more arrives than the targets
 * can do, a queue makes every answer late; refusing the part that would be late keeps the others on time,
 * and the queue short enough that a client who comes back finds a place.
 */

/**
 * A request is refused if its first byte is expected later than this part of its objective. Measured on
 * both sites with a third of the engines down: 0.8 serves more than 0.7, 1.0, 1.2, 1.5 and 2.5.
 */
const REFUSE_FACTOR = 0.8;

/**
 * A long prompt takes most of its objective by itself. It is refused only if the wait before it exceeds
 * this part of the objective; else the longest requests would never be served.
 */
const WAIT_FACTOR = 0.4;

/** Shortest and longest time after which a refused client is asked to come back. */
const MIN_RETRY_MS = 150;
const MAX_RETRY_MS = 1_500;

export type OverloadDecision =
  { readonly kind: 'serve' } | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/**
 * Decides about one request by the expected time to its first byte at the best target. Clients that come
 * back are treated alike: longer waits for them were measured to make all others late, and shorter ones
 * to turn away twice whom there was room for.
 *
 * `workMs` is the part of the expected time that the request itself takes at an idle target.
 *
 * @example
 * const decision = decideOverload(placement.expectedMs, placement.workMs, route.objectiveMs);
 */
export function decideOverload(
  expectedMs: number,
  workMs: number,
  objectiveMs: number,
): OverloadDecision {
  const limitMs = Math.max(objectiveMs * REFUSE_FACTOR, workMs + objectiveMs * WAIT_FACTOR);
  if (expectedMs <= limitMs) {
    return { kind: 'serve' };
  }
  // The backlog beyond the objective has to be worked off before the client would be served in time.
  const backlogMs = expectedMs - objectiveMs;
  return {
    kind: 'refuse',
    retryAfterMs: Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, backlogMs)),
  };
}
