/**
 * Tells a target that has gone silent from one that is busy. A lost machine answers nothing and breaks no
 * connection; a busy one still sends something to one of its callers.
 */

/** A target that works sends something to one of its callers within this time. */
const SIGN_OF_LIFE_MS = 1_000;

/** The first byte may take this much longer than expected before the target is suspected. */
const FIRST_BYTE_FACTOR = 3;
const FIRST_BYTE_GRACE_MS = 700;

/** Pause within an answer after which the target is suspected; engines send an event every 240 ms. */
const PAUSE_MS = 1_000;

/** What is known of one request and its target; times in milliseconds of the monotonic clock. */
export interface ISilenceView {
  readonly sentAt: number;
  /** Expected time to the first byte. */
  readonly expectedMs: number;
  /** Last byte of this answer; undefined before the first. */
  readonly lastByteAt: number | undefined;
  /** Last byte that the target sent to any request of this entry. */
  readonly aliveAt: number;
}

/** True if the target is to be taken as lost. */
export function isSilent(view: ISilenceView, now: number): boolean {
  const { sentAt, expectedMs, lastByteAt, aliveAt } = view;
  if (now - Math.max(aliveAt, sentAt) < SIGN_OF_LIFE_MS) {
    return false;
  }
  return lastByteAt === undefined
    ? now - sentAt > expectedMs * FIRST_BYTE_FACTOR + FIRST_BYTE_GRACE_MS
    : now - lastByteAt > PAUSE_MS;
}
